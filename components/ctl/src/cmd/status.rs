//! `status`: prints the state of the fleet as known to the gateway.

use std::io::Write;

use filbertsail_api::admin::{Backend, Daemon, Holder, Role, Status};

use super::{print_json, yes_no};
use crate::{
    exit::{Exit, Failure},
    gateway::Gateway,
};

/// Prints tables of daemons, backend servers and leases.
///
/// # Errors
/// Fails if the call to the gateway fails.
pub async fn run(gateway: &Gateway, json: bool, out: &mut impl Write) -> Result<Exit, Failure> {
    let status: Status = gateway.get("/admin/v1/status").await?;
    if json {
        print_json(out, &status)?;
        return Ok(Exit::Done);
    }
    writeln!(
        out,
        "gateway {}: ready {}, configuration version {}, table reachable {}",
        status.gateway,
        yes_no(status.ready),
        status.config_version,
        yes_no(status.table_reachable),
    )?;
    print_daemons(out, &status.daemons)?;
    print_backends(out, &status.backends)?;
    print_leases(out, &status.leases)?;
    Ok(Exit::Done)
}

fn print_daemons(out: &mut impl Write, daemons: &[Daemon]) -> Result<(), Failure> {
    let header = ["DAEMON", "ROLE", "ZONE", "LIVE", "DRAINING", "CONFIG"];
    let rows = daemons.iter().map(|daemon| {
        let role = match daemon.role {
            Role::Gateway => "gateway",
            Role::Controller => "controller",
        };
        [
            daemon.name.clone(),
            role.to_owned(),
            daemon.zone.clone(),
            yes_no(daemon.live).to_owned(),
            yes_no(daemon.draining).to_owned(),
            daemon.config_version.to_string(),
        ]
    });
    print_table(out, header, rows)
}

fn print_backends(out: &mut impl Write, backends: &[Backend]) -> Result<(), Failure> {
    let header =
        ["BACKEND", "SERVICE", "ZONE", "LIVE", "LEAVING", "CIRCUIT", "IN FLIGHT", "WEIGHTS"];
    let rows = backends.iter().map(|backend| {
        let version = backend.weight_version.map_or_else(|| "-".to_owned(), |v| v.to_string());
        [
            backend.name.clone(),
            backend.service.clone(),
            backend.zone.clone(),
            yes_no(backend.live).to_owned(),
            yes_no(backend.leaving).to_owned(),
            backend.circuit.clone(),
            format!("{}/{}", backend.in_flight, backend.limit),
            version,
        ]
    });
    print_table(out, header, rows)
}

fn print_leases(out: &mut impl Write, leases: &[Holder]) -> Result<(), Failure> {
    let rows = leases
        .iter()
        .map(|lease| [lease.scope.clone(), lease.holder.clone(), lease.epoch.to_string()]);
    print_table(out, ["LEASE", "HOLDER", "EPOCH"], rows)
}

/// Prints a blank line, the header and the rows in aligned columns.
fn print_table<const N: usize>(
    out: &mut impl Write,
    header: [&str; N],
    rows: impl Iterator<Item = [String; N]>,
) -> Result<(), Failure> {
    let mut lines = vec![header.map(ToOwned::to_owned)];
    lines.extend(rows);
    let mut widths = [0; N];
    for line in &lines {
        for (width, cell) in widths.iter_mut().zip(line) {
            *width = (*width).max(cell.chars().count());
        }
    }
    writeln!(out)?;
    for line in &lines {
        let cells = line.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}"));
        let cells: Vec<_> = cells.collect();
        writeln!(out, "{}", cells.join("  ").trim_end())?;
    }
    Ok(())
}
