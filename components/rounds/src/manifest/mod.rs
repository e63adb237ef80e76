//! Groups and listings in the object store, and the batches read from them.
//!
//! Object keys end in a digest of the content, so a late write of a superseded lease holder never
//! replaces an object that a manifest refers to.

use bytes::Bytes;
use derive_more::{Display, Error, From};
use filbertsail_api::trainer::{Batch, Group};
use filbertsail_ports::object::{self, Store};
use futures_util::{StreamExt, TryStreamExt, stream};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::row::Manifest;

/// Largest number of concurrent reads of group objects for one batch.
const MAX_CONCURRENT_READS: usize = 16;

/// Reason why a batch cannot be read.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// An object is missing or the object store is unavailable.
    #[display("cannot read a body: {_0}")]
    Store(object::Error),
    /// The content of an object does not match its key or cannot be parsed.
    #[display("body {key} does not match its digest")]
    Content {
        /// Object key.
        key: String,
    },
}

/// Object that lists the groups of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Object keys of the groups, in group order.
    pub groups: Vec<String>,
}

/// Object key and content of a group.
///
/// # Panics
/// Never: the type can always be encoded as JSON.
#[must_use]
pub fn group_object(trainer: &str, step: u64, group: &Group) -> (String, Bytes) {
    let body = serde_json::to_vec(group).expect("a group can be encoded as JSON");
    let digest = hex::encode(Sha256::digest(&body));
    (format!("samples/{trainer}/{step}/{}/{digest}", group.group), Bytes::from(body))
}

/// Object key and content of a listing, and the batch digest.
///
/// The batch digest covers the identifiers and texts of all samples through the group digests.
///
/// # Panics
/// Never: the type can always be encoded as JSON.
#[must_use]
pub fn listing_object(trainer: &str, step: u64, listing: &Listing) -> (String, Bytes, String) {
    let body = serde_json::to_vec(listing).expect("a listing can be encoded as JSON");
    let digest = hex::encode(Sha256::digest(&body));
    (format!("manifests/{trainer}/{step}/{digest}"), Bytes::from(body), digest)
}

/// Reads the batch that `manifest` describes.
///
/// # Errors
/// Fails if an object cannot be read or does not match the digest in its key.
pub async fn read_batch<S: Store>(
    store: &S,
    trainer: &str,
    step: u64,
    epoch: u64,
    manifest: &Manifest,
) -> Result<Batch, Error> {
    let body = get_verified(store, &manifest.object).await?;
    let listing: Listing = parse(&manifest.object, &body)?;
    let groups = stream::iter(listing.groups.into_iter().map(|key| read_group(store, key)));
    let groups = groups.buffered(MAX_CONCURRENT_READS).try_collect().await?;
    let (trainer, digest) = (trainer.to_owned(), manifest.digest.clone());
    Ok(Batch { trainer, step, epoch, digest, groups, cursor: None })
}

/// Reads one group.
///
/// # Errors
/// Fails if the object cannot be read or does not match the digest in its key.
pub async fn read_group<S: Store>(store: &S, key: String) -> Result<Group, Error> {
    let body = get_verified(store, &key).await?;
    parse(&key, &body)
}

async fn get_verified<S: Store>(store: &S, key: &str) -> Result<Bytes, Error> {
    let body = store.get(key).await?;
    let digest = hex::encode(Sha256::digest(&body));
    if key.ends_with(&digest) { Ok(body) } else { Err(Error::Content { key: key.to_owned() }) }
}

fn parse<T: for<'a> Deserialize<'a>>(key: &str, body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|_| Error::Content { key: key.to_owned() })
}
