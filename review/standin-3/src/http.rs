//! HTTP/1.1 over blocking sockets, one thread a connection.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Head and body of a message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// Returns the path and query of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Returns a decoded parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.find(|(known, _)| *known == name)?;
        Some(decode(found.1))
    }

    /// Returns the status of an answer; 0 if the line has none.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status
            .and_then(|status| status.parse().ok())
            .unwrap_or_default()
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match code {
            Some(code) => {
                decoded.push(code);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reader of messages from a connection.
#[derive(Debug)]
pub struct Reader<R> {
    inner: R,
    buffer: Vec<u8>,
}

impl<R: Read> Reader<R> {
    pub fn new(inner: R) -> Self {
        Self {
            inner,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        let count = self.inner.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads up to an empty line; `None` at the end of the connection before the first byte.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| {
            let (name, value) = line.split_once(':')?;
            Some((name.to_ascii_lowercase(), value.trim().to_owned()))
        });
        Ok(Some(Message {
            line,
            headers: headers.collect(),
            body: Vec::new(),
        }))
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = find(&self.buffer, b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the next chunk of a chunked body; `None` after the last one.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let size = self.line()?;
        let size = size.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let chunk = self.exactly(size)?;
        self.line()?;
        Ok((size > 0).then_some(chunk))
    }

    /// Reads the body that a head announces. One of an answer without a length ends with the connection.
    pub fn body(&mut self, head: &Message, is_answer: bool) -> io::Result<Vec<u8>> {
        let encoding = head.header("transfer-encoding").unwrap_or_default();
        if encoding.to_ascii_lowercase().contains("chunked") {
            let mut body = Vec::new();
            while let Some(chunk) = self.chunk()? {
                body.extend(chunk);
            }
            return Ok(body);
        }
        if let Some(length) = head.header("content-length") {
            let length = length
                .parse()
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            return self.exactly(length);
        }
        if is_answer {
            while self.fill()? > 0 {}
            return Ok(std::mem::take(&mut self.buffer));
        }
        Ok(Vec::new())
    }

    /// Reads a whole message; `None` at the end of the connection before the first byte.
    pub fn message(&mut self, is_answer: bool) -> io::Result<Option<Message>> {
        let Some(mut head) = self.head()? else {
            return Ok(None);
        };
        head.body = self.body(&head, is_answer)?;
        Ok(Some(head))
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}

/// Writes an answer with a length.
pub fn respond(
    stream: &mut impl Write,
    status: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Listener whose connections are handled by threads of their own.
#[derive(Debug, Clone)]
pub struct Listener {
    address: SocketAddr,
    is_closed: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Listener {
    /// Binds an address, and calls `handle` for each connection.
    pub fn start(
        address: SocketAddr,
        handle: impl Fn(TcpStream) + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let bound = Self {
            address: listener.local_addr()?,
            is_closed: Arc::default(),
            open: Arc::default(),
        };
        let handle = Arc::new(handle);
        let server = bound.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                if server.is_closed.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else {
                    continue;
                };
                // Answers are small; a delayed one would look like a slow server.
                let _ = stream.set_nodelay(true);
                if let (Ok(copy), Ok(mut open)) = (stream.try_clone(), server.open.lock()) {
                    open.push(copy);
                    if open.len() > 4096 {
                        open.drain(..2048);
                    }
                }
                let handle = Arc::clone(&handle);
                thread::spawn(move || handle(stream));
            }
        });
        Ok(bound)
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the port and all connections.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        if let Ok(mut open) = self.open.lock() {
            for stream in open.drain(..) {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        }
    }
}
