//! Configuration checks on arbitrary and corrupted text.

use filbertsail_config::{check, digest, inventory::Inventory, settings::Settings};
use proptest::{prelude::*, sample::select, test_runner::RngSeed};

const INVENTORY: &str = include_str!("../../../examples/vaahto.toml");
const SETTINGS: &str = include_str!("../../../examples/gateway.toml");
/// Fragments that open, close or contradict parts of a TOML file.
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

/// Text with some ranges replaced by fragments.
fn corrupted(base: &'static str) -> impl Strategy<Value = String> {
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

/// Asserts that daemons parse whatever the check accepts, and that errors have a line, a key and a
/// remedy.
fn check_consistency(text: &str) -> Result<(), TestCaseError> {
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

    /// Guards against a panic of the check on text that is not TOML.
    #[test]
    fn can_check_arbitrary_text(text in any::<String>()) {
        check_consistency(&text)?;
    }

    /// Guards against a panic or an error without a line on nearly valid files.
    #[test]
    fn can_check_corrupted_files(
        inventory in corrupted(INVENTORY),
        settings in corrupted(SETTINGS),
    ) {
        check_consistency(&inventory)?;
        check_consistency(&settings)?;
    }
}
