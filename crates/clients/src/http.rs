//! An HTTP/1.1 client that keeps connections alive and sends one request at a time on each.

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

/// The reason why a call has no usable response. It also tells whether the server may have
/// carried out the request.
#[derive(Debug, Clone, thiserror::Error)]
pub enum Error {
    /// The request was not sent, so the server can't have carried it out.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The server's host refused the connection, so the request was not sent.
    #[error("connection refused")]
    ConnectionRefused,
    /// The request was sent, but no valid response was received. The server may have carried
    /// it out, or may still do so.
    #[error("no answer: {0}")]
    Unanswered(String),
    /// The server responded with this status instead of success. The service determines whether
    /// it may have carried out the request: the store has not committed a transaction (see
    /// [`CommitOutcome::Rejected`](crate::store::CommitOutcome::Rejected)), but the cloud may
    /// have rented machines (see [`CloudClient::rent`](crate::cloud::CloudClient::rent)).
    #[error("status {0}")]
    Status(u16),
    /// The body of the response exceeds the client's size limit and was dropped.
    #[error("response body too large")]
    ResponseTooLarge,
}

impl Error {
    /// The status code of [`Error::Status`]; `None` for other errors.
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

/// A request, with the time that its caller waits for the response.
#[derive(Debug)]
pub struct Request<'a> {
    /// The address of the server to call.
    pub address: SocketAddr,
    /// The HTTP method, such as `GET`.
    pub method: Method,
    /// The path and query of the URL.
    pub path: &'a str,
    /// The request body; empty for a request without a body.
    pub body: Vec<u8>,
    /// The time limit of the whole call: connecting, sending and receiving the response.
    pub timeout: Duration,
}

/// A response of any status.
#[derive(Debug)]
pub struct Response {
    /// The HTTP status, which may be an error status.
    pub status: StatusCode,
    /// The complete response body.
    pub body: Bytes,
}

impl Response {
    /// Whether a text occurs in the body. Some error responses with the same status differ
    /// only in the text of their bodies.
    pub fn body_contains(&self, text: &str) -> bool {
        self.body.windows(text.len()).any(|w| w == text.as_bytes())
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// [`Error::Unanswered`] if the body is not JSON of that type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(Error::unanswered)
    }
}

/// A response that a [`Transport`] returns.
#[derive(Debug)]
pub struct TransportResponse {
    /// The HTTP status code; the call fails if it is not from 100 to 999.
    pub status: u16,
    /// The complete response body.
    pub body: Vec<u8>,
}

/// The future of a call over a [`Transport`], which resolves to the response.
pub type Exchange = Pin<Box<dyn Future<Output = Result<TransportResponse, Error>> + Send>>;

/// A replacement for TCP connections, for tests and simulations.
pub trait Transport: Send + Sync {
    /// Sends a request. The caller may drop the returned future before it is complete, for
    /// example when the call times out.
    fn call(&self, to: SocketAddr, method: Method, path: String, body: Vec<u8>) -> Exchange;
}

/// The HTTP client. Clones share one pool of idle connections.
#[derive(Clone)]
pub struct HttpClient {
    /// The replacement for TCP connections; `None` to use TCP.
    transport: Option<Arc<dyn Transport>>,
    pool: Arc<Mutex<IdleConnections<Connection>>>,
}

impl HttpClient {
    /// Creates a client that keeps at most `max_idle` idle connections.
    pub fn new(max_idle: usize) -> HttpClient {
        HttpClient {
            transport: None,
            pool: Arc::new(Mutex::new(IdleConnections::new(max_idle))),
        }
    }

    /// Creates a client that opens no connections and sends all requests over `transport`.
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
    /// Any [`Error`] except [`Error::Status`].
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
    /// [`Error::Status`] for any other status; [`Error::Unanswered`] if the body is not JSON
    /// of that type; otherwise the errors of [`HttpClient::call`].
    pub async fn json<T: DeserializeOwned>(&self, request: Request<'_>) -> Result<T, Error> {
        let response = self.call(request).await?;
        if response.status != StatusCode::OK {
            return Err(Error::Status(response.status.as_u16()));
        }
        response.json()
    }

    async fn call_tcp(&self, request: Request<'_>, deadline: Instant) -> Result<Response, Error> {
        let address = request.address;
        let mut connection = match self.take_idle(address) {
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
        self.return_to_pool(address, connection);
        Ok(response)
    }

    fn pool(&self) -> MutexGuard<'_, IdleConnections<Connection>> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a usable idle connection to an address from the pool. Connections that are closed or
    /// not ready are dropped.
    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut pool = self.pool();
        while let Some(connection) = pool.take(address) {
            if connection.is_ready() && !connection.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    fn return_to_pool(&self, address: SocketAddr, connection: Connection) {
        if !connection.is_closed() {
            self.pool().put(address, connection);
        }
    }

    /// Closes all idle connections to an address, for use when the host may have failed.
    pub fn drop_idle(&self, address: SocketAddr) {
        self.pool().remove_all(address);
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

/// Parses an address that was received from another program.
///
/// # Errors
///
/// [`Error::NotSent`] if it is not `IP:port`.
pub fn parse_address(text: &str) -> Result<SocketAddr, Error> {
    text.parse()
        .map_err(|_| Error::NotSent(format!("{text:?} is not IP:port")))
}

/// Serializes a value as a JSON body.
pub fn json_body(value: &impl serde::Serialize) -> Vec<u8> {
    // Writing to memory fails only for values that JSON can't represent, and no request has any.
    serde_json::to_vec(value).unwrap_or_default()
}
