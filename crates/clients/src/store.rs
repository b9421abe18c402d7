//! The state service's client.

use crate::http::{Error, HttpClient, body};
use hyper::Method;
use rushwalk_protocol::store::{
    CommitResponse, KeyValuePage, LeaseGranted, LeaseRequest, Transaction, WatchResponse,
};
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Clone)]
pub struct StoreClient {
    http: HttpClient,
    address: SocketAddr,
}

/// What became of a transaction.
#[derive(Debug, Clone)]
pub enum CommitOutcome {
    Committed(u64),
    /// A condition did not hold: nothing was changed.
    Conflict,
    /// A lease named in it has ended.
    LeaseExpired,
    /// Refused for now (429, 503), or never sent.
    Rejected(Error),
    /// No answer: it may have been carried out, or may still be.
    Unanswered(Error),
}

impl StoreClient {
    pub fn new(http: HttpClient, address: SocketAddr) -> Self {
        StoreClient { http, address }
    }

    pub async fn list(&self, prefix: &str, since: &str) -> Result<KeyValuePage, Error> {
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
    pub async fn watch(
        &self,
        prefix: &str,
        since: u64,
        block: Duration,
        patience: Duration,
    ) -> Result<WatchResponse, Error> {
        let path = format!(
            "/changes?under={prefix}&since={since}&blockMs={}",
            block.as_millis()
        );
        self.get(&path, block + patience).await
    }

    pub async fn commit(&self, txn: &Transaction, timeout: Duration) -> CommitOutcome {
        let call = self
            .http
            .call(self.address, Method::POST, "/commit", body(txn), timeout);
        match call.await {
            Ok((status, bytes)) => match status.as_u16() {
                200 => match serde_json::from_slice::<CommitResponse>(&bytes) {
                    Ok(done) => CommitOutcome::Committed(done.revision),
                    Err(e) => CommitOutcome::Unanswered(Error::Unanswered(e.to_string())),
                },
                409 => CommitOutcome::Conflict,
                400 if bytes.windows(5).any(|w| w == b"lease") => CommitOutcome::LeaseExpired,
                other => CommitOutcome::Rejected(Error::Status(other)),
            },
            Err(e @ (Error::NotSent(_) | Error::ConnectionRefused)) => CommitOutcome::Rejected(e),
            Err(e) => CommitOutcome::Unanswered(e),
        }
    }

    pub async fn grant_lease(&self, ttl: Duration) -> Result<u64, Error> {
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

    pub async fn renew_lease(&self, lease: u64, timeout: Duration) -> Result<(), Error> {
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
