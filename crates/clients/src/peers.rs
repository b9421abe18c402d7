//! Other controllers: CBOR bodies over HTTP.

use crate::http::{Error, HttpClient, address};
use hyper::Method;
use rushwalk_protocol::peers::{decode, encode};
use serde::{Serialize, de::DeserializeOwned};
use std::time::Duration;

#[derive(Clone)]
pub struct PeerClient {
    http: HttpClient,
}

impl PeerClient {
    pub fn new(http: HttpClient) -> Self {
        PeerClient { http }
    }

    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        to: &str,
        path: &str,
        question: &Q,
        timeout: Duration,
    ) -> Result<A, Error> {
        let to = address(to)?;
        let call = self
            .http
            .call(to, Method::POST, path, encode(question), timeout);
        let (status, bytes) = call.await.inspect_err(|_| self.http.forget(to))?;
        if status != 200 {
            return Err(Error::Status(status.as_u16()));
        }
        decode(&bytes).ok_or_else(|| Error::Unanswered("not CBOR".into()))
    }
}
