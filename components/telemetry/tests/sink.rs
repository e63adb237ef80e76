//! Non-blocking log writer.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, Sender, channel},
    },
    time::Duration,
};

use filbertsail_telemetry::sink::Sink;

/// Output that blocks each write until the test permits it.
struct BlockingOutput {
    permits: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockingOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Fails once the test has dropped the sender; the write then proceeds.
        let _ = self.permits.recv();
        self.written.lock().expect("lock").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn blocking_output() -> (Sender<()>, Arc<Mutex<Vec<u8>>>, BlockingOutput) {
    let (permits, receiver) = channel();
    let written = Arc::<Mutex<Vec<u8>>>::default();
    let output = BlockingOutput { permits: receiver, written: Arc::clone(&written) };
    (permits, written, output)
}

/// Guards against a daemon that blocks, or whose memory grows, because nobody reads its output.
#[test]
fn can_drop_lines_when_the_output_is_full() {
    let (permits, written, output) = blocking_output();
    let mut sink = Sink::start(output).expect("started");
    let line = format!("{}\n", "x".repeat(999));
    for _ in 0..5_000 {
        // A blocking write would hang here until the test times out.
        sink.write_all(line.as_bytes()).expect("never fails");
    }
    let dropped = sink.dropped();
    assert!(dropped > 3_000, "{dropped} of 5,000 lines of 1 kB dropped");
    (0..10_000).for_each(|_| permits.send(()).expect("permit sent"));
    sink.flush_within(Duration::from_secs(20));
    let text = String::from_utf8(written.lock().expect("lock").clone()).expect("UTF-8");
    let whole = text.lines().filter(|line| line.len() == 999).count() as u64;
    assert_eq!(whole + dropped, 5_000, "lines cut or counted twice");
    assert!(text.contains(&format!("event=log_lines_dropped count={dropped}")));
}

/// Guards against interleaved lines when a logger writes a line in several parts.
#[test]
fn can_keep_lines_whole() {
    let (permits, written, output) = blocking_output();
    let mut sink = Sink::start(output).expect("started");
    for part in ["2026 ", "[INFO] ", "event=a", "\n"] {
        sink.write_all(part.as_bytes()).expect("never fails");
    }
    (0..10).for_each(|_| permits.send(()).expect("permit sent"));
    sink.flush_within(Duration::from_secs(20));
    assert_eq!(written.lock().expect("lock").as_slice(), b"2026 [INFO] event=a\n");
}

/// Guards against lines split over two writes, between which another writer may write.
#[test]
fn can_write_only_whole_lines() {
    /// Output that records each write.
    struct Writes(Sender<Vec<u8>>);

    impl Write for Writes {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            self.0.send(bytes.to_vec()).map_err(io::Error::other)?;
            Ok(bytes.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    let (sender, writes) = channel();
    let mut sink = Sink::start(Writes(sender)).expect("started");
    let lengths = [10, 5_000, 700, 900, 3_000, 1, 4_095];
    for length in lengths {
        sink.write_all(format!("{}\n", "x".repeat(length)).as_bytes()).expect("never fails");
    }
    sink.flush_within(Duration::from_secs(20));
    let mut seen = Vec::new();
    for write in writes.try_iter() {
        assert!(write.ends_with(b"\n") && (write.len() <= 4_096 || write.len() == 5_001));
        let text = String::from_utf8(write).expect("UTF-8");
        seen.extend(text.lines().map(str::len).collect::<Vec<_>>());
    }
    assert_eq!(seen, lengths);
}
