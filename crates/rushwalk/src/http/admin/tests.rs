use super::machines_page::MACHINES_PER_PAGE;
use super::*;
use crate::clock::use_virtual_time;
use crate::connections::TrackedConnection;
use crate::http::peer_routes;
use crate::observability::incidents::IncidentCause;
use poem::web::RemoteAddr;
use poem::{Addr, Endpoint, Request};
use rushwalk_clients::HttpClient;
use rushwalk_protocol::jobs::JobSpec;
use rushwalk_protocol::settings::Settings;
use rushwalk_scheduler::round::PendingReason;
use rushwalk_state::mutation::{
    AssignTasks, MachineAdopted, PlaceTasks, ShardTasks, SubmitJob, TaskOnMachine, TasksStarted,
};
use rushwalk_state::records::{
    CachedImage, LeaderRecord, MachineLifecycle, MachineRecord, MemberRecord, RentalRequest,
    ShardLease, SnapshotManifest,
};
use rushwalk_state::{Mutation, UnixMillis, Versioned};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, advance};

const STATUS: &str = include_str!("tests/status.json");
const MACHINES: &str = include_str!("tests/machines.json");

fn controller() -> Arc<Controller> {
    use_virtual_time(1);
    let text = include_str!("../../../../protocol/tests/settings.toml");
    let settings = Settings::parse(text).unwrap();
    Controller::new(settings, HttpClient::new(0)).unwrap().0
}

fn machine(spot: bool, lifecycle: MachineLifecycle) -> MachineRecord {
    MachineRecord {
        machine_type: "box".into(),
        zone: "east".into(),
        spot,
        shard: "east".into(),
        lifecycle,
        rented_ms: 5,
        ready_ms: Some(60_000),
        address: "10.0.0.9:9000".into(),
        images: vec![CachedImage {
            name: "image-1".into(),
            size_gb: 1.0,
        }],
        reclaim_ms: None,
        unreachable_since_ms: spot.then_some(70_000),
    }
}

fn job(name: &str) -> Arc<JobSpec> {
    let text = format!(
        r#"{{"uid":"{name}","lane":"a","crew":"red","shape":"sweep","rank":"normal",
        "pieces":3,"cpus":1,"gpus":1,"memoryGb":1,"kit":"i","sizeGb":1,"together":false,
        "spread":false,"loaners":true,"guessS":60,"waypointS":0,"stashS":0}}"#
    );
    Arc::new(JobSpec::parse(text.as_bytes()).unwrap())
}

fn submit(job_id: &str, accepted_ms: UnixMillis) -> Mutation {
    Mutation::Submit(SubmitJob {
        spec: job(job_id),
        accepted_ms,
    })
}

fn adopt(id: &str, record: MachineRecord) -> Mutation {
    Mutation::MachineAdopted(MachineAdopted {
        machine: id.into(),
        record,
    })
}

/// One job has tasks on two of the three machines; another job is pending.
fn fill_cluster_state(controller: &Controller) {
    let mut state = controller.replica.state();
    let idle = MachineRecord {
        ready_ms: None,
        ..machine(false, MachineLifecycle::Active)
    };
    let placed = [(0, "m-1"), (2, "m-1"), (1, "m-2")].map(|(task, machine)| TaskOnMachine {
        task,
        machine: machine.into(),
    });
    let mutations = [
        submit("j-1", 100),
        submit("j-2", 110),
        adopt("m-1", machine(false, MachineLifecycle::Active)),
        adopt("m-2", machine(true, MachineLifecycle::Active)),
        adopt("m-3", idle),
        Mutation::Assign(AssignTasks {
            job: "j-1".into(),
            assigned_ms: 300,
            shards: vec![ShardTasks {
                shard: "east".into(),
                tasks: placed.to_vec(),
            }],
        }),
        Mutation::Place(PlaceTasks {
            job: "j-1".into(),
            attempt: 7,
            placed_ms: 310,
            tasks: placed.to_vec(),
        }),
        Mutation::Started(TasksStarted {
            job: "j-1".into(),
            attempt: 7,
            started_ms: 320,
            tasks: vec![0],
        }),
    ];
    for mutation in mutations {
        state.apply(mutation, 7, 500);
    }
    let rental = RentalRequest {
        machine_type: "box".into(),
        zone: "east".into(),
        spot: true,
        count: 2,
        requested_ms: 400,
    };
    state.rentals.insert("r-1".into(), rental);
    state.revision = 9;
    state.entries_since_snapshot = 4;
    state.snapshot = SnapshotManifest {
        revision: 3,
        generation: 2,
        chunks: 1,
    };
}

