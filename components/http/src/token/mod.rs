//! Bearer tokens of callers, trainers and operators.
//!
//! The table stores only SHA-256 digests. A lookup compares the digest of the presented token with
//! every entry in constant time, so that response times reveal nothing about valid tokens.

use std::{fs, path::Path};

use derive_more::{Display, Error, FromStr};
use http::{HeaderMap, StatusCode, header};
use sha2::{Digest, Sha256};
use subtle::{Choice, ConditionallySelectable, ConstantTimeEq};

/// Minimum length of a token.
pub const MIN_TOKEN_BYTES: usize = 16;
const BEARER_PREFIX: &str = "Bearer ";

/// Permissions of a token.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Hash)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum Role {
    /// Reads and changes the fleet through the administration API.
    Operator,
    /// Posts and fetches rounds of the trainer it names.
    Trainer,
    /// Sends customer requests for the team it names.
    Customer,
    /// Reads status and metrics.
    Reader,
}

/// Holder of a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Permissions.
    pub role: Role,
    /// Name of the trainer, team or operator.
    pub name: String,
}

/// Failed authentication or authorization.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Denied {
    /// The request has no token or one that is not in the table.
    #[display("a known bearer token is required")]
    Unknown,
    /// The token's role does not allow the request.
    #[display("the token does not allow this request")]
    Forbidden,
}

impl Denied {
    /// HTTP status of the error response.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::Unknown => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
        }
    }

    /// Stable code of the error response.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::Unknown => "unauthorized",
            Self::Forbidden => "forbidden",
        }
    }
}

/// Error in a line of a tokens file. Its text never contains the token.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("line {line}: {problem}")]
pub struct Fault {
    /// Line number, counted from 1.
    pub line: usize,
    /// What is wrong and what is expected.
    pub problem: String,
}

/// Failure to load a tokens file.
#[derive(Debug, Display, Error)]
pub enum LoadError {
    /// The file cannot be read.
    #[display("cannot read the tokens file: {_0}")]
    Read(std::io::Error),
    /// The file has invalid lines.
    #[display("invalid tokens file: {}", join(_0))]
    Faults(#[error(not(source))] Vec<Fault>),
}

fn join(faults: &[Fault]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

/// Tokens that a daemon accepts.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: Vec<([u8; 32], Identity)>,
}

impl Table {
    /// Parses the text of a tokens file with one `<token> <role> <name>` per line; empty lines and
    /// lines that start with `#` are ignored.
    ///
    /// # Errors
    /// Returns the errors of all lines.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let mut entries: Vec<([u8; 32], Identity)> = Vec::new();
        let mut faults = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            match parse_line(line) {
                Ok((digest, _)) if entries.iter().any(|(known, _)| *known == digest) => faults
                    .push(Fault {
                        line: index + 1,
                        problem: "the token repeats that of an earlier line".to_owned(),
                    }),
                Ok(entry) => entries.push(entry),
                Err(problem) => faults.push(Fault { line: index + 1, problem }),
            }
        }
        if faults.is_empty() { Ok(Self { entries }) } else { Err(faults) }
    }

    /// Reads a tokens file.
    ///
    /// # Errors
    /// Fails if the file cannot be read or has invalid lines.
    pub fn load(path: &Path) -> Result<Self, LoadError> {
        let text = fs::read_to_string(path).map_err(LoadError::Read)?;
        Self::parse(&text).map_err(LoadError::Faults)
    }

    /// Number of tokens.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether customer requests need a token, which is so if the table has any customer token.
    #[must_use]
    pub fn requires_customer_token(&self) -> bool {
        self.entries.iter().any(|(_, identity)| identity.role == Role::Customer)
    }

    /// Holder of the bearer token in the `Authorization` header.
    #[must_use]
    pub fn identify(&self, headers: &HeaderMap) -> Option<&Identity> {
        let value = headers.get(header::AUTHORIZATION)?.as_bytes();
        let (scheme, token) = value.split_at_checked(BEARER_PREFIX.len())?;
        if !scheme.eq_ignore_ascii_case(BEARER_PREFIX.as_bytes()) {
            return None;
        }
        self.lookup(token)
    }

    /// Holder of the bearer token, if its role is one of `roles`.
    ///
    /// # Errors
    /// Fails if the token is missing, unknown or of another role.
    pub fn require(&self, headers: &HeaderMap, roles: &[Role]) -> Result<&Identity, Denied> {
        let identity = self.identify(headers).ok_or(Denied::Unknown)?;
        if roles.contains(&identity.role) { Ok(identity) } else { Err(Denied::Forbidden) }
    }

    fn lookup(&self, token: &[u8]) -> Option<&Identity> {
        let digest = digest(token);
        let mut found = u32::MAX;
        for (index, (known, _)) in (0u32..).zip(&self.entries) {
            let equal: Choice = known.as_slice().ct_eq(digest.as_slice());
            found.conditional_assign(&index, equal);
        }
        self.entries.get(found as usize).map(|(_, identity)| identity)
    }
}

