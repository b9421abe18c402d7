//! HTTP/1.1 with kept connections, one request at a time on each.

use crate::idle_connections::IdleConnections;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;

#[derive(Debug, Clone, thiserror::Error)]
pub enum Error {
    /// Nothing was sent: the other side can't have acted.
    #[error("not sent: {0}")]
    NotSent(String),
    /// Nothing was sent either: the host answered that nobody listens there.
    #[error("connection refused")]
    ConnectionRefused,
    /// Sent, but unanswered: the other side may have acted, or may still act.
    #[error("no answer: {0}")]
    Unanswered(String),
    /// Answered with this status, and so not carried out.
    #[error("status {0}")]
    Status(u16),
    #[error("the answer is too large")]
    ResponseTooLarge,
}

impl Error {
    pub fn status(&self) -> Option<u16> {
        match self {
            Error::Status(s) => Some(*s),
            _ => None,
        }
    }
}

type Connection = SendRequest<Full<Bytes>>;

/// What an exchange comes to: a status and a body, or nothing.
pub type Exchange = Pin<Box<dyn Future<Output = Result<(u16, Vec<u8>), Error>> + Send>>;

/// Another way to reach addresses than TCP: for tests.
pub trait Transport: Send + Sync {
    fn call(&self, to: SocketAddr, method: Method, path: String, body: Vec<u8>) -> Exchange;
}

#[derive(Clone)]
pub struct HttpClient {
    other: Option<Arc<dyn Transport>>,
    idle: Arc<Mutex<IdleConnections<Connection>>>,
}

/// Answers larger than this are dropped rather than held in memory.
const MAX_ANSWER: usize = 16 << 20;

impl HttpClient {
    /// Keeps at most so many connections that are not in use.
    pub fn new(kept: usize) -> HttpClient {
        HttpClient {
            other: None,
            idle: Arc::new(Mutex::new(IdleConnections::new(kept))),
        }
    }

    pub fn over(transport: Arc<dyn Transport>) -> HttpClient {
        HttpClient {
            other: Some(transport),
            ..HttpClient::new(0)
        }
    }

    pub async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), Error> {
        let deadline = tokio::time::Instant::now() + timeout;
        if let Some(other) = &self.other {
            let call = other.call(address, method, path.to_string(), body);
            let answer = tokio::time::timeout_at(deadline, call).await;
            let (status, body) = answer.map_err(|_| Error::Unanswered("timed out".into()))??;
            let status =
                StatusCode::from_u16(status).map_err(|e| Error::Unanswered(e.to_string()))?;
            return Ok((status, Bytes::from(body)));
        }
        let mut sender = match self.take(address) {
            Some(sender) => sender,
            None => tokio::time::timeout_at(deadline, connect(address))
                .await
                .map_err(|_| Error::NotSent("connecting timed out".into()))??,
        };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| Error::NotSent(e.to_string()))?;
        let exchange = async {
            let response = sender.send_request(request).await?;
            let status = response.status();
            let body = http_body_util::Limited::new(response.into_body(), MAX_ANSWER);
            let body = body.collect().await.map(|b| b.to_bytes());
            Ok::<_, hyper::Error>((status, body, sender))
        };
        match tokio::time::timeout_at(deadline, exchange).await {
            Err(_) => Err(Error::Unanswered("timed out".into())),
            Ok(Err(e)) => Err(Error::Unanswered(e.to_string())),
            Ok(Ok((status, body, sender))) => {
                let body = body.map_err(|e| match e.is::<http_body_util::LengthLimitError>() {
                    true => Error::ResponseTooLarge,
                    false => Error::Unanswered(e.to_string()),
                })?;
                self.put(address, sender);
                Ok((status, body))
            }
        }
    }

    /// A call whose answer is JSON with status 200.
    pub async fn json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<T, Error> {
        let (status, body) = self.call(address, method, path, body, timeout).await?;
        if status != StatusCode::OK {
            return Err(Error::Status(status.as_u16()));
        }
        serde_json::from_slice(&body).map_err(|e| Error::Unanswered(e.to_string()))
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(sender) = idle.take(address) {
            if sender.is_ready() && !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn put(&self, address: SocketAddr, sender: Connection) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.put(address, sender);
    }

    /// Drops kept connections to an address that may be dead.
    pub fn forget(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.forget(address);
    }
}

async fn connect(address: SocketAddr) -> Result<Connection, Error> {
    let failed = |e: &dyn std::fmt::Display| Error::NotSent(e.to_string());
    let stream = TcpStream::connect(address)
        .await
        .map_err(|e| match e.kind() {
            std::io::ErrorKind::ConnectionRefused => Error::ConnectionRefused,
            _ => failed(&e),
        })?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(|e| failed(&e))?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}

/// Reads an address that another program gave; nonsense is no address.
pub fn address(text: &str) -> Result<SocketAddr, Error> {
    text.parse()
        .map_err(|_| Error::NotSent(format!("{text:?} is not IP:port")))
}

pub fn body(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
