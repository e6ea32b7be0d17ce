//! Clients, which send one request on a connection of its own.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::http::{Message, Reader};

/// Sends a request and reads the whole answer.
///
/// # Errors
/// Returns the error of the connection.
pub fn send(
    entry: SocketAddr,
    line: &str,
    headers: &[(&str, String)],
    body: &[u8],
    time_limit: Duration,
) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&entry, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(time_limit))?;
    let mut head = format!("{line} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut writer = stream.try_clone()?;
    writer.write_all(head.as_bytes())?;
    writer.write_all(body)?;
    let answer = Reader::new(stream).message(true)?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
