//! Non-blocking log writer.
//!
//! Lines go into a bounded buffer, which a dedicated thread writes to the output. When the reader
//! of the output falls behind, further lines are dropped and counted; the count is logged as soon
//! as there is room again.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

/// Bytes that may wait to be written: a few seconds of lines at peak load.
const BUFFER_BYTES: usize = 512 * 1024;
/// Upper limit of one write, unless a single line is longer. Writes of this size to a pipe are
/// atomic, so lines of several writers are not interleaved.
const MAX_WRITE_BYTES: usize = 4 * 1024;
/// Interval between writes, so that many lines share a system call.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    /// Lines dropped since the last report in the log.
    unreported_drops: u64,
    /// Lines dropped since the start.
    total_drops: u64,
    /// The thread is writing lines that it took from `bytes`.
    is_writing: bool,
}

#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    lines_available: Condvar,
}

/// Writer of log lines, cheap to clone.
#[derive(Clone, Debug)]
pub struct Sink {
    shared: Arc<Shared>,
    /// Incomplete line; only whole lines are buffered or dropped.
    line: Vec<u8>,
}

impl Sink {
    /// Starts the thread that writes buffered lines to `output`.
    ///
    /// # Errors
    /// Fails if the thread cannot be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let thread_shared = Arc::clone(&shared);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || thread_shared.write_lines(output))?;
        Ok(Self { shared, line: Vec::new() })
    }

    /// Number of lines dropped since the start.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.shared.lock().total_drops
    }

    /// Waits until all buffered lines are written, at most `timeout`.
    pub fn flush_within(&self, timeout: Duration) {
        let poll_interval = Duration::from_millis(5);
        let mut waited = Duration::ZERO;
        while waited < timeout && self.shared.has_pending_lines() {
            self.shared.lines_available.notify_one();
            thread::sleep(poll_interval);
            waited += poll_interval;
        }
    }
}

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if bytes.ends_with(b"\n") {
            self.shared.push(&self.line);
            self.line.clear();
        }
        Ok(bytes.len())
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
        if buffer.bytes.len() + line.len() > BUFFER_BYTES {
            buffer.unreported_drops += 1;
            buffer.total_drops += 1;
            return;
        }
        let was_empty = buffer.bytes.is_empty();
        buffer.bytes.extend_from_slice(line);
        drop(buffer);
        if was_empty {
            self.lines_available.notify_one();
        }
    }

    fn has_pending_lines(&self) -> bool {
        let buffer = self.lock();
        buffer.is_writing || !buffer.bytes.is_empty()
    }

    fn write_lines(&self, mut output: impl Write) {
        let mut bytes = Vec::new();
        loop {
            let dropped = self.wait_for_lines(&mut bytes);
            for lines in line_chunks(&bytes) {
                // A failure of the log output cannot be reported anywhere.
                let _ = output.write_all(lines);
            }
            if dropped > 0 {
                let _ = writeln!(output, "event=log_lines_dropped count={dropped}");
            }
            let _ = output.flush();
            self.lock().is_writing = false;
            thread::sleep(FLUSH_INTERVAL);
        }
    }

    /// Waits for lines and moves them into `bytes`; returns the number dropped since the last call.
    fn wait_for_lines(&self, bytes: &mut Vec<u8>) -> u64 {
        let mut buffer = self.lock();
        while buffer.bytes.is_empty() {
            buffer = self.lines_available.wait(buffer).unwrap_or_else(PoisonError::into_inner);
        }
        bytes.clear();
        std::mem::swap(&mut buffer.bytes, bytes);
        buffer.is_writing = true;
        std::mem::take(&mut buffer.unreported_drops)
    }
}

/// Splits at line ends into chunks of at most [`MAX_WRITE_BYTES`]; a longer line is a chunk of its
/// own.
fn line_chunks(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = bytes;
    std::iter::from_fn(move || {
        if rest.is_empty() {
            return None;
        }
        let window = &rest[..rest.len().min(MAX_WRITE_BYTES)];
        let end = match window.iter().rposition(|byte| *byte == b'\n') {
            Some(last) => last + 1,
            None => rest.iter().position(|byte| *byte == b'\n').map_or(rest.len(), |end| end + 1),
        };
        let (chunk, remaining) = rest.split_at(end);
        rest = remaining;
        Some(chunk)
    })
}
