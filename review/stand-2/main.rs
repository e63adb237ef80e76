//! Stand-ins and drivers of the scripts of the second review. Uses the standard library only.
//!
//! `stand CASE RECORD` runs a case; the environment variable `TROUBLE=0` leaves out the disruption.
//! Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod client;
mod frozen_owner;
mod gone_worker;
mod http;
mod json;
mod large_batches;
mod large_item;
mod record;
mod silent_channels;
mod steps;
mod store;
mod vm;
mod worker;

use std::{env, fs, io, path::Path, process::ExitCode};

pub enum Outcome {
    Held,
    Broken,
    CouldNotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: stand CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    match run(case, Path::new(path), trouble) {
        Ok(Outcome::Held) => ExitCode::SUCCESS,
        Ok(Outcome::Broken) => ExitCode::from(1),
        Ok(Outcome::CouldNotRun) => ExitCode::from(2),
        Err(error) => {
            eprintln!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, path: &Path, trouble: bool) -> io::Result<Outcome> {
    let record = record::Record::create(path)?;
    record.say(&format!("case {case}, disruption: {trouble}"));
    let folder = env::temp_dir().join(format!("review-2-{case}-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let outcome = match case {
        "large-batches" => large_batches::run(&folder, trouble, &record),
        "large-item" => large_item::run(&folder, trouble, &record),
        "gone-worker" => gone_worker::run(&folder, trouble, &record),
        "frozen-owner" => frozen_owner::run(&folder, trouble, &record),
        "silent-channels" => silent_channels::run(&folder, trouble, &record),
        _ => Err(io::Error::other("no such case")),
    };
    if env::var_os("KEEP").is_none() {
        fs::remove_dir_all(&folder)?;
    }
    outcome
}
