//! The network: carries messages between users, controllers and workers, and applies the
//! faults that delay or lose them.

use super::{HttpResponse, SimulatedPlatform, ZONES};
use crate::fault::Fault;
use crate::lock;
use crate::worker::DirectResponse;
use rushwalk_clients::http::{Exchange, Transport};
use rushwalk_clients::{Error, Method};
use rushwalk_protocol::MAX_BODY;
use rushwalk_protocol::worker::{CommandBatch, Heartbeat};
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

/// An HTTP interface of a controller: a function of method, path and body.
pub type Endpoint = Arc<
    dyn Fn(String, String, Vec<u8>) -> Pin<Box<dyn Future<Output = HttpResponse> + Send>>
        + Send
        + Sync,
>;

/// A controller's interface for users and workers, with the name that redirects give for the
/// controller.
pub(super) struct NamedEndpoint {
    name: String,
    endpoint: Endpoint,
}

// The port of a request's destination address identifies the service that receives it.
const STORE_PORT: u16 = 2379;
const CLOUD_PORT: u16 = 8443;
const WORKER_PORT: u16 = 9000;
const PEER_PORT: u16 = 8081;

/// Path to which workers send heartbeats.
const HEARTBEAT_PATH: &str = "/agent/beat";
/// Time until a heartbeat to an unreachable controller fails; equal to the time for which a
/// worker waits for the response.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay of the error that a controller's client gets when there is no response; longer than
/// any client's timeout.
const NO_RESPONSE_DELAY: Duration = Duration::from_secs(60);

impl SimulatedPlatform {
    /// Registers a controller's interface for users and workers, and the name that redirects
    /// give for the controller. Replaces an earlier registration.
    pub fn register_user_endpoint(&self, controller: usize, name: &str, endpoint: Endpoint) {
        lock(&self.user_endpoints)[controller] = Some(NamedEndpoint {
            name: name.to_string(),
            endpoint,
        });
    }

    /// Registers a controller's interface for the other controllers. Replaces an earlier
    /// registration.
    pub fn register_peer_endpoint(&self, controller: usize, endpoint: Endpoint) {
        lock(&self.peer_endpoints)[controller] = Some(endpoint);
    }

    /// The address (host:port) at which a controller serves the other controllers.
    pub fn peer_address(controller: usize) -> String {
        let (high, low) = (controller / 250, controller % 250 + 1);
        format!("10.0.{high}.{low}:{PEER_PORT}")
    }

    /// The index of the controller with a peer address: the inverse of
    /// [`SimulatedPlatform::peer_address`].
    fn controller_at(address: SocketAddr) -> Option<usize> {
        let IpAddr::V4(ip) = address.ip() else {
            return None;
        };
        let [_, _, high, low] = ip.octets();
        Some(usize::from(high) * 250 + usize::from(low) - 1)
    }

    /// The index of the controller registered under a name.
    pub(crate) fn controller_by_name(&self, name: &str) -> Option<usize> {
        let endpoints = lock(&self.user_endpoints);
        endpoints
            .iter()
            .position(|named| named.as_ref().is_some_and(|named| named.name == name))
    }

    fn user_endpoint(&self, controller: usize) -> Option<Endpoint> {
        let endpoints = lock(&self.user_endpoints);
        let named = endpoints[controller].as_ref()?;
        Some(named.endpoint.clone())
    }

    /// Whether a zone partition separates a controller from a zone. `None` stands for users,
    /// the store and the cloud, which belong to no zone.
    fn partitioned(&self, controller: usize, zone: Option<&str>) -> bool {
        let own = controller % ZONES.len();
        if zone == Some(ZONES[own]) {
            return false;
        }
        let other = zone.and_then(|zone| ZONES.iter().position(|known| *known == zone));
        self.is_active(Fault::ZonePartitioned(own))
            || other.is_some_and(|other| self.is_active(Fault::ZonePartitioned(other)))
    }

