//! The cloud's client.

use crate::http::{Error, Http, body};
use crate::rate_limiter::Budget;
use hyper::Method;
use rushwalk_protocol::cloud::{MAX_LIST, MachineList, MachineNames, MachineTypes, RentRequest};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep};

pub struct Cloud {
    http: Http,
    address: SocketAddr,
    /// Calls within what the cloud allows. Those that wait have their turn in the
    /// order of their coming.
    budget: Mutex<Budget>,
    rate: f64,
}

/// The cloud's answer to a rental request.
#[derive(Debug, Clone)]
pub enum Rented {
    /// As many as there were, up to the number asked for.
    Machines(Vec<String>),
    /// None of that kind is to be had now.
    Nothing,
    Malformed,
}

const PATIENCE: Duration = Duration::from_secs(5);

impl Cloud {
    /// `rps` calls a second are allowed; a tenth is left for misjudgement.
    pub fn new(http: Http, address: SocketAddr, rps: f64) -> Self {
        let rate = 0.9 * rps;
        Cloud {
            http,
            address,
            budget: Mutex::new(Budget::new(rate, Instant::now())),
            rate,
        }
    }

    /// Calls a second that it makes at most, for longer than a moment.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Waits until there is a call to be made.
    pub async fn turn(&self) {
        let mut budget = self.budget.lock().await;
        while !budget.take(1.0, 0.0, Instant::now()) {
            let wait = budget.wait(1.0, 0.0, Instant::now());
            sleep(wait.max(Duration::from_millis(1))).await;
        }
    }

    async fn judge(&self, status: u16) -> Error {
        if status == 429 {
            self.budget.lock().await.drain(Instant::now());
        }
        Error::Status(status)
    }

    pub async fn types(&self) -> Result<MachineTypes, Error> {
        self.turn().await;
        self.call(Method::GET, "/machine_types", Vec::new()).await
    }

    /// Asks for machines; its turn must have come. Out of machines and out of
    /// order both have status 503: only the first is an answer.
    pub async fn rent(&self, request: &RentRequest) -> Result<Rented, Error> {
        let body = body(request);
        let call = self
            .http
            .call(self.address, Method::POST, "/rentals", body, PATIENCE);
        let (status, answer) = call.await?;
        match status.as_u16() {
            200 => serde_json::from_slice::<MachineNames>(&answer)
                .map(|names| Rented::Machines(names.machines))
                .map_err(|e| Error::Unknown(e.to_string())),
            503 if answer.windows(8).any(|w| w == b"capacity") => Ok(Rented::Nothing),
            400 => Ok(Rented::Malformed),
            other => Err(self.judge(other).await),
        }
    }

    /// When this returns Ok, the machines and all on them are gone.
    pub async fn delete(&self, machines: Vec<String>) -> Result<(), Error> {
        self.turn().await;
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
        self.turn().await;
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