fn digest(token: &[u8]) -> [u8; 32] {
    Sha256::digest(token).into()
}

fn parse_line(line: &str) -> Result<([u8; 32], Identity), String> {
    let fields: Vec<_> = line.split_whitespace().collect();
    let [token, role, name] = fields[..] else {
        return Err(format!("{} fields; expected <token> <role> <name>", fields.len()));
    };
    if token.len() < MIN_TOKEN_BYTES {
        let length = token.len();
        return Err(format!("token of {length} bytes; expected {MIN_TOKEN_BYTES} or more"));
    }
    let role = role
        .parse()
        .map_err(|_| "unknown role; expected operator, trainer, customer or reader".to_owned())?;
    Ok((digest(token.as_bytes()), Identity { role, name: name.to_owned() }))
}

#[cfg(test)]
mod tests {
    use http::{HeaderMap, HeaderValue, header};

    use super::{Denied, Role, Table};

    const TEXT: &str =
        "# comment\n\nfirst-token-of-16b operator ops\nother-token-of-16b trainer a\n";

    fn headers(value: &'static str) -> HeaderMap {
        let mut headers = HeaderMap::new();
        headers.insert(header::AUTHORIZATION, HeaderValue::from_static(value));
        headers
    }

    /// Guards against access without a valid token of the right role.
    #[test]
    fn can_distinguish_unknown_from_forbidden() {
        let table = Table::parse(TEXT).expect("table");
        let roles = [Role::Operator];
        assert_eq!(table.require(&HeaderMap::new(), &roles), Err(Denied::Unknown));
        assert_eq!(
            table.require(&headers("Bearer first-token-of-16"), &roles),
            Err(Denied::Unknown)
        );
        assert_eq!(
            table.require(&headers("Basic first-token-of-16b"), &roles),
            Err(Denied::Unknown)
        );
        assert_eq!(
            table.require(&headers("Bearer other-token-of-16b"), &roles),
            Err(Denied::Forbidden)
        );
        let identity = table.require(&headers("bearer first-token-of-16b"), &roles);
        assert_eq!(identity.expect("operator").name, "ops");
        assert!(!table.requires_customer_token());
    }

    /// Guards against a report that stops at the first error or contains a token.
    #[test]
    fn can_report_every_error_without_the_token() {
        let text = "short operator ops\nlong-enough-token-1 king ops\nlong-enough-token-1 reader\n\
                    long-enough-token-2 reader a\nlong-enough-token-2 reader b\n";
        let faults = Table::parse(text).expect_err("faults");
        let lines: Vec<_> = faults.iter().map(|fault| fault.line).collect();
        assert_eq!(lines, [1, 2, 3, 5]);
        assert!(faults.iter().all(|fault| !fault.problem.contains("long-enough")), "{faults:?}");
    }
}
