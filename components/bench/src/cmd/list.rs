//! `list`: prints scenarios and injectable defects.

use std::process::ExitCode;

use filbertsail_bench::{defect, scenario};

pub fn run() -> ExitCode {
    for name in scenario::ALL {
        let description = scenario::named(name, 1).map_or("", |scenario| scenario.description);
        println!("{name:18} {description}");
    }
    println!("\ndefects for --break:");
    for defect in defect::ALL {
        println!("{defect:18} violates {}", defect.violates());
    }
    ExitCode::SUCCESS
}
