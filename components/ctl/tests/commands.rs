//! Commands against a real admin handler with a fake fleet.

mod support;

use std::{fs, net::SocketAddr, path::PathBuf};

use argh::FromArgs;
use filbertsail_ctl::{cli::Cli, exit::Exit, run};
use support::{Mode, start};
use tempfile::TempDir;
use tokio::net::TcpSocket;

const INVENTORY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/swan-coastal.toml");

/// Runs a command; returns its exit code, standard output and standard error.
async fn command(args: &[&str]) -> (Exit, String, String) {
    let cli = Cli::from_args(&["filbertsailctl"], args).expect("arguments");
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = run(cli, &mut out, &mut err).await;
    (exit, String::from_utf8(out).expect("UTF-8"), String::from_utf8(err).expect("UTF-8"))
}

/// Runs a command with an operator's token.
async fn operate(address: SocketAddr, args: &[&str]) -> (Exit, String, String) {
    with_token(address, "operator-token-0001", args).await
}

async fn with_token(address: SocketAddr, token: &str, args: &[&str]) -> (Exit, String, String) {
    let folder = TempDir::new().expect("folder");
    let path = folder.path().join("token");
    fs::write(&path, format!("# token\n{token}\n")).expect("token file");
    let (address, path) = (address.to_string(), path.display().to_string());
    let global = ["--gateway", &address, "--token-file", &path];
    command(&[&global[..], args].concat()).await
}

fn broken_file() -> PathBuf {
    let folder = env!("CARGO_MANIFEST_DIR");
    PathBuf::from(folder).join("../config/tests/broken/inventory_same_address.toml")
}

/// Guards against a check that needs a gateway, or an exit code that hides faults.
#[tokio::test]
async fn can_check_files() {
    let (exit, out, _) = command(&["check", INVENTORY]).await;
    assert_eq!(exit, Exit::Done);
    assert!(out.contains("inventory of swan-coastal: 3 zones"), "{out}");
    assert!(out.contains("advisor-lm (9 workers), feed-portal (3 workers)"), "{out}");

    let broken = broken_file().display().to_string();
    let (exit, out, _) = command(&["check", &broken]).await;
    assert_eq!(exit, Exit::Faults);
    assert!(out.contains("worker[1].address = \"127.0.0.1:7001\": repeats worker[0].address"));
    assert!(out.ends_with("number of faults: 1\n"), "{out}");

    let (exit, out, _) = command(&["--json", "check", &broken]).await;
    assert_eq!(exit, Exit::Faults);
    let report: serde_json::Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(report["faults"][0]["key"], "worker[1].address");

    let (exit, _, err) = command(&["check", "no-such-file.toml"]).await;
    assert_eq!(exit, Exit::Usage);
    assert!(err.contains("reading no-such-file.toml"), "{err}");
}

/// Guards against activating a text that differs from the file, or losing the author.
#[tokio::test]
async fn can_apply_and_show() {
    let (_, address) = start(Mode::Normal).await;
    assert_eq!(operate(address, &["show"]).await.0, Exit::NotFound);
    let (exit, out, err) = operate(address, &["apply", INVENTORY]).await;
    assert_eq!((exit, err.as_str()), (Exit::Done, ""));
    assert!(out.starts_with("version 1 in force on 2 of 2 live daemons"), "{out}");
    let (_, out, _) = operate(address, &["show"]).await;
    let text = fs::read_to_string(INVENTORY).expect("inventory");
    assert_eq!(out.split_once('\n').expect("header").1, text);
    // No author was given, so the conflict reports the name of the token.
    let (exit, _, err) = operate(address, &["apply", INVENTORY, "--expect", "0"]).await;
    assert_eq!(exit, Exit::Conflict);
    assert!(err.starts_with("lost the race: version 1 by ops won"), "{err}");
}

/// Guards against overwriting a change that was committed after the version was read.
#[tokio::test]
async fn can_report_a_concurrent_change() {
    let (_, address) = start(Mode::Race).await;
    let (exit, out, err) = operate(address, &["apply", INVENTORY]).await;
    assert_eq!((exit, out.as_str()), (Exit::Conflict, ""));
    assert!(err.starts_with("lost the race: version 1 by rival won"), "{err}");
}

