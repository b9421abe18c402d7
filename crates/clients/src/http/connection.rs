//! HTTP/1.1 over one TCP connection: connecting, and sending one request.

use super::{Error, Request, Response};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// The sending side of an open HTTP/1.1 connection.
pub(super) type Connection = SendRequest<Full<Bytes>>;

/// Maximum size of a response body. Larger responses fail, to bound the memory that a call
/// can use.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Opens a TCP connection, and spawns the task that drives HTTP on it.
pub(super) async fn connect(address: SocketAddr) -> Result<Connection, Error> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| match error.kind() {
            std::io::ErrorKind::ConnectionRefused => Error::ConnectionRefused,
            _ => Error::NotSent(error.to_string()),
        })?;
    // An error is ignored: without TCP_NODELAY, calls are only slower.
    let _ = stream.set_nodelay(true);
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(|error| Error::NotSent(error.to_string()))?;
    tokio::spawn(async move {
        // An error is ignored here, as the request on this connection fails with it too.
        let _ = connection.await;
    });
    Ok(sender)
}

/// Sends a request and receives the complete response.
pub(super) async fn send(
    connection: &mut Connection,
    request: Request<'_>,
) -> Result<Response, Error> {
    let request = hyper::Request::builder()
        .method(request.method)
        .uri(request.path)
        .header("host", request.address.to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(request.body)))
        .map_err(|error| Error::NotSent(error.to_string()))?;
    let response = connection
        .send_request(request)
        .await
        .map_err(Error::unanswered)?;
    Ok(Response {
        status: response.status(),
        body: read_body(response.into_body()).await?,
    })
}

async fn read_body(body: Incoming) -> Result<Bytes, Error> {
    let collected = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    let collected = collected.map_err(|error| {
        if error.is::<LengthLimitError>() {
            Error::ResponseTooLarge
        } else {
            Error::unanswered(error)
        }
    })?;
    Ok(collected.to_bytes())
}
