//! Generates the modules of the `api` crate and writes them to its source folder.

use std::{fs, path::PathBuf};

use eyre::{Context, Result};
use filbertsail_apigen::generate;

fn main() -> Result<()> {
    let api = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../api");
    for module in generate(&api.join("schema"))? {
        let path = api.join("src/generated").join(format!("{}.rs", module.name));
        fs::write(&path, module.source).wrap_err_with(|| format!("writing {}", path.display()))?;
    }
    Ok(())
}
