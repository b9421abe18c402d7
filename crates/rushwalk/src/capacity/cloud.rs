//! The leader's dealings with the cloud: machine types, rentals, deletions and
//! the list. What is asked of it was committed first.

use crate::capacity::round::kind_of;
use crate::controller::{Controller, WritePriority, lock, now_ms};
use crate::leadership::leader::{append, commit};
use crate::view::{ClusterState, Name};
use rushwalk_clients::cloud::RentOutcome;
use rushwalk_protocol::cloud::{ListedState, MAX_DELETE, MAX_LIST, RentRequest};
use rushwalk_protocol::records::{
    self as rec, LEADER, MachineLifecycle, MachineRecord, Mutation, RentalRequest,
};
use rushwalk_protocol::store::Transaction;
use rushwalk_scheduler::capacity::InstanceKind;
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

/// Machine types and the list: calls that nothing waits for.
pub async fn list_loop(node: Arc<Controller>) {
    let mut listed_at: Option<Instant> = None;
    let mut typed_at: Option<Instant> = None;
    loop {
        sleep(node.timing.round / 4).await;
        if !leads(&node) {
            continue;
        }
        if typed_at.is_none_or(|at| at.elapsed() > node.timing.worker_lease * 2)
            && types(&node).await
        {
            typed_at = Some(Instant::now());
        }
        // A large fleet takes many pages: a tenth of the calls at most.
        let pages = (node.view().machines.len() / MAX_LIST + 1) as f64;
        let lag = node.settings.site.cloud.list_lag_s.max(1.0);
        let every = (4.0 * lag).max(10.0 * pages / node.cloud.rate());
        if listed_at.is_none_or(|at| at.elapsed().as_secs_f64() > every) {
            listed_at = Some(Instant::now());
            list(&node).await;
        }
    }
}

fn leads(node: &Controller) -> bool {
    let view = node.view();
    node.leadership(&view).is_some()
}

/// Gives back what is to be deleted: at once if tasks wait to be gone or a call is
/// full, else once in a round, for a call costs the same for one as for a hundred.
pub async fn return_loop(node: Arc<Controller>) {
    let mut last: Option<Instant> = None;
    loop {
        sleep(node.timing.round / 4).await;
        if !leads(&node) {
            continue;
        }
        let lately = last.is_some_and(|at| at.elapsed() < node.timing.round);
        if delete(&node, lately).await {
            last = Some(Instant::now());
        }
    }
}

async fn types(node: &Controller) -> bool {
    let answer = match node.cloud.machine_types().await {
        Ok(answer) => answer,
        Err(error) => {
            tracing::debug!(%error, "no machine types");
            return false;
        }
    };
    let txn = {
        let view = node.view();
        let types = rec::MachineTypes {
            types: answer.types,
        };
        let Some(version) = node.leadership(&view) else {
            return false;
        };
        if view.machine_types.as_deref() == Some(&types) {
            return true;
        }
        Transaction::default()
            .expect_version(LEADER, version)
            .put(rec::TYPES, &types)
    };
    commit(node, txn, WritePriority::WorkKind).await
}

/// Deletes what is to be deleted; afterwards all on it is surely gone.
async fn delete(node: &Controller, lately: bool) -> bool {
    let (busy, names): (bool, Vec<Name>) = {
        let view = node.view();
        let delete =
            |m: &&crate::view::MachineState| m.record.lifecycle == MachineLifecycle::Deleting;
        let mut list: Vec<_> = view
            .machines
            .iter()
            .filter(|(_, m)| delete(m))
            .map(|(name, m)| (std::cmp::Reverse(m.tasks.len()), name.clone()))
            .collect();
        // Those on which tasks wait to be gone come first.
        list.sort();
        let busy = list.first().is_some_and(|(tasks, _)| tasks.0 > 0);
        let names = list.into_iter().map(|l| l.1).take(MAX_DELETE);
        (busy, names.collect())
    };
    if names.is_empty() || (lately && !busy && names.len() < MAX_DELETE) {
        return false;
    }
    let asked = names.iter().map(|n| n.to_string()).collect();
    if let Err(error) = node.cloud.delete(asked).await {
        tracing::info!(%error, "deletion not confirmed");
        return true;
    }
    let version = {
        let view = node.view();
        let Some(version) = node.leadership(&view) else {
            return true;
        };
        let now = Instant::now();
        let mut memory = lock(&node.leader_state);
        memory
            .deleted_machines
            .extend(names.iter().map(|n| (n.clone(), now)));
        let tasks: usize = names
            .iter()
            .filter_map(|n| view.machines.get(n))
            .map(|m| m.tasks.len())
            .sum();
        tracing::info!(?names, tasks, "machines gone");
        version
    };
    append(
        node,
        version,
        &[Mutation::MachinesDeleted(names)],
        WritePriority::WorkKind,
    )
    .await;
    true
}

