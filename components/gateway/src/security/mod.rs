//! Bearer tokens of customers and the cluster key.

use std::{fs, path::Path};

use eyre::{WrapErr, eyre};
use filbertsail_http::token::{Denied, Role, Table};
use filbertsail_wire::link::auth::Key;
use http::HeaderMap;

use crate::fault::Fault;

/// Least length of the cluster key in bytes.
const MIN_KEY_BYTES: usize = 32;
/// Team of callers where customers need no token.
const OPEN_TEAM: &str = "customers";

impl From<Denied> for Fault {
    fn from(denied: Denied) -> Self {
        Self::not_run(denied.status(), denied.code(), denied.to_string())
    }
}

/// Team of a customer's request.
///
/// # Errors
/// Fails with 401 without a valid token and with 403 for a token of another role.
pub fn team(tokens: &Table, headers: &HeaderMap) -> Result<String, Fault> {
    if !tokens.requires_customer_token() {
        return Ok(OPEN_TEAM.to_owned());
    }
    Ok(tokens.require(headers, &[Role::Customer])?.name.clone())
}

/// Cluster key of a file in hex.
///
/// # Errors
/// Fails if the file cannot be read, is not hex or too short.
pub fn read_key(path: &Path) -> eyre::Result<Key> {
    let at = || format!("cluster key file {}", path.display());
    let text = fs::read_to_string(path).wrap_err_with(at)?;
    let bytes = hex::decode(text.trim()).wrap_err_with(at)?;
    if bytes.len() < MIN_KEY_BYTES {
        return Err(eyre!("{}: key is shorter than {MIN_KEY_BYTES} bytes", at()));
    }
    Ok(Key::new(bytes))
}
