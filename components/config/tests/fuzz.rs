//! The check on arbitrary and damaged text.

use filbertsail_config::{check, digest, inventory::Inventory, settings::Settings};
use proptest::{prelude::*, sample::select, test_runner::RngSeed};

const INVENTORY: &str = include_str!("../../../examples/vaahto.toml");
const SETTINGS: &str = include_str!("../../../examples/gateway.toml");
/// Texts that end, open or contradict parts of a TOML file.
const FRAGMENTS: [&str; 14] = [
    "\"",
    "'''",
    "[",
    "]]",
    "[[worker]]",
    "= ",
    "\n",
    "{",
    "zone = 3",
    "ä",
    "\0",
    "1e999",
    "nan",
    "#",
];

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Text with fragments in the place of some characters.
fn damaged(base: &'static str) -> impl Strategy<Value = String> {
    let cut = (0..base.len(), 0usize..40, select(&FRAGMENTS[..]));
    prop::collection::vec(cut, 1..6).prop_map(move |cuts| {
        let mut text = base.to_owned();
        for (at, length, fragment) in cuts {
            let start = text.floor_char_boundary(at.min(text.len()));
            let end = text.floor_char_boundary((start + length).min(text.len()));
            text.replace_range(start..end, fragment);
        }
        text
    })
}

/// What the check accepts, the daemons accept too; faults have a place and a remedy.
fn agree(text: &str) -> Result<(), TestCaseError> {
    for faults in [
        check::inventory("file", text).map(|_| Inventory::parse(text).map(drop)),
        check::settings("file", text, None).map(|_| Settings::parse(text).map(drop)),
    ] {
        match faults {
            Ok(parsed) => prop_assert!(parsed.is_ok()),
            Err(faults) => {
                prop_assert!(!faults.is_empty());
                let lines = text.lines().count().max(1);
                for fault in faults {
                    prop_assert!((1..=lines + 1).contains(&fault.line), "{fault}");
                    prop_assert!(!fault.key.is_empty() && !fault.remedy.is_empty(), "{fault}");
                }
            }
        }
    }
    prop_assert_eq!(digest(text).len(), 64);
    Ok(())
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a panic of the check on text that is not TOML at all.
    #[test]
    fn can_check_arbitrary_text(text in any::<String>()) {
        agree(&text)?;
    }

    /// Guards against a panic or a fault without a place on files that are nearly right.
    #[test]
    fn can_check_damaged_files(
        inventory in damaged(INVENTORY),
        settings in damaged(SETTINGS),
    ) {
        agree(&inventory)?;
        agree(&settings)?;
    }
}
