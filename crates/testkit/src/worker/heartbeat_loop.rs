//! The loop in which a worker sends heartbeats, from the worker's start until its machine is
//! deleted.

use super::Worker;
use crate::fault::Fault;
use crate::platform::{HttpResponse, SimulatedPlatform};
use rushwalk_protocol::worker::{Heartbeat, HeartbeatResponse, Redirect};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// How long a worker waits for the response to a heartbeat.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay before a worker sends its heartbeat to the controller that it was redirected to.
const REDIRECT_DELAY: Duration = Duration::from_millis(250);
/// Delay after a failure, before a worker sends its heartbeat to the next controller.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Receiver and delay of a worker's next heartbeat.
struct NextHeartbeat {
    /// Index of the controller that receives it.
    controller: usize,
    /// Time from now until it is sent.
    delay: Duration,
}

impl NextHeartbeat {
    /// The heartbeat after a failure. It goes to the controller with the next index, after the
    /// last one to the first.
    fn retry(platform: &SimulatedPlatform, controller: usize) -> NextHeartbeat {
        NextHeartbeat {
            controller: (controller + 1) % platform.controller_count(),
            delay: RETRY_DELAY,
        }
    }

    /// The heartbeat after a redirect. It goes to the controller that the redirect names or, if
    /// that controller is unknown or is the one that sent the redirect, to the next one as
    /// after a failure.
    fn redirected(platform: &SimulatedPlatform, controller: usize, body: &[u8]) -> NextHeartbeat {
        let redirect: Option<Redirect> = serde_json::from_slice(body).ok();
        let target = redirect
            .and_then(|redirect| redirect.report_to)
            .and_then(|name| platform.controller_by_name(&name));
        match target {
            Some(target) if target != controller => NextHeartbeat {
                controller: target,
                delay: REDIRECT_DELAY,
            },
            _ => NextHeartbeat::retry(platform, controller),
        }
    }
}

/// Runs a worker until its machine is deleted. `machine` is the machine's index. The worker
/// sends a heartbeat `interval` after its start and after each response with status 200, and
/// restarts when it has accepted no response to a heartbeat sent within the last `lease`.
pub async fn run_worker(
    platform: Arc<SimulatedPlatform>,
    machine: usize,
    lease: Duration,
    interval: Duration,
) {
    tokio::spawn(watch_lease(platform.clone(), machine, lease));
    let mut next = NextHeartbeat {
        controller: 0,
        delay: interval,
    };
    loop {
        sleep(next.delay).await;
        while platform.is_active(Fault::MachineFrozen(machine)) {
            sleep(Duration::from_millis(50)).await;
        }
        let Some(heartbeat) = prepare_heartbeat(&platform, machine, lease) else {
            return;
        };
        let sent_at = Instant::now();
        let response = exchange(&platform, machine, next.controller, &heartbeat).await;
        next = match response {
            Some(HttpResponse { status: 200, body }) if sent_at.elapsed() < RESPONSE_TIMEOUT => {
                let worker = &mut platform.workers()[machine];
                worker.accept_response(&platform, &heartbeat, &body, sent_at);
                NextHeartbeat {
                    controller: next.controller,
                    delay: interval,
                }
            }
            Some(HttpResponse { status: 421, body }) => {
                NextHeartbeat::redirected(&platform, next.controller, &body)
            }
            _ => NextHeartbeat::retry(&platform, next.controller),
        };
    }
}

/// Restarts the worker as soon as its lease expires. Runs as a separate Tokio task, because
/// the heartbeat loop may be waiting for a response at that time.
async fn watch_lease(platform: Arc<SimulatedPlatform>, machine: usize, lease: Duration) {
    loop {
        let expires_at = {
            let worker = &mut platform.workers()[machine];
            if worker.deleted {
                return;
            }
            worker.check_lease(&platform, lease);
            worker.lease_renewed_at + lease
        };
        sleep_until(expires_at + Duration::from_millis(1)).await;
    }
}

/// Brings the worker up to date and builds its next heartbeat; `None` if the machine was
/// deleted.
fn prepare_heartbeat(
    platform: &SimulatedPlatform,
    machine: usize,
    lease: Duration,
) -> Option<Heartbeat> {
    let worker = &mut platform.workers()[machine];
    if worker.deleted {
        return None;
    }
    worker.advance(platform, lease);
    Some(worker.next_heartbeat())
}

/// Sends a heartbeat and returns the response; `None` if none arrives within
/// [`RESPONSE_TIMEOUT`].
async fn exchange(
    platform: &Arc<SimulatedPlatform>,
    machine: usize,
    controller: usize,
    heartbeat: &Heartbeat,
) -> Option<HttpResponse> {
    let sent_at = Instant::now();
    // The request runs in a separate Tokio task, so that the controller may still receive the
    // heartbeat after the worker has stopped waiting for the response.
    let request = {
        let (platform, heartbeat) = (platform.clone(), heartbeat.clone());
        tokio::spawn(async move {
            platform
                .send_heartbeat(machine, controller, &heartbeat)
                .await
        })
    };
    let response = timeout(RESPONSE_TIMEOUT, request).await;
    if platform.is_active(Fault::MachineInboundLoss(machine)) {
        sleep(RESPONSE_TIMEOUT.saturating_sub(sent_at.elapsed())).await;
        return None;
    }
    response.ok()?.ok()?
}

impl Worker {
    /// Processes the response to a heartbeat: renews the lease from the time at which the
    /// heartbeat was sent, and executes the commands. Ignores the response if its fencing
    /// token is lower than the highest one seen, or if the worker has restarted since.
    fn accept_response(
        &mut self,
        platform: &SimulatedPlatform,
        heartbeat: &Heartbeat,
        body: &[u8],
        sent_at: Instant,
    ) {
        let Ok(response) = serde_json::from_slice::<HeartbeatResponse>(body) else {
            return;
        };
        let current = response.token >= self.token && heartbeat.session == self.session;
        if current && !self.deleted {
            self.token = response.token;
            self.lease_renewed_at = sent_at;
            self.execute(platform, &response.commands);
        }
    }
}