/// Carries out the rentals that are committed, side by side, and commits together
/// what became of them.
pub async fn rent_loop(node: Arc<Controller>) {
    let (tell, mut told) = mpsc::unbounded_channel::<(Name, RentalRequest, Option<RentOutcome>)>();
    loop {
        sleep(node.timing.round / 8).await;
        let version = {
            let view = node.view();
            node.leadership(&view)
        };
        let mut answers = Vec::new();
        while let Ok(answer) = told.try_recv() {
            answers.push(answer);
        }
        if let Some(version) = version
            && !answers.is_empty()
        {
            let ops = outcomes(&node, &answers);
            append(&node, version, &ops, WritePriority::WorkKind).await;
        }
        // What is still open is asked for again, under the same name: it rents
        // nothing more.
        for (name, ..) in answers {
            lock(&node.leader_state).rentals_in_flight.remove(&name);
        }
        let Some(version) = version else {
            continue;
        };
        let view = node.view();
        let mut memory = lock(&node.leader_state);
        memory.unsent_rentals.retain(|_, (v, _)| *v == version);
        for (name, rental) in &view.rentals {
            if memory.rentals_in_flight.insert(name.clone()) {
                let ask = ask(
                    node.clone(),
                    version,
                    name.clone(),
                    rental.clone(),
                    tell.clone(),
                );
                tokio::spawn(ask);
            }
        }
    }
}

type Tell = mpsc::UnboundedSender<(Name, RentalRequest, Option<RentOutcome>)>;

/// Asks for one rental and tells what came of it; `None` if that is not known.
async fn ask(node: Arc<Controller>, version: u64, name: Name, rental: RentalRequest, tell: Tell) {
    node.cloud.wait_for_slot().await;
    let kind = kind_of(&rental);
    let refused = {
        let mut memory = lock(&node.leader_state);
        // Its kind ran out since: never asked for, it can simply be dropped.
        let unsent = memory.unsent_rentals.remove(&name);
        unsent.is_some_and(|(v, at)| v == version && memory.capacity.exhausted_since(&kind, at))
    };
    let answer = match refused {
        true => Some(RentOutcome::OutOfCapacity),
        false => asked(&node, &name, &rental, &kind).await,
    };
    if answer.is_none() {
        sleep(node.timing.round).await;
    }
    let _ = tell.send((name, rental, answer));
}

async fn asked(
    node: &Controller,
    name: &Name,
    rental: &RentalRequest,
    kind: &InstanceKind,
) -> Option<RentOutcome> {
    let request = RentRequest {
        request: name.to_string(),
        machine_type: rental.machine_type.clone(),
        zone: rental.zone.clone(),
        spot: rental.spot,
        count: rental.count,
    };
    let answer = match node.cloud.rent(&request).await {
        Ok(answer) => answer,
        Err(error) => {
            // It may have been carried out: asked again under the same name.
            tracing::info!(request = &**name, %error, "rental unanswered");
            return None;
        }
    };
    let got = match &answer {
        RentOutcome::Machines(machines) => machines.len() as u32,
        RentOutcome::OutOfCapacity | RentOutcome::Malformed => 0,
    };
    tracing::info!(request = &**name, got, of = rental.count, ?kind, "rented");
    let have = node.view().count_of_kind(kind);
    let pause = 6.0 * node.timing.round.as_secs_f64();
    let market = &mut lock(&node.leader_state).capacity;
    market.record_response(kind, rental.count, got, have, node.uptime_s(), pause);
    Some(answer)
}

/// What became of rentals, with blocks for what was rented.
fn outcomes(
    node: &Controller,
    answers: &[(Name, RentalRequest, Option<RentOutcome>)],
) -> Vec<Mutation> {
    let view = node.view();
    let mut added = HashMap::new();
    let mut ops = Vec::new();
    for (name, rental, answer) in answers {
        ops.push(match answer {
            Some(RentOutcome::Machines(machines)) => {
                let n = machines.len();
                let blocks = blocks_for(node, &view, &rental.zone, n, &mut added);
                let names = machines.iter().map(|m| Name::from(m.as_str()));
                Mutation::RentalFulfilled(name.clone(), names.zip(blocks).collect())
            }
            Some(_) => Mutation::RentalRefused(name.clone()),
            None => continue,
        });
    }
    ops
}

