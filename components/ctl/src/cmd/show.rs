//! `show`: prints the active inventory.

use std::io::Write;

use filbertsail_api::admin::Head;

use super::print_json;
use crate::{
    exit::{Exit, Failure},
    gateway::Gateway,
};

/// Prints the inventory as TOML that can be edited and applied again.
///
/// # Errors
/// Fails if no configuration is active or the call to the gateway fails.
pub async fn run(gateway: &Gateway, json: bool, out: &mut impl Write) -> Result<Exit, Failure> {
    let head: Head = gateway.get("/admin/v1/config").await?;
    if json {
        print_json(out, &head)?;
    } else {
        writeln!(out, "# version {}, digest {}", head.version, head.digest)?;
        write!(out, "{}", head.text)?;
    }
    Ok(Exit::Done)
}