fn fill_leadership(controller: &Controller) {
    let member = "node-0".to_string();
    let lease = ShardLease {
        owner: member.clone(),
        incarnation: 12,
    };
    let record = MemberRecord {
        zone: "east".into(),
        incarnation: 12,
        registered_ms: 1,
    };
    let leader = LeaderRecord {
        member: member.clone(),
        election_id: 8,
    };
    let mut state = controller.replica.state();
    let lease = Versioned {
        version: 6,
        value: lease,
    };
    state.shard_leases.insert("east".into(), lease);
    state.members.insert(member, record);
    state.leader = Some(Versioned {
        version: 5,
        value: leader,
    });
    controller.leadership.begin_election(8);
    let mut reasons = controller.pending_reasons.by_job();
    let pending = (2..14).map(|n| (format!("j-{n:02}"), PendingReason::NoCapacity));
    reasons.extend(pending);
    reasons.insert("j-14".to_string(), PendingReason::TeamLimitReached);
}

fn record_incidents(controller: &Controller) {
    let mut incidents = controller.incidents.lock();
    let causes = [
        IncidentCause::NoLeader,
        IncidentCause::RuntimeLagging,
        IncidentCause::StoreUnreachable,
        IncidentCause::UnownedShards,
    ];
    incidents.observe(1.26, &causes, 1.0);
    incidents.observe(2.0, &[], 1.0);
    let causes = [
        IncidentCause::WorkersUnreachable,
        IncidentCause::RequestsRejected,
    ];
    incidents.observe(0.5, &causes, 1.0);
}

async fn get(controller: &Arc<Controller>, path: &'static str) -> String {
    let request = Request::builder().uri(path.parse().unwrap()).finish();
    let response = peer_routes(controller).get_response(request).await;
    assert_eq!(response.content_type(), Some("application/json"));
    response.into_body().into_string().await.unwrap()
}

#[tokio::test(start_paused = true)]
async fn status_body_is_unchanged() {
    let controller = controller();
    fill_cluster_state(&controller);
    fill_leadership(&controller);
    record_incidents(&controller);
    let address = SocketAddr::from(([10, 0, 0, 1], 7));
    let remote = RemoteAddr(Addr::SocketAddr(address));
    let (io, _remote_end) = tokio::io::duplex(64);
    let _open = TrackedConnection::new(io, &controller.connections, &remote);
    let now = Instant::now();
    controller.replica.record_read(now);
    advance(Duration::from_millis(1500)).await;
    assert_eq!(get(&controller, "/admin/status").await, STATUS.trim_end());
}

#[tokio::test(start_paused = true)]
async fn status_body_of_a_new_controller_is_unchanged() {
    let controller = controller();
    let expected = include_str!("tests/status_at_start.json");
    assert_eq!(get(&controller, "/admin/status").await, expected.trim_end());
}

#[tokio::test(start_paused = true)]
async fn machines_page_is_unchanged() {
    let controller = controller();
    fill_cluster_state(&controller);
    let body = get(&controller, "/admin/machines").await;
    assert_eq!(body, MACHINES.trim_end());
}

#[tokio::test(start_paused = true)]
async fn machines_page_begins_after_the_given_name_and_shows_whether_more_follow() {
    let controller = controller();
    for n in 0..=MACHINES_PER_PAGE {
        let name = format!("m-{n:03}");
        let record = machine(false, MachineLifecycle::Draining);
        controller
            .replica
            .state()
            .apply(adopt(&name, record), 7, 500);
    }
    let first = get(&controller, "/admin/machines").await;
    assert!(first.ends_with(r#""zone":"east"}],"more":true}"#));
    assert!(first.contains(r#""name":"m-099""#) && !first.contains(r#""name":"m-100""#));
    let last = get(&controller, "/admin/machines?after=m-099").await;
    let machine = r#"{"block":"east","images":1,"leaving":true,"name":"m-100","silent":false,"spot":false,"tasks":[],"type":"box","up":true,"zone":"east"}"#;
    assert_eq!(last, format!(r#"{{"machines":[{machine}],"more":false}}"#));
}
