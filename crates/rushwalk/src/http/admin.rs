//! The administration API, on the mesh address only: what an on-call person
//! asks first. Read-only.

use crate::controller::{Controller, lock};
use poem::web::{Data, Query};
use poem::{Response, handler};
use rushwalk_clients::{HttpClient, Method};
use rushwalk_protocol::records::MachineLifecycle;
use serde::Deserialize;
use serde_json::json;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

/// Jobs named for each reason to wait, and machines on one page.
const NAMED: usize = 10;
const MACHINES_PER_PAGE: usize = 100;

fn answer(body: serde_json::Value) -> Response {
    Response::builder()
        .content_type("application/json")
        .body(body.to_string())
}

#[derive(Default)]
struct MachineCounts {
    all: usize,
    up: usize,
    silent: usize,
    leaving: usize,
    idle: usize,
    tasks: usize,
}

/// Leader, members, grants, machines by zone and type, waiting jobs by reason.
#[handler]
pub async fn status(node: Data<&Arc<Controller>>) -> Response {
    let own = crate::leadership::election::own(&node);
    let view = node.view();
    let mut groups: BTreeMap<(&str, &str, bool), MachineCounts> = BTreeMap::new();
    for row in view.machines.values() {
        let m = &row.record;
        let count = groups
            .entry((&m.zone, &m.machine_type, m.spot))
            .or_default();
        count.all += 1;
        count.up += usize::from(m.ready_ms.is_some());
        count.silent += usize::from(m.unreachable_since_ms.is_some());
        count.leaving += usize::from(m.lifecycle != MachineLifecycle::Active);
        count.idle += usize::from(row.tasks.is_empty());
        count.tasks += row.tasks.len();
    }
    let machines: Vec<_> = groups
        .into_iter()
        .map(|((zone, kind, spot), c)| {
            json!({"zone": zone, "type": kind, "spot": spot, "machines": c.all, "up": c.up,
                "silent": c.silent, "leaving": c.leaving, "idle": c.idle, "tasks": c.tasks})
        })
        .collect();
    let grants: Vec<_> = view
        .shard_leases
        .iter()
        .map(|(block, (token, grant))| {
            let machines = view.shards.get(block).map_or(0, |b| b.len());
            json!({"block": &**block, "holder": grant.owner, "token": token,
                "machines": machines})
        })
        .collect();
    let leads = node.leadership(&view).is_some();
    // Only the leader plans, so only it knows why a job waits.
    let mut reasons: BTreeMap<&str, Vec<String>> = BTreeMap::new();
    if leads {
        for (job, why) in &lock(&node.leader_state).pending_reasons {
            reasons.entry(why).or_default().push(job.clone());
        }
    }
    let waiting: Vec<_> = reasons
        .into_iter()
        .map(|(why, jobs)| json!({"why": why, "jobs": jobs.len(), "first": &jobs[..jobs.len().min(NAMED)]}))
        .collect();
    let (up_s, busy_s) = node.busy_seconds();
    let incidents = lock(&node.incidents).summary();
    let (connections, workers) = node.connections.count();
    let age = node
        .last_read_sent
        .get()
        .map(|at| at.elapsed().as_secs_f64());
    answer(json!({"member": node.member(), "leads": leads,
        "leader": view.leader.as_ref().map(|(_, l)| l.member.clone()),
        "revision": view.revision, "state_age_s": age, "unreadable": view.unreadable,
        "snapshot": {"at": view.snapshot.revision, "chunks": view.snapshot.chunks, "entries_since": view.entries_since_snapshot},
        "standings": lock(&node.detector).statuses(node.uptime_s(), own),
        "members": view.members.keys().collect::<Vec<_>>(),
        "grants": grants, "machines": machines, "served": view.service_counts,
        "up_s": up_s, "busy_s": busy_s, "late_ms": node.runtime_lag.recent_lag().as_millis() as u64,
        "trouble": incidents.current, "last_trouble": incidents.last,
        "connections": {"open": connections, "workers": workers}, "work": node.work_profile.summary(), "rentals": view.rentals.len(), "jobs_active": view.active.len(),
        "jobs_live": view.with_tasks.len(), "waiting": waiting}))
}

#[derive(Deserialize)]
pub struct From {
    #[serde(default)]
    after: String,
}

/// Machines one by one, a page at a time, in the order of their names.
#[handler]
pub async fn page(node: Data<&Arc<Controller>>, from: Query<From>) -> Response {
    let view = node.view();
    let after = (Bound::Excluded(&*from.after), Bound::Unbounded);
    let mut rest = view.machines.range::<str, _>(after);
    let listed: Vec<_> = rest
        .by_ref()
        .take(MACHINES_PER_PAGE)
        .map(|(name, row)| {
            let m = &row.record;
            json!({"name": &**name, "type": &*m.machine_type, "zone": &*m.zone, "spot": m.spot,
                "block": &*m.shard, "leaving": m.lifecycle != MachineLifecycle::Active, "up": m.ready_ms.is_some(),
                "silent": m.unreachable_since_ms.is_some(), "images": m.images.len(),
                "tasks": row.tasks.iter().map(|(u, i)| format!("{u}/{i}")).collect::<Vec<_>>()})
        })
        .collect();
    answer(json!({"machines": listed, "more": rest.next().is_some()}))
}

/// `rushwalk admin`: asks a controller and prints its answer.
pub async fn ask(address: &str, path: &str) -> Result<String, String> {
    let to = rushwalk_clients::http::address(address).map_err(|e| e.to_string())?;
    let patience = Duration::from_secs(5);
    let answer: serde_json::Value = HttpClient::new(0)
        .json(to, Method::GET, path, Vec::new(), patience)
        .await
        .map_err(|e| format!("{address}: {e}"))?;
    serde_json::to_string_pretty(&answer).map_err(|e| e.to_string())
}

#[cfg(test)]
mod tests;
