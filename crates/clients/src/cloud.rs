//! The cloud: machine types, rentals, deletions and the list of machines.

use crate::http::{Error, HttpClient, Request, json_body};
use crate::rate_limiter::RateLimiter;
use hyper::Method;
use rushwalk_protocol::cloud::{
    MAX_LIST, MachineList, MachineNames, MachineTypesResponse, RentRequest,
};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The share of the allowed rate that is used: the rest is a margin for error.
const USED_RATE: f64 = 0.9;

/// The shortest wait for a slot.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Calls to the cloud, within the rate that it allows.
pub struct CloudClient {
    http: HttpClient,
    address: SocketAddr,
    /// Locked while a caller waits, so that callers get their slots in order.
    rate_limiter: Mutex<RateLimiter>,
    rate: f64,
}

/// The cloud's response to a rental request.
#[derive(Debug, Clone)]
pub enum RentOutcome {
    /// The machines' names: as many as there were, up to the requested number.
    Machines(Vec<String>),
    /// None of that kind is available now.
    OutOfCapacity,
    /// The cloud can't make sense of the request.
    Malformed,
}

impl CloudClient {
    /// A client of the cloud at an address that allows `rps` calls a second.
    pub fn new(http: HttpClient, address: SocketAddr, rps: f64) -> Self {
        let rate = USED_RATE * rps;
        CloudClient {
            http,
            address,
            rate_limiter: Mutex::new(RateLimiter::new(rate, Instant::now())),
            rate,
        }
    }

    /// Calls a second that it makes at most, beside a short burst.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Waits until a call is allowed, and takes it.
    pub async fn wait_for_slot(&self) {
        let mut limiter = self.rate_limiter.lock().await;
        while !limiter.try_acquire(1.0, 0.0, Instant::now()) {
            let wait = limiter.time_until_available(1.0, 0.0, Instant::now());
            sleep(wait.max(MIN_WAIT)).await;
        }
    }

    /// Gets the machine types.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::json`].
    pub async fn machine_types(&self) -> Result<MachineTypesResponse, Error> {
        self.wait_for_slot().await;
        self.get("/machine_types").await
    }

    /// Rents machines. The caller has waited for its slot. "Out of capacity" and an
    /// outage both have status 503: only the first is a response.
    ///
    /// # Errors
    ///
    /// [`Error::Status`] for statuses that show nothing about the machines; else as
    /// [`HttpClient::call`].
    pub async fn rent(&self, request: &RentRequest) -> Result<RentOutcome, Error> {
        let request = self.request(Method::POST, "/rentals", json_body(request));
        let response = self.http.call(request).await?;
        match response.status.as_u16() {
            200 => response
                .json::<MachineNames>()
                .map(|names| RentOutcome::Machines(names.machines)),
            503 if response.body_contains("capacity") => Ok(RentOutcome::OutOfCapacity),
            400 => Ok(RentOutcome::Malformed),
            other => Err(self.status_error(other).await),
        }
    }

    /// Deletes machines. When this returns `Ok`, they and all tasks on them are gone.
    ///
    /// # Errors
    ///
    /// [`Error::Status`] for any status but 200; else as [`HttpClient::call`].
    pub async fn delete(&self, machines: Vec<String>) -> Result<(), Error> {
        self.wait_for_slot().await;
        let body = json_body(&MachineNames { machines });
        let request = self.request(Method::POST, "/rentals/delete", body);
        let status = self.http.call(request).await?.status;
        if status == 200 {
            Ok(())
        } else {
            Err(self.status_error(status.as_u16()).await)
        }
    }

    /// Lists a page of the rented machines, those after the name `since`.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::json`].
    pub async fn list(&self, since: &str) -> Result<MachineList, Error> {
        self.wait_for_slot().await;
        self.get(&format!("/rentals?since={since}&limit={MAX_LIST}"))
            .await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let request = self.request(Method::GET, path, Vec::new());
        match self.http.json(request).await {
            Err(Error::Status(status)) => Err(self.status_error(status).await),
            result => result,
        }
    }

    fn request<'a>(&self, method: Method, path: &'a str, body: Vec<u8>) -> Request<'a> {
        Request {
            address: self.address,
            method,
            path,
            body,
            timeout: CALL_TIMEOUT,
        }
    }

    /// The error for a status; slows down if the cloud throttles.
    async fn status_error(&self, status: u16) -> Error {
        if status == 429 {
            self.rate_limiter.lock().await.on_throttled(Instant::now());
        }
        Error::Status(status)
    }
}
