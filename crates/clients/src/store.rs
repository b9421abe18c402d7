//! The state service's client.

use crate::http::{Error, Http, body};
use hyper::Method;
use rushwalk_protocol::store::{
    Changes, Committed, Items, LeaseGranted, LeaseRequest, Transaction,
};
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Clone)]
pub struct State {
    http: Http,
    address: SocketAddr,
}

/// What became of a transaction.
#[derive(Debug, Clone)]
pub enum Outcome {
    Done(u64),
    /// A condition did not hold: nothing was changed.
    Conflict,
    /// A lease named in it has ended.
    NoLease,
    /// Refused for now (429, 503), or never sent.
    Refused(Error),
    /// No answer: it may have been carried out, or may still be.
    Unknown(Error),
}

impl State {
    pub fn new(http: Http, address: SocketAddr) -> Self {
        State { http, address }
    }

    pub async fn list(&self, prefix: &str, since: &str) -> Result<Items, Error> {
        let path = format!("/store?under={prefix}&since={since}&limit=1000");
        self.get(&path, Duration::from_secs(5)).await
    }

    async fn get<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<T, Error> {
        self.http
            .json(self.address, Method::GET, path, Vec::new(), timeout)
            .await
    }

    /// Waits up to `block` for changes after `since`.
    pub async fn changes(
        &self,
        prefix: &str,
        since: u64,
        block: Duration,
        patience: Duration,
    ) -> Result<Changes, Error> {
        let path = format!(
            "/changes?under={prefix}&since={since}&blockMs={}",
            block.as_millis()
        );
        self.get(&path, block + patience).await
    }

    pub async fn commit(&self, txn: &Transaction, timeout: Duration) -> Outcome {
        let call = self
            .http
            .call(self.address, Method::POST, "/commit", body(txn), timeout);
        match call.await {
            Ok((status, bytes)) => match status.as_u16() {
                200 => match serde_json::from_slice::<Committed>(&bytes) {
                    Ok(done) => Outcome::Done(done.revision),
                    Err(e) => Outcome::Unknown(Error::Unknown(e.to_string())),
                },
                409 => Outcome::Conflict,
                400 if bytes.windows(5).any(|w| w == b"lease") => Outcome::NoLease,
                other => Outcome::Refused(Error::Status(other)),
            },
            Err(e @ (Error::NotSent(_) | Error::Refused)) => Outcome::Refused(e),
            Err(e) => Outcome::Unknown(e),
        }
    }

    pub async fn lease(&self, ttl: Duration) -> Result<u64, Error> {
        let request = LeaseRequest {
            ttl_ms: ttl.as_millis() as u64,
        };
        let granted: LeaseGranted = self
            .http
            .json(
                self.address,
                Method::POST,
                "/leases",
                body(&request),
                Duration::from_secs(2),
            )
            .await?;
        Ok(granted.lease)
    }

    pub async fn renew(&self, lease: u64, timeout: Duration) -> Result<(), Error> {
        let path = format!("/leases/{lease}/touch");
        let call = self
            .http
            .call(self.address, Method::POST, &path, Vec::new(), timeout);
        let (status, _) = call.await?;
        match status.is_success() {
            true => Ok(()),
            false => Err(Error::Status(status.as_u16())),
        }
    }
}
