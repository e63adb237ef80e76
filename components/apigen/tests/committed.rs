//! Guards against a schema change without a commit of the regenerated types.

use std::{fs, path::PathBuf};

use filbertsail_apigen::generate;

#[test]
fn can_reproduce_committed_types() {
    let api = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../api");
    let modules = generate(&api.join("schema")).expect("schemas convert");
    assert!(!modules.is_empty(), "no schema found");
    for module in modules {
        let path = api.join("src/generated").join(format!("{}.rs", module.name));
        let committed = fs::read_to_string(&path).expect("generated file is committed");
        assert_eq!(committed, module.source, "run `cargo run -p filbertsail-apigen`");
    }
}
