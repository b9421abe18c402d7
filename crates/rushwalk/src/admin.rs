//! The administration API, on the mesh address only: what an on-call person
//! asks first. Read-only.

use crate::node::{Node, lock};
use poem::web::Data;
use poem::{Response, handler};
use rushwalk_clients::{Http, Method};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// Leader, members, grants, machines, waiting jobs with the reason, in JSON.
#[handler]
pub async fn status(node: Data<&Arc<Node>>) -> Response {
    let body = {
        let view = node.view();
        let machines: Vec<_> = view
            .machines
            .iter()
            .map(|(name, row)| {
                let m = &row.machine;
                json!({"name": &**name, "type": &*m.kind, "zone": &*m.zone, "spot": m.spot,
                    "block": &*m.block, "stage": m.stage, "up": m.up.is_some(),
                    "silent": m.silent.is_some(), "tasks": row.tasks.len()})
            })
            .collect();
        let grants: Vec<_> = view
            .grants
            .iter()
            .map(|(block, (token, grant))| {
                json!({"block": &**block, "holder": grant.holder, "token": token})
            })
            .collect();
        let leads = node.leadership(&view).is_some();
        // Only the leader plans, so only it knows why a job waits.
        let waits = match leads {
            true => lock(&node.leading).waits.clone(),
            false => Default::default(),
        };
        let age = node.synced.borrow().map(|at| at.elapsed().as_secs_f64());
        json!({"member": node.me(), "leads": leads,
            "leader": view.leader.as_ref().map(|(_, l)| l.member.clone()),
            "revision": view.revision, "state_age_s": age,
            "members": view.members.keys().collect::<Vec<_>>(),
            "grants": grants, "machines": machines,
            "rentals": view.rentals.len(), "jobs_active": view.active.len(),
            "jobs_live": view.live.len(), "waiting": waits})
    };
    Response::builder()
        .content_type("application/json")
        .body(body.to_string())
}

/// `rushwalk admin status`: asks a controller and prints its answer.
pub async fn ask(address: &str) -> Result<String, String> {
    let to = rushwalk_clients::http::address(address).map_err(|e| e.to_string())?;
    let patience = Duration::from_secs(5);
    let answer: serde_json::Value = Http::default()
        .json(to, Method::GET, "/admin/status", Vec::new(), patience)
        .await
        .map_err(|e| format!("{address}: {e}"))?;
    serde_json::to_string_pretty(&answer).map_err(|e| e.to_string())
}
