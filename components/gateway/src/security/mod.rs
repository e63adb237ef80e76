//! Customer authentication and the cluster key.

use std::{fs, path::Path};

use eyre::{WrapErr, eyre};
use filbertsail_http::token::{Denied, Role, Table};
use filbertsail_wire::link::auth::Key;
use http::HeaderMap;

use crate::fault::Fault;

/// Shortest cluster key.
const MIN_KEY_BYTES: usize = 32;
/// Team of all callers if the tokens file has no customer tokens.
const ANONYMOUS_TEAM: &str = "customers";

impl From<Denied> for Fault {
    fn from(denied: Denied) -> Self {
        Self::not_run(denied.status(), denied.code(), denied.to_string())
    }
}

/// Team of a customer's request, from its bearer token.
///
/// # Errors
/// Fails with 401 without a valid token and with 403 if the token has another role.
pub fn customer_team(tokens: &Table, headers: &HeaderMap) -> Result<String, Fault> {
    if !tokens.requires_customer_token() {
        return Ok(ANONYMOUS_TEAM.to_owned());
    }
    Ok(tokens.require(headers, &[Role::Customer])?.name.clone())
}

/// Reads the cluster key from a file in hex.
///
/// # Errors
/// Fails if the file cannot be read, is not valid hex or holds fewer than 32 bytes.
pub fn read_cluster_key(path: &Path) -> eyre::Result<Key> {
    let context = || format!("cluster key file {}", path.display());
    let text = fs::read_to_string(path).wrap_err_with(context)?;
    let bytes = hex::decode(text.trim()).wrap_err_with(context)?;
    if bytes.len() < MIN_KEY_BYTES {
        return Err(eyre!("{}: key is shorter than {MIN_KEY_BYTES} bytes", context()));
    }
    Ok(Key::new(bytes))
}
