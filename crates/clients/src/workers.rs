//! Workers' own addresses: direct commands and their status.

use crate::http::{Error, HttpClient, address, body};
use hyper::Method;
use rushwalk_protocol::worker::{CommandBatch, Heartbeat};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::{Instant, timeout_at};

#[derive(Clone)]
pub struct WorkerClient {
    http: HttpClient,
    /// Calls that may be under way: commands, and questions to workers that are
    /// not heard of. Those mostly wait in vain, so they have a number of their own.
    commands: Arc<Semaphore>,
    questions: Arc<Semaphore>,
}

impl WorkerClient {
    /// At most so many commands under way, and half as many questions; more would
    /// only hold sockets that others need.
    pub fn new(http: HttpClient, most: usize) -> Self {
        WorkerClient {
            http,
            commands: Arc::new(Semaphore::new(most.max(2))),
            questions: Arc::new(Semaphore::new((most / 2).max(1))),
        }
    }

    /// `Ok(true, …)` if the commands were executed, `Ok(false, …)` if refused.
    pub async fn command(
        &self,
        to: &str,
        commands: &CommandBatch,
        timeout: Duration,
    ) -> Result<(bool, Heartbeat), Error> {
        let to = address(to)?;
        let (_permit, timeout) = permit(&self.commands, timeout).await?;
        let call = self
            .http
            .call(to, Method::POST, "/orders", body(commands), timeout);
        let (status, bytes) = call.await.inspect_err(|_| self.http.forget(to))?;
        match status.as_u16() {
            code @ (200 | 409) => serde_json::from_slice(&bytes)
                .map(|report| (code == 200, report))
                .map_err(|e| Error::Unanswered(e.to_string())),
            other => Err(Error::Status(other)),
        }
    }

    pub async fn heartbeat(&self, to: &str, timeout: Duration) -> Result<Heartbeat, Error> {
        let to = address(to)?;
        let (_permit, timeout) = permit(&self.questions, timeout).await?;
        self.http
            .json(to, Method::GET, "/status", Vec::new(), timeout)
            .await
            .inspect_err(|_| self.http.forget(to))
    }
}

/// A permit, and what is left of the time for the call.
async fn permit(
    semaphore: &Semaphore,
    patience: Duration,
) -> Result<(SemaphorePermit<'_>, Duration), Error> {
    let until = Instant::now() + patience;
    match timeout_at(until, semaphore.acquire()).await {
        Ok(Ok(permit)) => Ok((permit, until.saturating_duration_since(Instant::now()))),
        _ => Err(Error::NotSent("too many calls under way".into())),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::http::{Exchange, Transport};
    use std::net::SocketAddr;
    use std::sync::atomic::{AtomicUsize, Ordering};

    /// Workers that never answer; how many calls are under way, and were at most.
    #[derive(Default)]
    struct Silent(AtomicUsize, AtomicUsize);

    impl Transport for Arc<Silent> {
        fn call(&self, _: SocketAddr, _: Method, _: String, _: Vec<u8>) -> Exchange {
            let this = self.clone();
            Box::pin(async move {
                struct Gone(Arc<Silent>);
                impl Drop for Gone {
                    fn drop(&mut self) {
                        self.0.0.fetch_sub(1, Ordering::Relaxed);
                    }
                }
                let now = this.0.fetch_add(1, Ordering::Relaxed) + 1;
                this.1.fetch_max(now, Ordering::Relaxed);
                let _gone = Gone(this);
                std::future::pending().await
            })
        }
    }

    /// Behind a cut a thousand questions waited for their time to run out, each on
    /// a socket of its own, until there was none left to call the state service.
    #[tokio::test(start_paused = true)]
    async fn calls_that_nobody_answers_hold_few_sockets_and_no_commands_up() {
        let silent = Arc::new(Silent::default());
        let workers = WorkerClient::new(HttpClient::over(Arc::new(silent.clone())), 8);
        let patience = Duration::from_secs(2);
        let asked: Vec<_> = (0..100)
            .map(|_| {
                let workers = workers.clone();
                tokio::spawn(async move { workers.heartbeat("10.0.0.1:9000", patience).await })
            })
            .collect();
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(silent.0.load(Ordering::Relaxed), 4);
        let command = workers.clone();
        let command = tokio::spawn(async move {
            let commands = CommandBatch {
                token: 1,
                session: 1,
                commands: Vec::new(),
            };
            command.command("10.0.0.1:9000", &commands, patience).await
        });
        tokio::task::yield_now().await;
        assert_eq!(silent.0.load(Ordering::Relaxed), 5);
        for one in asked {
            assert!(one.await.unwrap().is_err());
        }
        assert!(command.await.unwrap().is_err());
        assert_eq!(silent.1.load(Ordering::Relaxed), 5);
    }
}
