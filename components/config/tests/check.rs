//! Error messages for invalid files, and acceptance of the example files.

use std::{fs, path::Path};

use filbertsail_config::check::{self, Checked, Role};

fn folder(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(name)
}

/// Guards against a check that stops at the first error, or whose messages lack the file, the key
/// path, the value or the remedy.
#[test]
fn can_report_all_errors_of_invalid_files() {
    let mut paths: Vec<_> = fs::read_dir(folder("tests/broken"))
        .expect("folder")
        .map(|entry| entry.expect("entry").path())
        .collect();
    paths.sort();
    assert!(paths.len() >= 20, "{} broken files", paths.len());
    for path in paths {
        let text = fs::read_to_string(&path).expect("broken file");
        let file = path.file_name().expect("name").to_string_lossy();
        let faults = check::inventory_or_settings(&file, &text).expect_err(&file);
        let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
        insta::assert_snapshot!(path.file_stem().expect("stem").to_str(), lines.join("\n"));
    }
}

/// Guards against a check that rejects what the daemons accept.
#[test]
fn can_accept_the_examples() {
    for name in ["swan-coastal", "vaahto", "gateway", "controller"] {
        let text = fs::read_to_string(folder("../../examples").join(format!("{name}.toml")))
            .expect("example");
        match check::inventory_or_settings(name, &text) {
            Ok(Checked::Inventory(inventory)) => assert!(!inventory.workers.is_empty()),
            Ok(Checked::Settings(settings)) => assert!(settings.name.starts_with(name)),
            Err(faults) => panic!("{faults:#?}"),
        }
    }
}

/// Guards against a gateway without an address for callers and a controller with one.
#[test]
fn can_check_the_role() {
    let gateway = include_str!("../../../examples/gateway.toml");
    let controller = include_str!("../../../examples/controller.toml");
    assert!(check::settings("gateway", gateway, Some(Role::Gateway)).is_ok());
    assert!(check::settings("controller", controller, Some(Role::Controller)).is_ok());
    let faults = check::settings("gateway", gateway, Some(Role::Controller)).expect_err("port");
    assert_eq!(faults[0].key, "listen.callers");
    let faults = check::settings("controller", controller, Some(Role::Gateway)).expect_err("port");
    assert_eq!((faults.len(), faults[0].key.as_str()), (1, "listen.callers"));
    let example = folder("../../examples/controller.toml");
    assert!(check::load_settings(&example, Role::Controller).is_ok());
    let error = check::load_settings(&example, Role::Gateway).expect_err("port");
    assert!(error.to_string().contains("controller.toml:6: listen.callers"), "{error}");
    let error = check::load_settings(&folder("none.toml"), Role::Gateway).expect_err("no file");
    assert!(error.to_string().starts_with("cannot read "), "{error}");
}

/// Guards against a field that was added to the types but that the check rejects as unknown.
#[test]
fn can_accept_every_field_of_the_types() {
    let inventory = include_str!("../../../examples/vaahto.toml");
    let inventory = check::inventory("vaahto", inventory).expect("example");
    let text = toml::to_string(&inventory).expect("TOML");
    assert_eq!(check::inventory("all fields", &text), Ok(inventory));

    let settings = include_str!("../../../examples/gateway.toml");
    let mut settings = check::settings("gateway", settings, None).expect("example");
    settings.security.tls_cert_file = Some("cert.pem".into());
    settings.security.tls_key_file = Some("key.pem".into());
    settings.log.file = Some("gateway.log".into());
    let text = toml::to_string(&settings).expect("TOML");
    assert_eq!(check::settings("all fields", &text, Some(Role::Gateway)), Ok(settings));
}
