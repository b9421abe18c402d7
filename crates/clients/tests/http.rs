//! Tests of the HTTP client over TCP, against a server that counts its connections.

use rushwalk_clients::http::Request;
use rushwalk_clients::{Error, HttpClient, Method};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// A server whose response depends only on the path: `/ok`, `/missing`, `/garbage`, `/large`
/// or `/hang`. It accepts only requests without a body.
struct Server {
    address: SocketAddr,
    /// Number of connections accepted so far.
    connections: Arc<AtomicUsize>,
}

impl Server {
    fn start() -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::new(AtomicUsize::new(0));
        let accepted = connections.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                accepted.fetch_add(1, Ordering::Relaxed);
                std::thread::spawn(move || serve(stream));
            }
        });
        Server {
            address,
            connections,
        }
    }

    fn request<'a>(&self, path: &'a str) -> Request<'a> {
        Request {
            address: self.address,
            method: Method::GET,
            path,
            body: Vec::new(),
            timeout: Duration::from_secs(2),
        }
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
}

fn serve(mut stream: TcpStream) {
    while let Some(head) = read_head(&mut stream) {
        let path = head.split(' ').nth(1).unwrap_or("").to_string();
        let sent = match path.as_str() {
            "/ok" => respond(&mut stream, "200 OK", b"[1,2]"),
            "/missing" => respond(&mut stream, "404 Not Found", b"no such key"),
            "/garbage" => respond(&mut stream, "200 OK", b"[1,"),
            "/large" => respond(&mut stream, "200 OK", &vec![b' '; (16 << 20) + 1]),
            _ => {
                std::thread::sleep(Duration::from_secs(5));
                return;
            }
        };
        if sent.is_err() {
            return;
        }
    }
}

fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

fn respond(stream: &mut TcpStream, status: &str, body: &[u8]) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)
}

#[tokio::test]
async fn idle_connection_is_reused() {
    let server = Server::start();
    let client = HttpClient::new(4);
    for _ in 0..3 {
        let numbers: Vec<u32> = client.json(server.request("/ok")).await.unwrap();
        assert_eq!(numbers, [1, 2]);
    }
    assert_eq!(server.connections(), 1);
    client.drop_idle(server.address);
    client.call(server.request("/ok")).await.unwrap();
    assert_eq!(server.connections(), 2);
}

#[tokio::test]
async fn errors_distinguish_failed_calls_by_cause() {
    let server = Server::start();
    let client = HttpClient::new(4);
    let missing = client.call(server.request("/missing")).await.unwrap();
    assert_eq!(missing.status, 404);
    assert!(missing.body_contains("such") && !missing.body_contains("lease"));
    let status = client.json::<Vec<u32>>(server.request("/missing")).await;
    assert!(matches!(status, Err(Error::Status(404))), "{status:?}");
    let garbage = client.json::<Vec<u32>>(server.request("/garbage")).await;
    assert!(matches!(garbage, Err(Error::Unanswered(_))), "{garbage:?}");
    let large = client.call(server.request("/large")).await;
    assert!(matches!(large, Err(Error::ResponseTooLarge)), "{large:?}");
    let hanging = Request {
        timeout: Duration::from_millis(200),
        ..server.request("/hang")
    };
    let hanging = client.call(hanging).await.unwrap_err();
    assert_eq!(hanging.to_string(), "no answer: timed out");
}

#[tokio::test]
async fn connection_to_a_closed_port_is_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let request = Request {
        address,
        method: Method::GET,
        path: "/ok",
        body: Vec::new(),
        timeout: Duration::from_secs(2),
    };
    let refused = HttpClient::new(0).call(request).await;
    assert!(
        matches!(refused, Err(Error::ConnectionRefused)),
        "{refused:?}"
    );
}
