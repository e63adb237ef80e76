//! Bodies of groups and manifests in the object store, and batches made from them.
//!
//! The keys of bodies end in a digest of the content, so a body that a superseded holder writes
//! late never replaces one that a manifest names.

use bytes::Bytes;
use derive_more::{Display, Error, From};
use filbertsail_api::trainer::{Batch, Group};
use filbertsail_ports::object::{self, Store};
use futures_util::{StreamExt, TryStreamExt, stream};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::row::Manifest;

/// Reads of group bodies under way at a time for one batch.
const PARALLEL_READS: usize = 16;

/// Why a batch cannot be read.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A body is missing or the store does not answer.
    #[display("cannot read a body: {_0}")]
    Store(object::Error),
    /// A body has not the expected content.
    #[display("body {key} does not match its digest")]
    Content {
        /// Object key.
        key: String,
    },
}

/// Object that lists the groups of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Keys of the group bodies in group order.
    pub groups: Vec<String>,
}

/// Object key and body of a group.
///
/// # Panics
/// Never: the type always has a JSON form.
#[must_use]
pub fn group_object(trainer: &str, step: u64, group: &Group) -> (String, Bytes) {
    let body = serde_json::to_vec(group).expect("a group has a JSON form");
    let digest = hex::encode(Sha256::digest(&body));
    (format!("samples/{trainer}/{step}/{}/{digest}", group.group), Bytes::from(body))
}

/// Object key, body and batch digest of a listing.
///
/// The batch digest covers the identifiers and texts of all samples through the group digests.
///
/// # Panics
/// Never: the type always has a JSON form.
#[must_use]
pub fn listing_object(trainer: &str, step: u64, listing: &Listing) -> (String, Bytes, String) {
    let body = serde_json::to_vec(listing).expect("a listing has a JSON form");
    let digest = hex::encode(Sha256::digest(&body));
    (format!("manifests/{trainer}/{step}/{digest}"), Bytes::from(body), digest)
}

/// Reads the batch of `manifest`.
///
/// # Errors
/// Fails if a body cannot be read or has another content than its key states.
pub async fn read<S: Store>(
    store: &S,
    trainer: &str,
    step: u64,
    epoch: u64,
    manifest: &Manifest,
) -> Result<Batch, Error> {
    let body = checked(store, &manifest.object).await?;
    let listing: Listing = parse(&manifest.object, &body)?;
    let groups = stream::iter(listing.groups.into_iter().map(|key| read_group(store, key)));
    let groups = groups.buffered(PARALLEL_READS).try_collect().await?;
    let (trainer, digest) = (trainer.to_owned(), manifest.digest.clone());
    Ok(Batch { trainer, step, epoch, digest, groups, cursor: None })
}

/// Reads one group body.
///
/// # Errors
/// Fails if the body cannot be read or has another content than its key states.
pub async fn read_group<S: Store>(store: &S, key: String) -> Result<Group, Error> {
    let body = checked(store, &key).await?;
    parse(&key, &body)
}

async fn checked<S: Store>(store: &S, key: &str) -> Result<Bytes, Error> {
    let body = store.get(key).await?;
    let digest = hex::encode(Sha256::digest(&body));
    if key.ends_with(&digest) { Ok(body) } else { Err(Error::Content { key: key.to_owned() }) }
}

fn parse<T: for<'a> Deserialize<'a>>(key: &str, body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|_| Error::Content { key: key.to_owned() })
}
