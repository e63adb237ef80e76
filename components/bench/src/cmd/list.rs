//! Names the scenarios.

use std::process::ExitCode;

use filbertsail_bench::{breaks, scenario};

pub fn run() -> ExitCode {
    for name in scenario::ALL {
        let about = scenario::named(name, 1).map_or("", |scenario| scenario.about);
        println!("{name:18} {about}");
    }
    println!("\nbroken parts for --break:");
    for broken in breaks::ALL {
        println!("{broken:18} violates {}", broken.violates());
    }
    ExitCode::SUCCESS
}
