//! A worker's heartbeats from its start until its machine is deleted.

use super::Worker;
use crate::fault::Fault;
use crate::platform::{HttpResponse, SimulatedPlatform};
use rushwalk_protocol::worker::{Heartbeat, HeartbeatResponse, Redirect};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// How long a worker waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause before the heartbeat to the controller that it was redirected to.
const REDIRECT_DELAY: Duration = Duration::from_millis(250);
/// Pause before it tries the next controller.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Where and when a worker sends its next heartbeat.
struct NextHeartbeat {
    controller: usize,
    delay: Duration,
}

impl NextHeartbeat {
    /// After a failure: the next controller.
    fn retry(platform: &SimulatedPlatform, controller: usize) -> NextHeartbeat {
        NextHeartbeat {
            controller: (controller + 1) % platform.controller_count(),
            delay: RETRY_DELAY,
        }
    }

    /// After a redirect: the named controller, or the next one if that is the same or unknown.
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

/// Runs a worker until its machine is deleted.
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
        let sent = Instant::now();
        let response = exchange(&platform, machine, next.controller, &heartbeat).await;
        next = match response {
            Some(HttpResponse { status: 200, body }) if sent.elapsed() < RESPONSE_TIMEOUT => {
                let worker = &mut platform.workers()[machine];
                worker.accept_response(&platform, &heartbeat, &body, sent);
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

/// Ends the worker's lease on time, whatever its heartbeat waits for.
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

/// The next heartbeat; `None` if the machine was deleted.
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

/// Sends a heartbeat; `None` if no response arrives in time.
async fn exchange(
    platform: &Arc<SimulatedPlatform>,
    machine: usize,
    controller: usize,
    heartbeat: &Heartbeat,
) -> Option<HttpResponse> {
    let sent = Instant::now();
    // A task of its own: the heartbeat may still arrive after the worker gave up.
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
        sleep(RESPONSE_TIMEOUT.saturating_sub(sent.elapsed())).await;
        return None;
    }
    response.ok()?.ok()?
}

impl Worker {
    /// Takes in the response to a heartbeat, unless it is outdated: renews the lease and
    /// runs the commands.
    fn accept_response(
        &mut self,
        platform: &SimulatedPlatform,
        heartbeat: &Heartbeat,
        body: &[u8],
        sent: Instant,
    ) {
        let Ok(response) = serde_json::from_slice::<HeartbeatResponse>(body) else {
            return;
        };
        let current = response.token >= self.token && heartbeat.session == self.session;
        if current && !self.deleted {
            self.token = response.token;
            self.lease_renewed_at = sent;
            self.execute(platform, &response.commands);
        }
    }
}
