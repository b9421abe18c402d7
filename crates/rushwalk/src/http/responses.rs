//! Building responses and reading request bodies.

#[cfg(test)]
mod tests;

use poem::error::ReadBodyError;
use poem::http::{HeaderValue, StatusCode};
use poem::{Body, Response};
use rushwalk_protocol::MAX_BODY;
use rushwalk_protocol::jobs::ErrorBody;
use serde::Serialize;
use std::time::Duration;

/// The largest `Retry-After` of a rejection, in seconds.
const MAX_RETRY_AFTER_S: f64 = 30.0;

/// A response with a JSON body.
pub(super) fn json(status: StatusCode, value: &impl Serialize) -> Response {
    Response::builder()
        .status(status)
        .content_type("application/json")
        .body(serde_json::to_vec(value).unwrap_or_default())
}

/// A response with an error message.
pub(super) fn error(status: StatusCode, message: impl Into<String>) -> Response {
    let body = ErrorBody {
        error: message.into(),
    };
    json(status, &body)
}

/// A temporary rejection with the header `Retry-After`, which HTTP defines in whole seconds:
/// `retry_after` is rounded up, and limited to the range from 1 to `MAX_RETRY_AFTER_S`.
pub(super) fn error_with_retry_after(
    status: StatusCode,
    message: &str,
    retry_after: Duration,
) -> Response {
    let mut response = error(status, message);
    let seconds = retry_after
        .as_secs_f64()
        .ceil()
        .clamp(1.0, MAX_RETRY_AFTER_S) as u64;
    let headers = response.headers_mut();
    headers.insert("retry-after", HeaderValue::from(seconds));
    response
}

/// A response without a body.
pub(super) fn empty(status: StatusCode) -> Response {
    Response::builder().status(status).finish()
}

/// Reads a request body of at most `MAX_BODY` bytes. If that fails, returns the response to the
/// sender.
pub(super) async fn read_body(body: Body) -> Result<Vec<u8>, Response> {
    match body.into_bytes_limit(MAX_BODY).await {
        Ok(bytes) => Ok(bytes.to_vec()),
        Err(ReadBodyError::PayloadTooLarge) => {
            Err(error(StatusCode::PAYLOAD_TOO_LARGE, "body over 64 KiB"))
        }
        Err(cause) => Err(error(StatusCode::BAD_REQUEST, cause.to_string())),
    }
}
