//! Proxy in front of a server that can be cut off. Bytes that are under way then are held, and arrive
//! with the sender's next retransmission after the cut, unless the sender resets the connection.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, MutexGuard},
    thread::{self, sleep},
    time::{Duration, Instant},
};

/// Times after the first transmission at which the kernel sends unacknowledged bytes again.
pub const RETRANSMISSIONS_MS: [u64; 6] = [200, 600, 1_400, 3_000, 6_200, 12_600];
/// Time between two checks of the state of a connection whose bytes are held.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Clone, Copy, Default)]
struct Cut {
    from: Option<Instant>,
    to: Option<Instant>,
}

/// Proxy of one server, cheap to clone.
#[derive(Clone, Default)]
pub struct Proxy {
    cut: Arc<Mutex<Cut>>,
}

impl Proxy {
    /// Forwards connections to `listen` to the server at `server`.
    pub fn start(listen: SocketAddr, server: SocketAddr) -> io::Result<Self> {
        let (listener, proxy) = (TcpListener::bind(listen)?, Self::default());
        let started = proxy.clone();
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let proxy = proxy.clone();
                thread::spawn(move || {
                    // One side has closed the connection, which ends it.
                    let _ = proxy.serve(caller, server);
                });
            }
        });
        Ok(started)
    }

    pub fn cut(&self) {
        *self.lock() = Cut { from: Some(Instant::now()), to: None };
    }

    pub fn heal(&self) {
        self.lock().to = Some(Instant::now());
    }

    fn lock(&self) -> MutexGuard<'_, Cut> {
        self.cut.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn is_cut(&self) -> bool {
        let cut = *self.lock();
        cut.from.is_some() && cut.to.is_none()
    }

    fn serve(&self, mut caller: TcpStream, server: SocketAddr) -> io::Result<()> {
        if self.is_cut() {
            // Its opening packet is lost, and the caller gives it up before the end of the cut.
            return io::copy(&mut caller, &mut io::sink()).map(drop);
        }
        let callee = TcpStream::connect(server)?;
        caller.set_nodelay(true)?;
        callee.set_nodelay(true)?;
        let (mut answers, mut back) = (callee.try_clone()?, caller.try_clone()?);
        thread::spawn(move || {
            let copied = io::copy(&mut answers, &mut back);
            // Bytes that the caller does not take any more reset the connection to the server.
            let side = if copied.is_ok() { Shutdown::Write } else { Shutdown::Both };
            let _ = (answers.shutdown(side), back.shutdown(Shutdown::Write));
        });
        self.forward(caller, callee)
    }

    fn forward(&self, mut caller: TcpStream, mut callee: TcpStream) -> io::Result<()> {
        let mut buffer = vec![0; 64 * 1024];
        let mut held: Vec<u8> = Vec::new();
        let mut held_at = None;
        loop {
            // A reset discards what is held.
            let count = match caller.read(&mut buffer) {
                Ok(count) => count,
                Err(error) => return callee.shutdown(Shutdown::Both).and(Err(error)),
            };
            if self.is_cut() && count > 0 {
                held_at.get_or_insert_with(Instant::now);
            }
            let Some(sent_at) = held_at else {
                if count == 0 {
                    return callee.shutdown(Shutdown::Write);
                }
                callee.write_all(&buffer[..count])?;
                continue;
            };
            held.extend_from_slice(&buffer[..count]);
            if count == 0 {
                self.wait_for_retransmission(sent_at);
                callee.write_all(&held)?;
                return callee.shutdown(Shutdown::Write);
            }
        }
    }

    /// Waits for the first retransmission after the cut.
    fn wait_for_retransmission(&self, sent_at: Instant) {
        while self.is_cut() {
            sleep(CHECK_INTERVAL);
        }
        let healed_at = self.lock().to.unwrap_or(sent_at);
        let due = RETRANSMISSIONS_MS.iter().map(|after| sent_at + Duration::from_millis(*after));
        if let Some(due) = due.into_iter().find(|due| *due > healed_at) {
            sleep(due.saturating_duration_since(Instant::now()));
        }
    }
}