/// Guards against exit codes that confuse the outcomes of `apply`.
#[tokio::test]
async fn can_tell_outcomes_apart() {
    for (mode, expected, text) in [
        (Mode::Silent, Exit::Unknown, "unknown_outcome: the table did not answer"),
        (Mode::Minority, Exit::Unavailable, "unavailable: 1 of 3 known daemons are live"),
        (Mode::Unconfirmed, Exit::Unconfirmed, "not confirmed: controller-1"),
    ] {
        let (_, address) = start(mode).await;
        let (exit, out, err) = operate(address, &["apply", INVENTORY]).await;
        assert_eq!(exit, expected, "{mode:?}");
        assert!(format!("{out}{err}").contains(text), "{out}{err}");
    }
    let (_, address) = start(Mode::Normal).await;
    let broken = broken_file().display().to_string();
    assert_eq!(operate(address, &["apply", &broken]).await.0, Exit::Faults);
    let denied = with_token(address, "reader-token-000001", &["apply", INVENTORY]).await;
    assert_eq!(denied.0, Exit::Denied);
    assert_eq!(operate(address, &["show"]).await.0, Exit::NotFound, "nothing was applied");
}

/// Guards against a status without a column, or a drain that cannot be undone.
#[tokio::test]
async fn can_drain_and_report_status() {
    let (_, address) = start(Mode::Normal).await;
    let (exit, out, _) = operate(address, &["drain", "advisor-1"]).await;
    assert_eq!(exit, Exit::Done);
    assert_eq!(out, "advisor-1 receives no new work; 2 requests of this gateway left\n");
    insta::assert_snapshot!("status", operate(address, &["status"]).await.1);
    let (exit, out, _) = operate(address, &["drain", "advisor-1", "--undo"]).await;
    assert_eq!((exit, out.as_str()), (Exit::Done, "advisor-1 receives new work again\n"));
    let (_, out, _) = operate(address, &["--json", "status"]).await;
    assert_eq!(json(&out)["backends"][0]["leaving"], false);
    let (exit, _, err) = operate(address, &["drain", "advisor-9"]).await;
    assert_eq!(exit, Exit::NotFound);
    assert!(err.contains("no worker or daemon advisor-9"), "{err}");
}

/// Guards against an explanation that omits why a worker is not eligible.
#[tokio::test]
async fn can_explain() {
    let (_, address) = start(Mode::Normal).await;
    let (exit, out, _) = operate(address, &["explain", "advisor-lm", "--class", "rollout"]).await;
    assert_eq!(exit, Exit::Done);
    insta::assert_snapshot!("explain", out);
    let (_, out, _) = operate(address, &["--json", "explain", "advisor-lm"]).await;
    assert_eq!(json(&out)["chosen"], "advisor-1");
}

/// Guards against a wrong exit code if the gateway is unreachable or not given.
#[tokio::test]
async fn can_report_an_absent_gateway() {
    // The socket is bound but not listening: no other test can take the port, and connections fail.
    let socket = TcpSocket::new_v4().expect("socket");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("binds");
    let address = socket.local_addr().expect("address");
    let (exit, _, err) = operate(address, &["status"]).await;
    assert_eq!(exit, Exit::Unavailable, "{err}");
    assert!(err.contains(&format!("gateway {address}: no connection")), "{err}");
    let (exit, _, err) = command(&["status"]).await;
    assert_eq!((exit, err.trim()), (Exit::Usage, "--gateway ADDR is required for this command"));
}

fn json(text: &str) -> serde_json::Value {
    serde_json::from_str(text).expect("JSON")
}

/// Guards against a trace that misses lines of another VM, sorts them wrongly, or matches an
/// identifier that only starts with the given one.
#[tokio::test]
async fn can_trace_a_request_over_several_files() {
    let folder = TempDir::new().expect("folder");
    let write = |name: &str, text: &[u8]| {
        let path = folder.path().join(name);
        fs::write(&path, text).expect("log file");
        path.display().to_string()
    };
    let one = write(
        "vm-1.log",
        b"2026-01-01T00:00:02.5Z [INFO] event=item_sent item=i-7 worker=e-1\n\xff\n\
          2026-01-01T00:00:02.25Z [INFO] event=batch_owned batch=b-1\n",
    );
    let two = write(
        "vm-2.log",
        b"2026-01-01T00:00:02.125Z [INFO] event=item_sent item=\"i-7\" worker=e-2\n\
          2026-01-01T00:00:02.3Z [INFO] event=item_sent item=i-77 worker=e-2\n",
    );
    let (exit, out, _) = command(&["trace", "i-7", &one, &two]).await;
    assert_eq!(exit, Exit::Done);
    let sources: Vec<&str> = out.lines().filter_map(|line| line.split(':').next()).collect();
    assert_eq!(sources, ["vm-2", "vm-1"], "{out}");
    assert_eq!(command(&["trace", "i-8", &one, &two]).await.0, Exit::Faults);
    assert_eq!(command(&["trace", "i-7", "/no/such/file"]).await.0, Exit::Usage);
    assert_eq!(
        command(&["trace", "", &one]).await.0,
        Exit::Usage,
        "an empty identifier is rejected"
    );
}
