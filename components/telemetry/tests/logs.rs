//! Log file. There is only one test, since a process has only one logger.

use std::fs;

use filbertsail_telemetry::{event::Line, logs};

/// Guards against a logger that drops events, ignores the level, or changes the line format.
#[test]
fn can_write_events_to_a_file() {
    let folder = tempfile::tempdir().expect("folder");
    let path = folder.path().join("daemon.log");
    assert!(logs::init("verbose", Some(&path)).is_err());
    logs::init("info", Some(&path)).expect("starts");
    Line::new("ready").with("name", "gateway-1").info();
    Line::new("route").debug();
    log::logger().flush();
    let text = fs::read_to_string(&path).expect("log file");
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(text.trim_end().ends_with("[INFO] event=ready name=gateway-1"), "{text}");
    assert!(logs::init("info", None).is_err(), "a second logger was set");
}
