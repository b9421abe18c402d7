//! Workers at their own addresses: direct commands and status.

use crate::http::{Error, HttpClient, Request, json_body, parse_address};
use hyper::Method;
use rushwalk_protocol::worker::{CommandBatch, Heartbeat};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::{Instant, timeout_at};

/// Calls to workers, with a bound on how many are in flight.
#[derive(Clone)]
pub struct WorkerClient {
    http: HttpClient,
    command_permits: Arc<Semaphore>,
    /// Status queries go to workers that send no heartbeats and mostly time out, so they
    /// have permits of their own.
    status_permits: Arc<Semaphore>,
}

/// A worker's response to direct commands.
#[derive(Debug, Clone)]
pub struct CommandResponse {
    /// Whether the worker executed the commands. It refuses those of an older fencing
    /// token or for another session.
    pub executed: bool,
    /// The worker's state after them.
    pub heartbeat: Heartbeat,
}

/// Leave to make a call.
struct CallPermit<'a> {
    _permit: SemaphorePermit<'a>,
    /// What is left of the time for the call.
    remaining: Duration,
}

impl WorkerClient {
    /// A client with at most so many commands in flight, and half as many status queries;
    /// more would only hold sockets that others need.
    pub fn new(http: HttpClient, max_in_flight: usize) -> Self {
        WorkerClient {
            http,
            command_permits: Arc::new(Semaphore::new(max_in_flight.max(2))),
            status_permits: Arc::new(Semaphore::new((max_in_flight / 2).max(1))),
        }
    }

    /// Sends commands to a worker.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] if `to` is no address or too many calls are in flight;
    /// [`Error::Status`] for any status but 200 and 409; else as [`HttpClient::call`].
    pub async fn command(
        &self,
        to: &str,
        commands: &CommandBatch,
        timeout: Duration,
    ) -> Result<CommandResponse, Error> {
        let address = parse_address(to)?;
        let permit = acquire(&self.command_permits, timeout).await?;
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

    /// Queries a worker's status.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] if `to` is no address or too many calls are in flight; else as
    /// [`HttpClient::json`].
    pub async fn heartbeat(&self, to: &str, timeout: Duration) -> Result<Heartbeat, Error> {
        let address = parse_address(to)?;
        let permit = acquire(&self.status_permits, timeout).await?;
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

async fn acquire(permits: &Semaphore, timeout: Duration) -> Result<CallPermit<'_>, Error> {
    let deadline = Instant::now() + timeout;
    match timeout_at(deadline, permits.acquire()).await {
        Ok(Ok(permit)) => Ok(CallPermit {
            _permit: permit,
            remaining: deadline.saturating_duration_since(Instant::now()),
        }),
        _ => Err(Error::NotSent("too many calls under way".into())),
    }
}

#[cfg(test)]
mod tests;