/// Machines of a block: large enough that few grants cover the fleet, small
/// enough that a lost controller's machines can be shared out, and that more
/// controllers have more blocks to share.
fn block_size(nodes: usize) -> usize {
    (768 / nodes.max(3)).max(32)
}

/// The zone's blocks with room, for `n` machines.
fn blocks_for(
    node: &Controller,
    view: &ClusterState,
    zone: &str,
    n: usize,
    added: &mut HashMap<String, usize>,
) -> Vec<Name> {
    let mut out = Vec::new();
    let nodes = 1 + node.settings.peers.len();
    let whole = block_size(nodes);
    // As many blocks as there are controllers share a large zone evenly.
    let mut k = 0;
    while out.len() < n {
        let block = match k {
            0 => zone.to_string(),
            k => format!("{zone}#{k}"),
        };
        let used = view.shards.get(&*block).map_or(0, |b| b.len());
        let room = whole.saturating_sub(used + added.get(&block).copied().unwrap_or(0));
        let take = room.min(n - out.len()).min(whole / nodes.min(3));
        *added.entry(block.clone()).or_default() += take;
        let block: Name = block.as_str().into();
        out.extend(std::iter::repeat_n(block, take));
        if room <= take {
            k += 1;
        }
    }
    out
}

/// Reads the list: machines that are not ours yet are returned, and those that
/// failed are given up.
async fn list(node: &Controller) {
    let mut all = Vec::new();
    let mut since = String::new();
    loop {
        match node.cloud.list(&since).await {
            Ok(page) => {
                let more = page.more && !page.machines.is_empty();
                all.extend(page.machines);
                if let Some(last) = all.last() {
                    since = last.name.clone();
                }
                if !more {
                    break;
                }
            }
            Err(error) => {
                tracing::debug!(%error, "no machine list");
                return;
            }
        }
    }
    let (version, ops) = {
        let view = node.view();
        let Some(version) = node.leadership(&view) else {
            return;
        };
        let now = now_ms();
        let skew = node.settings.site.skew_ms as u64 + 2000;
        let mut ops = Vec::new();
        let mut failed = Vec::new();
        let mut added = HashMap::new();
        // The list is late: a machine just deleted may still be on it.
        let lag = node.settings.site.cloud.list_lag_s;
        let mut memory = lock(&node.leader_state);
        memory
            .deleted_machines
            .retain(|_, at| at.elapsed().as_secs_f64() < 4.0 * lag + 10.0);
        // A rental that is not older may have brought it, unheard of as yet.
        let expected = |age_s: f64| {
            let born = now.saturating_sub((age_s * 1000.0) as u64);
            view.rentals.values().any(|r| r.requested_ms <= born + skew)
        };
        for listed in &all {
            if memory.deleted_machines.contains_key(&*listed.name) {
                continue;
            }
            match view.machines.get(&*listed.name) {
                None if listed.state == ListedState::Failed
                    || (listed.age_s > 2.0 * lag && !expected(listed.age_s)) =>
                {
                    // Unexpected: a rental that came late. It is returned.
                    let blocks = blocks_for(node, &view, &listed.zone, 1, &mut added);
                    let Some(block) = blocks.into_iter().next() else {
                        continue;
                    };
                    let machine = MachineRecord {
                        machine_type: listed.machine_type.as_str().into(),
                        zone: listed.zone.as_str().into(),
                        spot: listed.spot,
                        shard: block,
                        lifecycle: MachineLifecycle::Deleting,
                        rented_ms: now.saturating_sub((listed.age_s * 1000.0) as u64),
                        ready_ms: None,
                        address: listed.address.as_str().into(),
                        images: Vec::new(),
                        reclaim_ms: None,
                        unreachable_since_ms: None,
                    };
                    tracing::info!(machine = listed.name, "unexpected machine");
                    ops.push(Mutation::MachineAdopted(
                        listed.name.as_str().into(),
                        machine,
                    ));
                }
                Some(row)
                    if listed.state == ListedState::Failed
                        && row.record.lifecycle != MachineLifecycle::Deleting =>
                {
                    tracing::info!(machine = listed.name, "machine failed");
                    failed.push(Name::from(listed.name.as_str()));
                }
                _ => {}
            }
        }
        for some in failed.chunks(MAX_DELETE) {
            ops.push(Mutation::SetLifecycle(
                MachineLifecycle::Deleting,
                some.to_vec(),
            ));
        }
        (version, ops)
    };
    append(node, version, &ops, WritePriority::Maintenance).await;
}
