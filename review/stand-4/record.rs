//! Record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Record file with the time since the start, cheap to clone.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), start: Instant::now() })
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let now_ms = self.now_ms();
        if let Ok(mut file) = self.file.lock() {
            // A record that cannot be written fails the run in `create` already.
            let _ = writeln!(file, "{:9.3} {}", now_ms as f64 / 1_000.0, text.as_ref());
        }
    }
}
