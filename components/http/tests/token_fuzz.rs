//! Parsing of tokens files with arbitrary text.

use filbertsail_http::token::{Role, Table};
use http::{HeaderMap, HeaderValue, header};
use proptest::{prelude::*, test_runner::RngSeed};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn identify(table: &Table, token: &str) -> Option<Role> {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_str(&format!("Bearer {token}")).ok()?;
    headers.insert(header::AUTHORIZATION, value);
    table.identify(&headers).map(|identity| identity.role)
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a panic on text that is not a tokens file, and an error without a valid line.
    #[test]
    fn can_parse_arbitrary_text(text in "(\\PC|[ \n\t#]|operator|reader){0,200}") {
        if let Err(faults) = Table::parse(&text) {
            prop_assert!(!faults.is_empty());
            let lines = text.lines().count();
            prop_assert!(faults.iter().all(|fault| (1..=lines).contains(&fault.line)));
        }
    }

    /// Guards against a listed token that matches the wrong entry or none, and a match of an
    /// unlisted token.
    #[test]
    fn can_find_exactly_the_listed_tokens(
        tokens in prop::collection::btree_set("[a-zA-Z0-9]{16,40}", 2..12),
        other in "[a-zA-Z0-9]{16,40}",
    ) {
        let roles = [Role::Operator, Role::Trainer, Role::Customer, Role::Reader];
        let entries: Vec<_> = tokens.iter().zip(roles.into_iter().cycle()).collect();
        let text: String =
            entries.iter().map(|(token, role)| format!("{token} {role} name\n")).collect();
        let table = Table::parse(&text).expect("valid file");
        for (token, role) in entries {
            prop_assert_eq!(identify(&table, token), Some(role));
            prop_assert_eq!(identify(&table, &token[1..]), None);
        }
        prop_assert_eq!(identify(&table, &other).is_some(), tokens.contains(&other));
    }
}
