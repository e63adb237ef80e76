//! HTTP/1.1 over blocking sockets, for the stand-ins and the callers.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method and path of a request, or version and status of a response.
    pub first: (String, String),
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.1.parse().unwrap_or(0)
    }
}

/// Reads the head of a message; nothing at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let text = line.trim_end();
        if message.first.0.is_empty() {
            let mut words = text.split(' ');
            let mut word = || words.next().unwrap_or_default().to_owned();
            message.first = (word(), word());
        } else if text.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a message with a body of known length.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Writes a response with a body.
pub fn respond(
    mut stream: &TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status} -\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
    bytes.extend(body);
    stream.write_all(&bytes)
}

/// Serves each connection in a thread of its own.
pub fn serve<S: Send + Sync + 'static>(
    address: SocketAddr,
    state: Arc<S>,
    handle: fn(&Arc<S>, TcpStream) -> io::Result<()>,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let state = Arc::clone(&state);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                // An error ends only this connection.
                let _ = handle(&state, stream);
            });
        }
    });
    Ok(())
}

/// Connection of a caller.
pub struct Connection {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Connects within the second that requesters allow for a new channel.
    pub fn open(address: SocketAddr, read_timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(read_timeout))?;
        // Head and body of a response are short here.
        let reader = BufReader::with_capacity(1024, stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    pub fn send(
        &mut self,
        (method, path): (&str, &str),
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut bytes =
            format!("{method} {path} HTTP/1.1\r\nHost: {}\r\n", crate::HOST).into_bytes();
        for (name, value) in headers {
            bytes.extend(format!("{name}: {value}\r\n").into_bytes());
        }
        bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
        bytes.extend(body);
        self.stream.write_all(&bytes)
    }

    /// Sends a request and reads its response.
    pub fn call(
        &mut self,
        line: (&str, &str),
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Message> {
        self.send(line, headers, body)?;
        read_message(&mut self.reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    /// Reads and drops bytes for `time`, or until the connection ends.
    pub fn drain_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || !self.drain_once(left) {
                return;
            }
        }
    }

    /// Reads and drops the next bytes; returns whether some arrived within `time`.
    pub fn drain_once(&mut self, time: Duration) -> bool {
        let mut buffer = [0; 4096];
        self.stream.set_read_timeout(Some(time)).is_ok()
            && self.reader.read(&mut buffer).is_ok_and(|bytes| bytes > 0)
    }
}
