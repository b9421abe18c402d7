//! An HTTP/1.1 client that keeps connections alive, with one request at a time on each.

mod connection;

use crate::idle_connections::IdleConnections;
use bytes::Bytes;
use connection::Connection;
use hyper::{Method, StatusCode};
use serde::de::DeserializeOwned;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Why a call has no usable response, and whether the other side may have acted on it.
#[derive(Debug, Clone, thiserror::Error)]
pub enum Error {
    /// Nothing was sent: the other side can't have acted.
    #[error("not sent: {0}")]
    NotSent(String),
    /// Nothing was sent either: the host refused the connection.
    #[error("connection refused")]
    ConnectionRefused,
    /// Sent, but unanswered: the other side may have acted, or may still act.
    #[error("no answer: {0}")]
    Unanswered(String),
    /// Answered with this status, and so not carried out.
    #[error("status {0}")]
    Status(u16),
    /// The response's body exceeds what is held in memory.
    #[error("the answer is too large")]
    ResponseTooLarge,
}

impl Error {
    /// The status, if that is what the call failed by.
    pub fn status(&self) -> Option<u16> {
        match self {
            Error::Status(status) => Some(*status),
            _ => None,
        }
    }

    fn unanswered(error: impl std::fmt::Display) -> Error {
        Error::Unanswered(error.to_string())
    }

    fn timed_out() -> Error {
        Error::Unanswered("timed out".into())
    }
}

/// A request, and how long its caller waits for the response.
#[derive(Debug)]
pub struct Request<'a> {
    /// The server.
    pub address: SocketAddr,
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// The body; empty for none.
    pub body: Vec<u8>,
    /// For connecting, sending and receiving together.
    pub timeout: Duration,
}

/// A response of any status.
#[derive(Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: StatusCode,
    /// The whole body.
    pub body: Bytes,
}

impl Response {
    /// Whether a text occurs in the body: some refusals differ by nothing else.
    pub fn body_contains(&self, text: &str) -> bool {
        self.body.windows(text.len()).any(|w| w == text.as_bytes())
    }

    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// [`Error::Unanswered`] if it is not JSON of that type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(Error::unanswered)
    }
}

/// What a [`Transport`] receives.
#[derive(Debug)]
pub struct TransportResponse {
    /// The HTTP status.
    pub status: u16,
    /// The whole body.
    pub body: Vec<u8>,
}

/// A call over a [`Transport`] that is under way.
pub type Exchange = Pin<Box<dyn Future<Output = Result<TransportResponse, Error>> + Send>>;

/// Another way to reach addresses than TCP: for tests.
pub trait Transport: Send + Sync {
    /// Sends a request. The caller may drop the exchange when its time is over.
    fn call(&self, to: SocketAddr, method: Method, path: String, body: Vec<u8>) -> Exchange;
}

/// The client. Clones share their idle connections.
#[derive(Clone)]
pub struct HttpClient {
    transport: Option<Arc<dyn Transport>>,
    idle: Arc<Mutex<IdleConnections<Connection>>>,
}

impl HttpClient {
    /// A client that keeps at most so many idle connections.
    pub fn new(max_idle: usize) -> HttpClient {
        HttpClient {
            transport: None,
            idle: Arc::new(Mutex::new(IdleConnections::new(max_idle))),
        }
    }

    /// A client that opens no connections and calls a transport instead.
    pub fn with_transport(transport: Arc<dyn Transport>) -> HttpClient {
        HttpClient {
            transport: Some(transport),
            ..HttpClient::new(0)
        }
    }

    /// Sends a request and returns the response, whatever its status.
    ///
    /// # Errors
    ///
    /// All but [`Error::Status`].
    pub async fn call(&self, request: Request<'_>) -> Result<Response, Error> {
        let deadline = Instant::now() + request.timeout;
        match &self.transport {
            Some(transport) => call_transport(transport.as_ref(), request, deadline).await,
            None => self.call_tcp(request, deadline).await,
        }
    }

    /// Sends a request whose response is JSON with status 200.
    ///
    /// # Errors
    ///
    /// [`Error::Status`] for any other status; [`Error::Unanswered`] if the body can't
    /// be read; else as [`HttpClient::call`].
    pub async fn json<T: DeserializeOwned>(&self, request: Request<'_>) -> Result<T, Error> {
        let response = self.call(request).await?;
        if response.status != StatusCode::OK {
            return Err(Error::Status(response.status.as_u16()));
        }
        response.json()
    }

    async fn call_tcp(&self, request: Request<'_>, deadline: Instant) -> Result<Response, Error> {
        let address = request.address;
        let mut connection = match self.idle_connection(address) {
            Some(connection) => connection,
            None => timeout_at(deadline, connection::connect(address))
                .await
                .map_err(|_| Error::NotSent("connecting timed out".into()))??,
        };
        let exchange = connection::send(&mut connection, request);
        let response = match timeout_at(deadline, exchange).await {
            Ok(response) => response?,
            Err(_) => return Err(Error::timed_out()),
        };
        self.keep(address, connection);
        Ok(response)
    }

    fn idle(&self) -> MutexGuard<'_, IdleConnections<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn idle_connection(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle();
        while let Some(connection) = idle.take(address) {
            if connection.is_ready() && !connection.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    fn keep(&self, address: SocketAddr, connection: Connection) {
        if !connection.is_closed() {
            self.idle().put(address, connection);
        }
    }

    /// Closes idle connections to an address whose host may have failed.
    pub fn drop_idle(&self, address: SocketAddr) {
        self.idle().remove_all(address);
    }
}

async fn call_transport(
    transport: &dyn Transport,
    request: Request<'_>,
    deadline: Instant,
) -> Result<Response, Error> {
    let path = request.path.to_string();
    let exchange = transport.call(request.address, request.method, path, request.body);
    let response = timeout_at(deadline, exchange)
        .await
        .map_err(|_| Error::timed_out())??;
    Ok(Response {
        status: StatusCode::from_u16(response.status).map_err(Error::unanswered)?,
        body: Bytes::from(response.body),
    })
}

/// Reads an address that another program gave.
///
/// # Errors
///
/// [`Error::NotSent`] if it is not `IP:port`.
pub fn parse_address(text: &str) -> Result<SocketAddr, Error> {
    text.parse()
        .map_err(|_| Error::NotSent(format!("{text:?} is not IP:port")))
}

/// A value as a JSON body.
pub fn json_body(value: &impl serde::Serialize) -> Vec<u8> {
    // Writing to memory fails only for types that JSON can't hold; ours it can.
    serde_json::to_vec(value).unwrap_or_default()
}
