//! A small HTTP/1.1 server with a thread per connection, and a client that opens a connection per
//! call. Both use loopback addresses only.

use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A request as the server has read it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn param(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// What the server does with a request.
pub enum Reply {
    Json(u16, Value),
    /// The connection is closed without a response.
    Silence,
}

type Handler = dyn Fn(Request) -> Reply + Send + Sync;

/// Serves requests at a free loopback port, and returns its address.
pub fn serve(handler: impl Fn(Request) -> Reply + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handler: Arc<Handler> = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Reply::Json(status, value) = handler(request) else {
            return;
        };
        let body = value.to_string();
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, length) = read_head(reader)?;
    let mut words = first.split_whitespace();
    let (method, target) = (words.next()?.to_string(), words.next()?.to_string());
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        Some((key.to_string(), value.to_string()))
    });
    Some(Request {
        method,
        path: path.to_string(),
        query: query.collect(),
        body,
    })
}

/// The first line of a message, and the length of its body.
fn read_head(reader: &mut impl BufRead) -> Option<(String, usize)> {
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|n| *n > 0)?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            return Some((first, length));
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
}

/// Sends a request; `None` if there is no complete response in time.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: Option<&Value>,
    limit: Duration,
) -> Option<(u16, Value)> {
    let deadline = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&to, limit).ok()?;
    let _ = stream.set_nodelay(true);
    let body = body.map(Value::to_string).unwrap_or_default();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {to}\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + &body).as_bytes()).ok()?;
    let rest = deadline.checked_duration_since(Instant::now())?;
    stream
        .set_read_timeout(Some(rest.max(Duration::from_millis(1))))
        .ok()?;
    let mut reader = BufReader::new(stream);
    let (first, length) = read_head(&mut reader)?;
    let status = first.split_whitespace().nth(1)?.parse().ok()?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    (Instant::now() <= deadline).then(|| {
        let value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        (status, value)
    })
}
