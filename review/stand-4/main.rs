//! Cases 14 to 17: starts the project's program on loopback addresses beside stand-ins of store,
//! engines and trainer, and checks one rule.
//!
//! Arguments: case, program, folder of the record, folder for settings and logs. Exits with 0 if the
//! rule held, 1 if it was broken, and 2 if the case could not run.

mod forgotten_leaver;
mod frozen_acceptor;
mod http;
mod json;
mod late_items;
mod portal;
mod proxy;
mod record;
mod stale_entry;
mod store;
mod vm;
mod worker;

use std::{
    env, io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::ExitCode,
};

use record::Record;

/// Where a case runs.
pub struct Place {
    pub program: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    pub record: Record,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

impl Place {
    /// Loopback address of this run: two runs on one machine have different ones.
    pub fn ip(&self, host: u8) -> IpAddr {
        let id = std::process::id();
        let (high, low) = ((id >> 8) % 200 + 20, id % 256);
        IpAddr::V4(Ipv4Addr::new(127, high as u8, low as u8, host))
    }

    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(host), port)
    }
}

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
}

fn run() -> io::Result<Verdict> {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [case, program, record, folder] = arguments.as_slice() else {
        return Err(io::Error::other("usage: stand CASE PROGRAM RECORD FOLDER"));
    };
    let place = Place {
        program: PathBuf::from(program),
        folder: PathBuf::from(folder),
        record: Record::create(&PathBuf::from(record))?,
        has_trouble: env::var("TROUBLE").as_deref() != Ok("0"),
    };
    place.record.line(format!("case {case}, disruption: {}", place.has_trouble));
    let verdict = match case.as_str() {
        "frozen-acceptor" => frozen_acceptor::run(&place),
        "late-items" => late_items::run(&place),
        "stale-entry" => stale_entry::run(&place),
        "forgotten-leaver" => forgotten_leaver::run(&place),
        _ => Err(io::Error::other("unknown case")),
    };
    if let Err(error) = &verdict {
        place.record.line(format!("the case could not run: {error}"));
    }
    verdict
}

fn main() -> ExitCode {
    match run() {
        Ok(Verdict::Held) => ExitCode::from(0),
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
