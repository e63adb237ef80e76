//! Load reports that arrive out of order.

use filbertsail_clock::Instant;
use filbertsail_config::inventory::{Class, Inventory};
use filbertsail_routing::state::{Fleet, Report, Request, inventory::Gateway, worker::Exclusion};

const INVENTORY: &str = r#"
[deployment]
name = "d"
staleness_weight = 1.0
idle_weight = 1.0
[[zone]]
name = "a"
region = "r"
[[service]]
name = "s"
kind = "model"
max_concurrency = 64
[[worker]]
name = "w"
service = "s"
zone = "a"
address = "127.0.0.1:1000"
"#;

/// Guards against new work for a worker that has stated that it is leaving, because a report of before
/// arrives later, and against a worker that started again and is not used.
#[test]
fn can_ignore_reports_that_arrive_late() {
    let mut fleet = Fleet::default();
    let gateway = Gateway { name: "g", zone: "a", subset_size: 64 };
    fleet.apply_inventory(&Inventory::parse(INVENTORY).expect("inventory"), gateway);
    let key = fleet.worker_key("w").expect("worker");
    let service = fleet.service_key("s").expect("service");
    let now = Instant::from_millis(20_000);
    let request = Request {
        service,
        class: Class::Customer,
        min_version: None,
        prefixes: &[],
        excluded: &[],
    };
    for (incarnation, measured_at, leaving, is_used, case) in [
        (5, 10_000, false, true, "it runs"),
        (5, 11_000, true, false, "it is leaving"),
        (5, 10_500, false, false, "a report of before that"),
        (4, 10_900, false, false, "a report of an earlier lifetime"),
        (6, 12_000, false, true, "it has started again"),
        (5, 11_900, true, true, "a report of the lifetime before"),
        (7, 11_990, false, true, "its report has been on its way for long"),
        (7, 13_000, true, false, "it is leaving again"),
        (3, 14_000, false, true, "it has started after its wall clock was set back"),
    ] {
        let measured_at = Instant::from_millis(measured_at);
        let report = Report {
            measured_at,
            incarnation,
            running: 0,
            queued: 0,
            capacity: 8,
            weight_version: Some(1),
            leaving,
        };
        fleet.record_report(key, report);
        let expected = (!is_used).then_some(Exclusion::Leaving);
        assert_eq!(fleet.exclusion(key, &request, now), expected, "{case}");
    }
}
