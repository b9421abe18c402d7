//! Other controllers: CBOR bodies over HTTP.

use crate::http::{Error, HttpClient, Request, parse_address};
use hyper::Method;
use rushwalk_protocol::peers::{decode, encode};
use serde::{Serialize, de::DeserializeOwned};
use std::time::Duration;

/// Calls to the peers' own interface.
#[derive(Clone)]
pub struct PeerClient {
    http: HttpClient,
}

impl PeerClient {
    /// A client that uses an HTTP client.
    pub fn new(http: HttpClient) -> Self {
        PeerClient { http }
    }

    /// Posts a message to a peer and reads its response.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] if `to` is no address; [`Error::Status`] for any status but
    /// 200; [`Error::Unanswered`] also if the response is not CBOR of that type.
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
        decode(&response.body).ok_or_else(|| Error::Unanswered("not CBOR".into()))
    }
}
