//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and client calls.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// Request as received.
#[derive(Debug)]
pub struct Request {
    /// Path without the query.
    pub path: String,
    query: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Parameter of the query; empty if there is none.
    pub fn parameter(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.into_iter().find(|(key, _)| *key == name);
        found.map_or_else(String::new, |(_, value)| decode_percent(value))
    }
}

fn decode_percent(text: &str) -> String {
    let (bytes, mut decoded, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Response with a whole body.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Response {
    pub fn json(status: u16, body: String) -> Self {
        let headers = vec![("Content-Type".to_owned(), "application/json".to_owned())];
        Self { status, headers, body }
    }

    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    /// Writes the response.
    pub fn send(&self, stream: &mut TcpStream) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {} Status\r\n", self.status);
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n{}", self.body.len(), self.body));
        stream.write_all(text.as_bytes())
    }
}

/// Serves each connection of `listener` on a thread. The handler writes the response itself and
/// returns whether the connection stays open.
pub fn serve<F>(listener: TcpListener, handler: F)
where
    F: Fn(Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                // The peer has closed the connection, which ends the thread.
                let _ = serve_connection(stream, handler.as_ref());
            });
        }
    });
}

fn serve_connection(
    mut stream: TcpStream,
    handler: &(impl Fn(Request, &mut TcpStream) -> io::Result<bool> + ?Sized),
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        if !handler(request, &mut stream)? {
            return Ok(());
        }
    }
    Ok(())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let target = words.nth(1).unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (path, query) = (path.to_owned(), query.to_owned());
    let headers = read_headers(reader)?;
    let mut request = Request { path, query, headers, body: Vec::new() };
    let length = request.header("content-length").and_then(|length| length.parse().ok());
    request.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut request.body)?;
    Ok(Some(request))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { return Ok(headers) };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Answer to a call.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    headers: Vec<(String, String)>,
    pub body: String,
}

impl Answer {
    /// Header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// Makes a call on a new connection; nothing if no answer arrives in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line.split_whitespace().nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no status line"))?;
    let headers = read_headers(&mut reader)?;
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.and_then(|(_, length)| length.parse().ok()).unwrap_or(0);
    let mut bytes = vec![0; length];
    reader.read_exact(&mut bytes)?;
    Ok(Answer { status, headers, body: String::from_utf8_lossy(&bytes).into_owned() })
}
