//! Gateway daemon.

mod cli;

use filbertsail_config::{
    check::{self, Role},
    settings::Settings,
};
use filbertsail_gateway::daemon;
use filbertsail_telemetry::logs;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

fn main() -> eyre::Result<()> {
    let cli: cli::Cli = argh::from_env();
    let settings = check::load_settings(&cli.settings, Role::Gateway)?;
    logs::init(&settings.log.level, settings.log.file.as_deref())?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> eyre::Result<()> {
    let stop = CancellationToken::new();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let handle = daemon::start(settings, stop.clone()).await?;
    tokio::spawn(async move {
        // Further signals are consumed without effect.
        loop {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            stop.cancel();
        }
    });
    handle.join().await
}