    /// Sends a user's request to a controller; returns `None` if there is no response.
    pub async fn user_request(
        &self,
        controller: usize,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Option<HttpResponse> {
        if self.partitioned(controller, None) {
            return None;
        }
        self.record_event(|| {
            let body = String::from_utf8_lossy(&body);
            format!("{controller} {method} {path} {body}")
        });
        let response = self.call_controller(controller, method, path, body).await;
        self.record_event(|| {
            let summary = response.as_ref();
            let summary =
                summary.map(|response| (response.status, String::from_utf8_lossy(&response.body)));
            format!("{controller} {method} {path}: {summary:?}")
        });
        response
    }

    /// Calls a controller's interface for users and workers; `None` if the controller is
    /// stopped, suspended or not registered.
    async fn call_controller(
        &self,
        controller: usize,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Option<HttpResponse> {
        if self.is_active(Fault::ControllerStopped(controller))
            || self.is_active(Fault::ControllerFrozen(controller))
        {
            return None;
        }
        let endpoint = self.user_endpoint(controller)?;
        Some(endpoint(method.into(), path.into(), body).await)
    }

    /// Sends a worker's heartbeat to a controller; returns `None` if there is no response.
    pub(crate) async fn send_heartbeat(
        &self,
        machine: usize,
        controller: usize,
        heartbeat: &Heartbeat,
    ) -> Option<HttpResponse> {
        self.wait_while_delayed(controller).await;
        if self.is_active(Fault::MachineOutboundLoss(machine)) {
            // Establishing the connection fails, so the worker doesn't wait for a response.
            return None;
        }
        if self.partitioned(controller, Some(&heartbeat.zone))
            || self.is_active(Fault::MachinePartitioned(machine))
            || self.is_active(Fault::WorkersUnreachable(controller))
        {
            sleep(HEARTBEAT_TIMEOUT).await;
            return None;
        }
        let body = serde_json::to_vec(heartbeat).ok()?;
        self.check_message_size("heartbeat", machine, body.len());
        self.copy_heartbeat(controller, &body);
        let response = self
            .call_controller(controller, "POST", HEARTBEAT_PATH, body)
            .await;
        if let Some(response) = &response {
            self.check_message_size("response", machine, response.body.len());
        }
        self.wait_while_delayed(controller).await;
        response
    }

    /// Reports a message to or from a worker as a violation if it exceeds the size limit of the
    /// protocol. A heartbeat does if the machine has too many tasks.
    fn check_message_size(&self, message: &str, machine: usize, bytes: usize) {
        if bytes > MAX_BODY {
            let violation = format!("message_limit: {message} of {bytes} bytes ({machine})");
            self.checker().violations.push(violation);
        }
    }

    /// Sends a delayed copy of a heartbeat with probability 1/2 while
    /// [`Fault::HeartbeatsDuplicated`] is active, and records it while
    /// [`Fault::HeartbeatsRecorded`] is active.
    fn copy_heartbeat(&self, controller: usize, body: &[u8]) {
        if self.is_active(Fault::HeartbeatsDuplicated) && self.one_in(2) {
            let delay = self.random_ms(2_000, 60_000);
            let endpoint = self.user_endpoint(controller);
            let copy = body.to_vec();
            tokio::spawn(async move {
                sleep(delay).await;
                if let Some(endpoint) = endpoint {
                    endpoint("POST".into(), HEARTBEAT_PATH.into(), copy).await;
                }
            });
        }
        if self.is_active(Fault::HeartbeatsRecorded) {
            lock(&self.recorded_heartbeats).push(body.to_vec());
        }
    }

    /// Sends the heartbeats recorded so far to every controller once, and discards them.
    pub async fn replay_heartbeats(&self) {
        let recorded = std::mem::take(&mut *lock(&self.recorded_heartbeats));
        for heartbeat in recorded {
            for controller in 0..self.controller_count() {
                self.user_request(controller, "POST", HEARTBEAT_PATH, heartbeat.clone())
                    .await;
            }
        }
    }

    /// Waits while [`Fault::WorkerMessagesDelayed`] is active for a controller.
    async fn wait_while_delayed(&self, controller: usize) {
        while self.is_active(Fault::WorkerMessagesDelayed(controller)) {
            sleep(Duration::from_millis(200)).await;
        }
    }

    /// Sends a request from one controller to another; returns `None` if there is no response.
    async fn send_to_peer(
        &self,
        from: usize,
        to: SocketAddr,
        path: String,
        body: Vec<u8>,
    ) -> Option<Result<HttpResponse, Error>> {
        sleep(Duration::from_millis(1)).await;
        let to = Self::controller_at(to)?;
        if self.peer_message_lost(from, to) {
            return None;
        }
        let endpoint = lock(&self.peer_endpoints).get(to)?.clone();
        let refused = self.is_active(Fault::PeersRefuseConnections)
            || self.is_active(Fault::ControllerStopped(to));
        let Some(endpoint) = endpoint.filter(|_| !refused) else {
            return Some(Err(Error::ConnectionRefused));
        };
        let response = endpoint("POST".into(), path, body).await;
        let response_lost = self.is_active(Fault::ControllerFrozen(to))
            || self.is_active(Fault::PeerMessagesLost(to, from));
        (!response_lost).then_some(Ok(response))
    }

    /// Whether a fault loses a request from one controller to another.
    fn peer_message_lost(&self, from: usize, to: usize) -> bool {
        self.is_active(Fault::ControllerFrozen(to))
            || self.is_active(Fault::PeerMessagesLost(from, to))
            || self.partitioned(from, Some(ZONES[to % ZONES.len()]))
            || self.is_active(Fault::PeersUnreachable(from))
            || self.is_active(Fault::PeersUnreachable(to))
    }

    /// Sends a controller's direct request to the worker at an address; returns `None` if
    /// there is no response.
    async fn send_to_worker(
        self: &Arc<Self>,
        controller: usize,
        to: SocketAddr,
        path: &str,
        body: &[u8],
    ) -> Option<HttpResponse> {
        sleep(Duration::from_millis(2)).await;
        if path == "/status" {
            lock(&self.status_requests).push(Instant::now());
        }
        self.wait_while_delayed(controller).await;
        if self.is_active(Fault::WorkersUnreachable(controller)) {
            return None;
        }
        let machine = self.reachable_machine(controller, &to.to_string())?;
        self.check_message_size("direct command", machine, body.len());
        while self.is_active(Fault::MachineFrozen(machine)) {
            sleep(Duration::from_millis(50)).await;
        }
        let response = self.serve_worker(machine, path, body)?;
        if response.status == 200 {
            self.copy_commands(machine, path, body);
        }
        self.wait_while_delayed(controller).await;
        Some(HttpResponse::json(response.status, &response.heartbeat))
    }

    /// The index of the machine at an address; `None` if there is no such machine or if a
    /// fault loses the controller's messages to it.
    fn reachable_machine(&self, controller: usize, address: &str) -> Option<usize> {
        let (machine, zone) = {
            let workers = self.workers();
            let machine = workers.iter().position(|w| w.address == address)?;
            (machine, workers[machine].zone.clone())
        };
        let lost = self.partitioned(controller, Some(&zone))
            || self.is_active(Fault::MachinePartitioned(machine))
            || self.is_active(Fault::MachineInboundLoss(machine));
        (!lost).then_some(machine)
    }

    /// A worker's response to a direct request; `None` if the machine was deleted or the body
    /// is invalid.
    pub(super) fn serve_worker(
        &self,
        machine: usize,
        path: &str,
        body: &[u8],
    ) -> Option<DirectResponse> {
        let mut workers = self.workers();
        let worker = workers.get_mut(machine).filter(|worker| !worker.deleted)?;
        worker.advance(self, self.worker_lease);
        if path == "/status" {
            return Some(worker.report_status());
        }
        let commands = serde_json::from_slice::<CommandBatch>(body).ok()?;
        Some(worker.handle_commands(self, &commands))
    }
}

/// Transport of a controller's HTTP clients: carries their requests over the simulated
/// network.
pub struct ControllerTransport {
    /// The platform that serves the requests.
    pub platform: Arc<SimulatedPlatform>,
    /// Index of the controller that sends the requests.
    pub controller: usize,
    /// Whether the controller process that owns this transport runs. The owner sets it to false
    /// when the process ends; a new process under the same index gets a transport of its own.
    pub alive: Arc<AtomicBool>,
}

impl ControllerTransport {
    /// Sends a request to the service that its destination port identifies; returns `None` if
    /// there is no response.
    async fn exchange(
        platform: &Arc<SimulatedPlatform>,
        controller: usize,
        to: SocketAddr,
        method: Method,
        path: String,
        body: Vec<u8>,
    ) -> Option<Result<HttpResponse, Error>> {
        match to.port() {
            STORE_PORT | CLOUD_PORT if platform.partitioned(controller, None) => None,
            STORE_PORT => Some(Ok(platform
                .serve_store(controller, &method, &path, &body)
                .await)),
            CLOUD_PORT => Some(Ok(platform.serve_cloud(&path, &body).await)),
            WORKER_PORT => platform
                .send_to_worker(controller, to, &path, &body)
                .await
                .map(Ok),
            PEER_PORT => platform.send_to_peer(controller, to, path, body).await,
            _ => None,
        }
    }
}

impl Transport for ControllerTransport {
    fn call(&self, to: SocketAddr, method: Method, path: String, body: Vec<u8>) -> Exchange {
        let (platform, controller) = (self.platform.clone(), self.controller);
        let alive = self.alive.clone();
        let (response_sender, response) = oneshot::channel();
        // The request runs in a separate Tokio task, so that it is still processed, possibly
        // late, after its sender has stopped waiting.
        tokio::spawn(async move {
            let connected = || {
                alive.load(Ordering::Relaxed)
                    && !platform.is_active(Fault::ControllerFrozen(controller))
            };
            if !connected() {
                return;
            }
            let response = Self::exchange(&platform, controller, to, method, path, body).await;
            if let Some(response) = response
                && connected()
            {
                let _ = response_sender.send(response);
            }
        });
        Box::pin(async move {
            match response.await {
                Ok(response) => response.map(HttpResponse::into),
                Err(_) => {
                    sleep(NO_RESPONSE_DELAY).await;
                    Err(Error::Unanswered("no answer".into()))
                }
            }
        })
    }
}
