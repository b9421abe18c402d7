//! The administration API, for operators: read-only, and only on the peer address.

mod machines_page;
mod status_response;

#[cfg(test)]
mod tests;

use crate::controller::Controller;
use machines_page::MachinesPage;
use poem::error::InternalServerError;
use poem::web::{Data, Query};
use poem::{Response, handler};
use serde::{Deserialize, Serialize};
use status_response::StatusResponse;
use std::sync::Arc;

/// The query of `/admin/machines`.
#[derive(Deserialize)]
pub(crate) struct PageQuery {
    /// The name of the last machine on the previous page; empty for the first page.
    #[serde(default)]
    after: String,
}

/// Responds with the leader, members, shard leases, machines by zone and type, and pending jobs
/// by reason.
#[handler]
pub(crate) async fn get_status(controller: Data<&Arc<Controller>>) -> poem::Result<Response> {
    let health = controller.local_health().now();
    let state = controller.replica.state();
    json_response(&StatusResponse::new(&controller, &state, health))
}

/// Responds with one page of the machines, in the order of their names.
#[handler]
pub(crate) async fn get_machines(
    controller: Data<&Arc<Controller>>,
    query: Query<PageQuery>,
) -> poem::Result<Response> {
    json_response(&MachinesPage::after(
        &controller.replica.state(),
        &query.after,
    ))
}

/// A response with `body` as JSON, the keys of its objects in alphabetical order.
fn json_response(body: &impl Serialize) -> poem::Result<Response> {
    // The maps of a `serde_json::Value` are sorted by key.
    let body = serde_json::to_value(body).map_err(InternalServerError)?;
    Ok(Response::builder()
        .content_type("application/json")
        .body(body.to_string()))
}
