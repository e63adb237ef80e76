//! Writer that never blocks.
//!
//! Lines go into a bounded buffer, and a thread of its own writes them out. When the reader of the
//! output falls behind, further lines are dropped and counted, and the count is written as soon as
//! there is room again.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

/// Bytes that may wait to be written: some seconds of lines at the busiest.
const CAPACITY: usize = 512 * 1024;
/// Most bytes of one write, unless a single line is longer: a pipe takes that much at once, so that
/// lines of several writers are not torn.
const WRITE_BYTES: usize = 4 * 1024;
/// Pause between two writes, so that many lines share a system call.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    /// Lines dropped and not yet reported.
    unreported: u64,
    dropped: u64,
    busy: bool,
}

#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    filled: Condvar,
}

/// Handle that lines are written to, cheap to clone.
#[derive(Clone, Debug)]
pub struct Sink {
    shared: Arc<Shared>,
    /// Line that has not ended yet; lines are kept or dropped whole.
    line: Vec<u8>,
}

impl Sink {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    /// Fails if the thread cannot be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let reader = Arc::clone(&shared);
        thread::Builder::new().name("log".to_owned()).spawn(move || reader.drain(output))?;
        Ok(Self { shared, line: Vec::new() })
    }

    /// Lines dropped since the start.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.shared.lock().dropped
    }

    /// Waits until the lines written so far are out, or `limit` is over.
    pub fn flush_within(&self, limit: Duration) {
        let step = Duration::from_millis(5);
        let mut waited = Duration::ZERO;
        while waited < limit && self.shared.has_lines() {
            self.shared.filled.notify_one();
            thread::sleep(step);
            waited += step;
        }
    }
}

impl Write for Sink {
    fn write(&mut self, part: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(part);
        if part.ends_with(b"\n") {
            self.shared.push(&self.line);
            self.line.clear();
        }
        Ok(part.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, line: &[u8]) {
        let mut buffer = self.lock();
        if buffer.bytes.len() + line.len() > CAPACITY {
            buffer.unreported += 1;
            buffer.dropped += 1;
            return;
        }
        let was_empty = buffer.bytes.is_empty();
        buffer.bytes.extend_from_slice(line);
        drop(buffer);
        if was_empty {
            self.filled.notify_one();
        }
    }

    fn has_lines(&self) -> bool {
        let buffer = self.lock();
        buffer.busy || !buffer.bytes.is_empty()
    }

    fn drain(&self, mut output: impl Write) {
        let mut bytes = Vec::new();
        loop {
            let dropped = self.take(&mut bytes);
            for lines in pieces(&bytes) {
                // There is nobody left to tell when the output itself fails.
                let _ = output.write_all(lines);
            }
            if dropped > 0 {
                let _ = writeln!(output, "event=log_lines_dropped count={dropped}");
            }
            let _ = output.flush();
            self.lock().busy = false;
            thread::sleep(FLUSH_INTERVAL);
        }
    }

    /// Swaps the waiting lines into `bytes`; returns the lines dropped since the last time.
    fn take(&self, bytes: &mut Vec<u8>) -> u64 {
        let mut buffer = self.lock();
        while buffer.bytes.is_empty() {
            buffer = self.filled.wait(buffer).unwrap_or_else(PoisonError::into_inner);
        }
        bytes.clear();
        std::mem::swap(&mut buffer.bytes, bytes);
        buffer.busy = true;
        std::mem::take(&mut buffer.unreported)
    }
}

/// Whole lines in pieces of at most [`WRITE_BYTES`] bytes where lines are that short.
fn pieces(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = bytes;
    std::iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let window = &rest[..rest.len().min(WRITE_BYTES)];
        let end = match window.iter().rposition(|byte| *byte == b'\n') {
            Some(last) => last + 1,
            None => rest.iter().position(|byte| *byte == b'\n').map_or(rest.len(), |end| end + 1),
        };
        let (piece, left) = rest.split_at(end);
        rest = left;
        Some(piece)
    })
}
