//! The cloud's client.

use crate::http::{Error, HttpClient, body};
use crate::rate_limiter::RateLimiter;
use hyper::Method;
use rushwalk_protocol::cloud::{
    MAX_LIST, MachineList, MachineNames, MachineTypesResponse, RentRequest,
};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep};

pub struct CloudClient {
    http: HttpClient,
    address: SocketAddr,
    /// Calls within what the cloud allows. Those that wait have their turn in the
    /// order of their coming.
    budget: Mutex<RateLimiter>,
    rate: f64,
}

/// The cloud's answer to a rental request.
#[derive(Debug, Clone)]
pub enum RentOutcome {
    /// As many as there were, up to the number asked for.
    Machines(Vec<String>),
    /// None of that kind is to be had now.
    OutOfCapacity,
    Malformed,
}

const PATIENCE: Duration = Duration::from_secs(5);

impl CloudClient {
    /// `rps` calls a second are allowed; a tenth is left for misjudgement.
    pub fn new(http: HttpClient, address: SocketAddr, rps: f64) -> Self {
        let rate = 0.9 * rps;
        CloudClient {
            http,
            address,
            budget: Mutex::new(RateLimiter::new(rate, Instant::now())),
            rate,
        }
    }

    /// Calls a second that it makes at most, for longer than a moment.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Waits until there is a call to be made.
    pub async fn wait_for_slot(&self) {
        let mut budget = self.budget.lock().await;
        while !budget.try_take(1.0, 0.0, Instant::now()) {
            let wait = budget.time_until(1.0, 0.0, Instant::now());
            sleep(wait.max(Duration::from_millis(1))).await;
        }
    }

    async fn judge(&self, status: u16) -> Error {
        if status == 429 {
            self.budget.lock().await.on_throttled(Instant::now());
        }
        Error::Status(status)
    }

    pub async fn machine_types(&self) -> Result<MachineTypesResponse, Error> {
        self.wait_for_slot().await;
        self.call(Method::GET, "/machine_types", Vec::new()).await
    }

    /// Asks for machines; its turn must have come. Out of machines and out of
    /// order both have status 503: only the first is an answer.
    pub async fn rent(&self, request: &RentRequest) -> Result<RentOutcome, Error> {
        let body = body(request);
        let call = self
            .http
            .call(self.address, Method::POST, "/rentals", body, PATIENCE);
        let (status, answer) = call.await?;
        match status.as_u16() {
            200 => serde_json::from_slice::<MachineNames>(&answer)
                .map(|names| RentOutcome::Machines(names.machines))
                .map_err(|e| Error::Unanswered(e.to_string())),
            503 if answer.windows(8).any(|w| w == b"capacity") => Ok(RentOutcome::OutOfCapacity),
            400 => Ok(RentOutcome::Malformed),
            other => Err(self.judge(other).await),
        }
    }

    /// When this returns Ok, the machines and all on them are gone.
    pub async fn delete(&self, machines: Vec<String>) -> Result<(), Error> {
        self.wait_for_slot().await;
        let names = body(&MachineNames { machines });
        let call = self.http.call(
            self.address,
            Method::POST,
            "/rentals/delete",
            names,
            PATIENCE,
        );
        match call.await? {
            (status, _) if status == 200 => Ok(()),
            (status, _) => Err(self.judge(status.as_u16()).await),
        }
    }

    pub async fn list(&self, since: &str) -> Result<MachineList, Error> {
        self.wait_for_slot().await;
        let path = format!("/rentals?since={since}&limit={MAX_LIST}");
        self.call(Method::GET, &path, Vec::new()).await
    }

    async fn call<T: serde::de::DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, Error> {
        let call = self.http.json(self.address, method, path, body, PATIENCE);
        match call.await {
            Err(Error::Status(status)) => Err(self.judge(status).await),
            answer => answer,
        }
    }
}
