//! Record of what was sent, answered and run, written to a file as it happens.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

/// Event with its time since the start.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: Duration,
    pub what: &'static str,
    /// Request, or what the event is about.
    pub subject: String,
    /// Worker, machine or answer.
    pub detail: String,
}

pub struct Record {
    started: Instant,
    file: Mutex<File>,
    events: Mutex<Vec<Event>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Mutex::new(File::create(path)?);
        Ok(Self { started: Instant::now(), file, events: Mutex::default() })
    }

    pub fn add(&self, what: &'static str, subject: &str, detail: &str) {
        let at = self.started.elapsed();
        let (subject, detail) = (subject.to_owned(), detail.to_owned());
        let line = format!("{:8.3} {what} {subject} {detail}\n", at.as_secs_f64());
        // The verdict follows from the events in memory.
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
        self.events.lock().unwrap().push(Event { at, what, subject, detail });
    }

    /// Events of one kind, oldest first.
    pub fn events(&self, what: &str) -> Vec<Event> {
        let events = self.events.lock().unwrap();
        events.iter().filter(|event| event.what == what).cloned().collect()
    }
}
