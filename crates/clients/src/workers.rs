//! Client of the workers: direct commands and status queries.

use crate::http::{Error, HttpClient, Request, json_body, parse_address};
use hyper::Method;
use rushwalk_protocol::worker::{CommandBatch, Heartbeat};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::{Instant, timeout_at};

/// Client of the workers, which limits the number of calls in flight.
#[derive(Clone)]
pub struct WorkerClient {
    http: HttpClient,
    /// One permit for each command call that may be in flight.
    command_permits: Arc<Semaphore>,
    /// One permit for each status query that may be in flight. Status queries are sent to
    /// workers that send no heartbeats, and mostly time out; with separate permits they don't
    /// delay commands.
    status_permits: Arc<Semaphore>,
}

/// A worker's response to a direct command call.
#[derive(Debug, Clone)]
pub struct CommandResponse {
    /// Whether the worker executed the commands. It refuses commands with a lower fencing
    /// token than it has seen, and commands for another session.
    pub executed: bool,
    /// The worker's state after the call.
    pub heartbeat: Heartbeat,
}

/// Permission to have one call in flight; returned to the semaphore when dropped.
struct CallPermit<'a> {
    _permit: SemaphorePermit<'a>,
    /// The part of the call's timeout that remained when the permit was acquired.
    remaining: Duration,
}

impl WorkerClient {
    /// Creates a client that limits the calls in flight: to `max_in_flight` command calls, but
    /// at least two, and to half as many status queries, but at least one. Further calls would
    /// only occupy sockets that other clients need.
    pub fn new(http: HttpClient, max_in_flight: usize) -> Self {
        WorkerClient {
            http,
            command_permits: Arc::new(Semaphore::new(max_in_flight.max(2))),
            status_permits: Arc::new(Semaphore::new((max_in_flight / 2).max(1))),
        }
    }

    /// Sends commands to the worker at `to` (`IP:port`).
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] if `to` is not a valid address, or if the limit on command calls in
    /// flight allows no call within the timeout; [`Error::Status`] for any status other than 200
    /// and 409; otherwise the errors of [`HttpClient::call`].
    pub async fn command(
        &self,
        to: &str,
        commands: &CommandBatch,
        timeout: Duration,
    ) -> Result<CommandResponse, Error> {
        let address = parse_address(to)?;
        let permit = acquire_permit(&self.command_permits, timeout).await?;
        let request = Request {
            address,
            method: Method::POST,
            path: "/orders",
            body: json_body(commands),
            timeout: permit.remaining,
        };
        let response = self
            .http
            .call(request)
            .await
            .inspect_err(|_| self.http.drop_idle(address))?;
        match response.status.as_u16() {
            status @ (200 | 409) => Ok(CommandResponse {
                executed: status == 200,
                heartbeat: response.json()?,
            }),
            other => Err(Error::Status(other)),
        }
    }

    /// Queries the status of the worker at `to` (`IP:port`). The owner of a shard probes workers
    /// without contact with this call.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] if `to` is not a valid address, or if the limit on status queries in
    /// flight allows no call within the timeout; otherwise the errors of [`HttpClient::json`].
    pub async fn query_status(&self, to: &str, timeout: Duration) -> Result<Heartbeat, Error> {
        let address = parse_address(to)?;
        let permit = acquire_permit(&self.status_permits, timeout).await?;
        let request = Request {
            address,
            method: Method::GET,
            path: "/status",
            body: Vec::new(),
            timeout: permit.remaining,
        };
        self.http
            .json(request)
            .await
            .inspect_err(|_| self.http.drop_idle(address))
    }
}

/// Waits for a permit, at most for `timeout`.
async fn acquire_permit(permits: &Semaphore, timeout: Duration) -> Result<CallPermit<'_>, Error> {
    let deadline = Instant::now() + timeout;
    match timeout_at(deadline, permits.acquire()).await {
        Ok(Ok(permit)) => Ok(CallPermit {
            _permit: permit,
            remaining: deadline.saturating_duration_since(Instant::now()),
        }),
        _ => Err(Error::NotSent("too many calls in flight".into())),
    }
}

#[cfg(test)]
mod tests;
