//! Runs the stand-ins for a whole inventory in one process.

mod cli;

use std::{fs, net::SocketAddr};

use eyre::WrapErr;
use filbertsail_config::inventory::Inventory;
use filbertsail_standin::environment::{self, Addresses, Options};
use tokio_util::sync::CancellationToken;

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let args: cli::Args = argh::from_env();
    let text = fs::read_to_string(&args.inventory)
        .wrap_err_with(|| format!("reading inventory {}", args.inventory.display()))?;
    let inventory = Inventory::parse(&text)
        .wrap_err_with(|| format!("parsing inventory {}", args.inventory.display()))?;
    let mut options = Options {
        platform: consecutive_addresses(args.platform),
        ephemeral_ports: false,
        ..Options::default()
    };
    options.engine.seed = args.seed;
    options.engine.straggler_fraction = args.stragglers;
    let stop = CancellationToken::new();
    let environment = environment::start(inventory, &options, &stop)?;
    println!("table={} objects={}", environment.table.address, environment.objects.address);
    println!("vms={} weights={}", environment.vms.address, environment.weights.address);
    println!("scorer={}", environment.scorer.address);
    tokio::signal::ctrl_c().await?;
    stop.cancel();
    Ok(())
}

/// Addresses on `first` and the next four ports.
fn consecutive_addresses(first: SocketAddr) -> Addresses {
    let at_offset = |offset: u16| SocketAddr::new(first.ip(), first.port().saturating_add(offset));
    Addresses {
        table: first,
        objects: at_offset(1),
        vms: at_offset(2),
        weights: at_offset(3),
        scorer: at_offset(4),
    }
}
