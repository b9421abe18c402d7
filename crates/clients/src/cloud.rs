//! Client of the cloud's API: machine types, rentals, deletions and the machine list.

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

/// The share of the allowed request rate that the client uses. The rest is a safety margin.
const USED_RATE_SHARE: f64 = 0.9;

/// Minimum pause between two attempts to acquire a slot.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Client of the cloud, which limits its calls to the rate that the cloud allows.
pub struct CloudClient {
    http: HttpClient,
    address: SocketAddr,
    /// The lock is held while a caller waits, so that callers get slots in the order in which
    /// they asked for one.
    rate_limiter: Mutex<RateLimiter>,
    /// Maximum calls per second, without bursts.
    rate: f64,
}

/// The cloud's response to a rental request.
#[derive(Debug, Clone)]
pub enum RentOutcome {
    /// The names of the rented machines. There are fewer than requested if the cloud has no
    /// more.
    Machines(Vec<String>),
    /// No machine of the requested type, zone and purchase option (spot or on-demand) is
    /// available now.
    OutOfCapacity,
    /// The cloud rejected the request as malformed.
    Malformed,
}

impl CloudClient {
    /// Creates a client of the cloud at `address`, which allows `rps` calls per second.
    pub fn new(http: HttpClient, address: SocketAddr, rps: f64) -> Self {
        let rate = USED_RATE_SHARE * rps;
        CloudClient {
            http,
            address,
            rate_limiter: Mutex::new(RateLimiter::new(rate, Instant::now())),
            rate,
        }
    }

    /// Maximum calls per second that the client makes, apart from a short burst.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Waits until the rate limit allows a call, and acquires the slot for it.
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
    /// The errors of [`HttpClient::json`].
    pub async fn machine_types(&self) -> Result<MachineTypesResponse, Error> {
        self.wait_for_slot().await;
        self.get("/machine_types").await
    }

    /// Rents machines. Unlike the other calls, this one doesn't wait for a slot: callers must
    /// await [`CloudClient::wait_for_slot`] first, and can decide after the wait whether they
    /// still need the machines.
    ///
    /// The cloud responds with status 503 both if it is out of capacity and during an outage;
    /// only the response body distinguishes them. An outage is an error, as the outcome of
    /// the request is then unknown.
    ///
    /// # Errors
    ///
    /// [`Error::Status`] for a status that leaves the outcome unknown; otherwise the errors
    /// of [`HttpClient::call`].
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

    /// Deletes machines. Once this returns `Ok`, the machines and all tasks on them are gone.
    ///
    /// # Errors
    ///
    /// [`Error::Status`] for any status other than 200; otherwise the errors of
    /// [`HttpClient::call`].
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

    /// Gets a page of the list of rented machines: those whose names come after `since`.
    ///
    /// # Errors
    ///
    /// The errors of [`HttpClient::json`].
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

    /// Returns the error for a status. Status 429 (the cloud throttles) also slows down the
    /// rate limiter.
    async fn status_error(&self, status: u16) -> Error {
        if status == 429 {
            self.rate_limiter.lock().await.on_throttled(Instant::now());
        }
        Error::Status(status)
    }
}
