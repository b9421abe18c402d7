//! Client of the other controllers: CBOR messages over HTTP.

use crate::http::{Error, HttpClient, Request, parse_address};
use hyper::Method;
use rushwalk_protocol::peers::{decode, encode};
use serde::{Serialize, de::DeserializeOwned};
use std::time::Duration;

/// Client of the interface that controllers serve to each other.
#[derive(Clone)]
pub struct PeerClient {
    http: HttpClient,
}

impl PeerClient {
    /// Creates a client that sends its messages with `http`.
    pub fn new(http: HttpClient) -> Self {
        PeerClient { http }
    }

    /// Posts a message to the peer at `to` (`IP:port`) and decodes the response.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] if `to` is not a valid address; [`Error::Status`] for any status
    /// other than 200; [`Error::Unanswered`] if the response is not CBOR of type `A`;
    /// otherwise the errors of [`HttpClient::call`].
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        to: &str,
        path: &str,
        message: &Q,
        timeout: Duration,
    ) -> Result<A, Error> {
        let address = parse_address(to)?;
        let request = Request {
            address,
            method: Method::POST,
            path,
            body: encode(message),
            timeout,
        };
        let response = self
            .http
            .call(request)
            .await
            .inspect_err(|_| self.http.drop_idle(address))?;
        if response.status != 200 {
            return Err(Error::Status(response.status.as_u16()));
        }
        decode(&response.body)
            .ok_or_else(|| Error::Unanswered("response is not CBOR of the expected type".into()))
    }
}
