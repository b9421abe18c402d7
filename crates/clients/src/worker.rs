//! Workers' own addresses: direct commands and their status.

use crate::http::{Error, Http, address, body};
use hyper::Method;
use rushwalk_wire::worker::{DirectCommands, Report};
use std::time::Duration;

#[derive(Clone)]
pub struct Workers {
    http: Http,
}

impl Workers {
    pub fn new(http: Http) -> Self {
        Workers { http }
    }

    /// `Ok(true, …)` if the commands were executed, `Ok(false, …)` if refused.
    pub async fn command(
        &self,
        to: &str,
        commands: &DirectCommands,
        timeout: Duration,
    ) -> Result<(bool, Report), Error> {
        let to = address(to)?;
        let call = self
            .http
            .call(to, Method::POST, "/orders", body(commands), timeout);
        let (status, bytes) = call.await.inspect_err(|_| self.http.forget(to))?;
        match status.as_u16() {
            code @ (200 | 409) => serde_json::from_slice(&bytes)
                .map(|report| (code == 200, report))
                .map_err(|e| Error::Unknown(e.to_string())),
            other => Err(Error::Status(other)),
        }
    }

    pub async fn status(&self, to: &str, timeout: Duration) -> Result<Report, Error> {
        let to = address(to)?;
        self.http
            .json(to, Method::GET, "/status", Vec::new(), timeout)
            .await
            .inspect_err(|_| self.http.forget(to))
    }
}
