//! HTTP/1.1 for stand-ins: one thread per connection, bodies with a length or in chunks.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

/// Number of times that all open channels to the store and to workers went silent.
static SILENCES: AtomicU64 = AtomicU64::new(0);

/// From now on nothing passes on the channels to the store and to workers that are open; new ones work.
pub fn silence_open_channels() {
    SILENCES.fetch_add(1, Ordering::SeqCst);
}

pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Path and query.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pair = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)?;
        Some(unescape(pair.1))
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.filter(|_| bytes[at] == b'%').and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Connection with its read buffer.
pub struct Stream {
    pub socket: TcpStream,
    buffer: Vec<u8>,
    silences: u64,
}

fn broken(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, reason)
}

impl Stream {
    pub fn new(socket: TcpStream) -> Self {
        let _ = socket.set_nodelay(true);
        Self { socket, buffer: Vec::new(), silences: SILENCES.load(Ordering::SeqCst) }
    }

    pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let socket = TcpStream::connect_timeout(&address, limit)?;
        Ok(Self::new(socket))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let count = self.socket.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if self.fill()? == 0 {
                return Err(broken("closed in a head"));
            }
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(broken("closed in a body"));
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads the head of a message; the body stays empty.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let line = self.line()?;
        let mut headers = Vec::new();
        loop {
            let header = self.line()?;
            if header.is_empty() {
                return Ok(Message { line, headers, body: Vec::new() });
            }
            if let Some((name, value)) = header.split_once(':') {
                headers.push((name.to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the next chunk of a chunked body; empty at its end.
    pub fn read_chunk(&mut self) -> io::Result<Vec<u8>> {
        let size = self.line()?;
        let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
        let size = size.map_err(|_| broken("malformed chunk"))?;
        let chunk = self.take(size)?;
        self.line()?;
        Ok(chunk)
    }

    pub fn read_message(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        if message.header("transfer-encoding").is_some() {
            loop {
                let chunk = self.read_chunk()?;
                if chunk.is_empty() {
                    break;
                }
                message.body.extend(chunk);
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(|_| broken("malformed length"))?;
            message.body = self.take(length)?;
        }
        Ok(message)
    }

    /// Whether the channel has gone silent. Its owner does not notice.
    pub fn is_silent(&self) -> bool {
        SILENCES.load(Ordering::SeqCst) != self.silences
    }

    /// Drops what arrives, until the other side has closed the connection.
    pub fn drop_input(&mut self) {
        let _ = self.socket.set_read_timeout(None);
        while self.fill().is_ok_and(|count| count > 0) {
            self.buffer.clear();
        }
    }

    /// Whether the other side is known to have closed or reset the connection.
    pub fn is_closed(&self) -> bool {
        if self.is_silent() {
            return false;
        }
        let mut byte = [0; 1];
        let _ = self.socket.set_nonblocking(true);
        let peeked = self.socket.peek(&mut byte);
        let _ = self.socket.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.socket.write_all(bytes)
    }

    pub fn respond(
        &mut self,
        status: u16,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {status} {}\r\n", reason(status));
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }
}

pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// Listener on a free port of `ip`, whose connections `handle` serves in threads of their own.
pub fn serve(
    ip: &str,
    handle: impl Fn(Stream) + Send + Sync + Clone + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(Stream::new(socket)));
        }
    });
    Ok(address)
}

/// Sends one request on a new connection and reads the response within `limit`.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let end = Instant::now() + limit;
    let mut stream = Stream::connect(address, limit.min(Duration::from_secs(1)))?;
    send(&mut stream, method, target, headers, body)?;
    let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.socket.set_read_timeout(Some(left))?;
    stream.read_message()
}

pub fn send(
    stream: &mut Stream,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write(&bytes)
}
