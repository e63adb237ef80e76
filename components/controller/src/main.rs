//! Controller daemon.

mod cli;

use eyre::WrapErr;
use filbertsail_config::settings::Settings;
use filbertsail_controller::daemon;
use filbertsail_telemetry::logs;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let args: cli::Args = argh::from_env();
    let text = std::fs::read_to_string(&args.settings);
    let text = text.wrap_err_with(|| format!("settings file {}", args.settings.display()))?;
    let settings = Settings::parse(&text).wrap_err("settings file")?;
    logs::start(&settings.log.level, settings.log.file.as_deref())?;
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
        // The handlers stay in place, so that a second signal changes nothing.
        std::future::pending::<()>().await;
    });
    handle.join().await
}
