//! Stand-ins of a whole inventory in one process.

mod cli;

use std::{fs, net::SocketAddr};

use eyre::WrapErr;
use filbertsail_config::inventory::Inventory;
use filbertsail_standin::set::{self, Addresses, Options};
use tokio_util::sync::CancellationToken;

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let args: cli::Args = argh::from_env();
    let text = fs::read_to_string(&args.inventory)
        .wrap_err_with(|| format!("cannot read {}", args.inventory.display()))?;
    let inventory = Inventory::parse(&text).wrap_err("bad inventory")?;
    let mut options =
        Options { platform: addresses(args.platform), any_port: false, ..Options::default() };
    options.engine.seed = args.seed;
    options.engine.straggler_share = args.stragglers;
    let stop = CancellationToken::new();
    let set = set::start(inventory, &options, &stop)?;
    println!("table={} objects={}", set.table.address, set.objects.address);
    println!("vms={} weights={}", set.vms.address, set.weights.address);
    println!("scorer={}", set.scorer.address);
    tokio::signal::ctrl_c().await?;
    stop.cancel();
    Ok(())
}

fn addresses(first: SocketAddr) -> Addresses {
    let next = |offset: u16| SocketAddr::new(first.ip(), first.port().saturating_add(offset));
    Addresses { table: first, objects: next(1), vms: next(2), weights: next(3), scorer: next(4) }
}
