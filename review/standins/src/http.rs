//! HTTP/1.1 over TCP: a server with a thread for each connection, and a client.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: String,
}

impl Request {
    /// A parameter of the query; empty if it is missing.
    pub fn param(&self, name: &str) -> &str {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map_or("", |(_, value)| value)
    }
}

/// A status with a JSON body.
pub type Reply = (u16, String);

/// A handler's result; `None` closes the connection without an answer.
pub type Handler = Arc<dyn Fn(&Request) -> Option<Reply> + Send + Sync>;

/// Serves connections until the process ends.
pub fn serve(listener: TcpListener, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = serve_connection(stream, &handler);
            });
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let mut parts = line.split_whitespace();
        let method = parts.next().unwrap_or("").to_string();
        let target = parts.next().unwrap_or("").to_string();
        let (length, close) = read_headers(&mut reader)?;
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let request = Request {
            method,
            path: path.into(),
            query: query.into(),
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        let Some((status, body)) = handler(&request) else {
            return Ok(());
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
        if close {
            return Ok(());
        }
    }
}

/// Reads headers; returns the length of the body, and whether the connection is to be closed.
fn read_headers(reader: &mut impl BufRead) -> Result<(usize, bool)> {
    let (mut length, mut close) = (0, false);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(Error::new(ErrorKind::UnexpectedEof, "closed"));
        }
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            return Ok((length, close));
        }
        if let Some((name, value)) = line.split_once(':') {
            match name {
                "content-length" => length = value.trim().parse().unwrap_or(0),
                "connection" => close = value.trim() == "close",
                _ => {}
            }
        }
    }
}

/// Sends one request on a connection of its own.
pub fn call(to: &str, method: &str, path: &str, body: &str, wait: Duration) -> Result<Reply> {
    let address: SocketAddr = to
        .parse()
        .map_err(|_| Error::new(ErrorKind::InvalidInput, "address"))?;
    let stream = TcpStream::connect_timeout(&address, wait)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    let mut writer = stream.try_clone()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {to}\r\ncontent-type: application/json\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    writer.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(Error::new(ErrorKind::UnexpectedEof, "no answer"));
    }
    let status = line.split_whitespace().nth(1).and_then(|s| s.parse().ok());
    let (length, _) = read_headers(&mut reader)?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let status = status.ok_or_else(|| Error::new(ErrorKind::InvalidData, "status"))?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
