//! Controller daemon.

mod cli;

use filbertsail_config::check::{self, Role};
use filbertsail_controller::daemon;
use filbertsail_telemetry::logs;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let args: cli::Args = argh::from_env();
    let settings = check::load_settings(&args.settings, Role::Controller)?;
    logs::init(&settings.log.level, settings.log.file.as_deref())?;
    let stop = CancellationToken::new();
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let handle = daemon::start_with(settings, args.policy, stop.clone()).await?;
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        stop.cancel();
        // Keeps the signal handlers installed, so that a second signal is ignored.
        std::future::pending::<()>().await;
    });
    handle.join().await
}
