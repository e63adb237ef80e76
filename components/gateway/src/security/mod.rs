//! Bearer tokens and the cluster key.

use std::{collections::HashMap, fs, path::Path, sync::Arc};

use eyre::{WrapErr, eyre};
use filbertsail_wire::link::auth::Key;
use http::{HeaderMap, StatusCode, header};

use crate::fault::Fault;

/// Least length of the cluster key in bytes.
const MIN_KEY_BYTES: usize = 32;
/// Team of callers where customers need no token.
const OPEN_TEAM: &str = "customers";

/// What a token allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Administration.
    Operator,
    /// Rounds of one trainer.
    Trainer,
    /// Requests of one team.
    Customer,
    /// Reading the administration API.
    Reader,
}

/// Bearer tokens, cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Tokens {
    entries: Arc<HashMap<String, (Role, String)>>,
}

impl Tokens {
    /// Tokens of a file.
    ///
    /// # Errors
    /// Fails if the file cannot be read or a line is malformed.
    pub fn read(path: &Path) -> eyre::Result<Self> {
        let text = fs::read_to_string(path);
        Self::parse(&text.wrap_err_with(|| format!("tokens file {}", path.display()))?)
    }

    /// Tokens of lines `<token> <role> <name>`.
    ///
    /// # Errors
    /// Fails if a line is malformed.
    pub fn parse(text: &str) -> eyre::Result<Self> {
        let mut entries = HashMap::new();
        for (number, line) in text.lines().map(str::trim).enumerate() {
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let entry = parse_line(line).ok_or_else(|| {
                eyre!("tokens file line {}: expected <token> <role> <name>", number + 1)
            })?;
            entries.insert(entry.0, entry.1);
        }
        Ok(Self { entries: Arc::new(entries) })
    }

    /// Team of a customer's request.
    ///
    /// # Errors
    /// Fails with 401 without a valid token and with 403 for a token of another role.
    pub fn customer(&self, headers: &HeaderMap) -> Result<String, Fault> {
        let needed = self.entries.values().any(|(role, _)| *role == Role::Customer);
        if !needed {
            return Ok(OPEN_TEAM.to_owned());
        }
        let token = bearer(headers).and_then(|token| self.entries.get(token));
        match token {
            Some((Role::Customer, team)) => Ok(team.clone()),
            Some(_) => Err(Fault::refused(StatusCode::FORBIDDEN, "forbidden", "wrong role")),
            None => Err(Fault::refused(StatusCode::UNAUTHORIZED, "unauthorized", "no valid token")),
        }
    }
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}

fn parse_line(line: &str) -> Option<(String, (Role, String))> {
    let mut words = line.split_whitespace();
    let (token, role, name) = (words.next()?, words.next()?, words.next()?);
    let role = match role {
        "operator" => Role::Operator,
        "trainer" => Role::Trainer,
        "customer" => Role::Customer,
        "reader" => Role::Reader,
        _ => return None,
    };
    words.next().is_none().then(|| (token.to_owned(), (role, name.to_owned())))
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

#[cfg(test)]
mod tests {
    use http::HeaderMap;

    use super::Tokens;

    /// Guards against a trainer's token that passes for a customer's.
    #[test]
    fn can_tell_roles_apart() {
        let tokens = Tokens::parse("# team\nabc customer shop\nxyz trainer t1\n").expect("valid");
        let status = |token: &str| {
            let mut headers = HeaderMap::new();
            headers.insert("authorization", format!("Bearer {token}").parse().expect("header"));
            tokens.customer(&headers).map_err(|fault| fault.status.as_u16())
        };
        assert_eq!(status("abc"), Ok("shop".to_owned()));
        assert_eq!(status("xyz"), Err(403));
        assert_eq!(status("no"), Err(401));
        assert!(Tokens::parse("abc customer").is_err());
        assert!(Tokens::default().customer(&HeaderMap::new()).is_ok());
    }
}
