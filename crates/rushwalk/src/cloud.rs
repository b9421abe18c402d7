//! The leader's dealings with the cloud: machine types, rentals, deletions and
//! the list. What is asked of it was committed first.

use crate::leader::{append, commit};
use crate::node::{For, Node, lock, now_ms};
use crate::view::{Name, View};
use rushwalk_wire::cloud::{ListedState, MAX_DELETE, RentRequest};
use rushwalk_wire::records::{self as rec, LEADER, Machine, Op, Rental, Stage};
use rushwalk_wire::state::Transaction;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Carries out rentals and deletions that are committed; reads the list.
pub async fn cloud_loop(node: Arc<Node>) {
    let site = &node.settings.site;
    let mut listed_at: Option<Instant> = None;
    let mut typed_at: Option<Instant> = None;
    // Three kinds of calls share the budget with a margin.
    let gap = Duration::from_secs_f64(1.5 / site.cloud.rps);
    let list_every = Duration::from_secs_f64(4.0 * site.cloud.list_lag_s.max(1.0));
    loop {
        sleep(gap).await;
        let leading = {
            let view = node.view();
            node.leadership(&view)
        };
        if leading.is_none() {
            continue;
        }
        if typed_at.is_none_or(|at| at.elapsed() > node.times.lease * 2) && types(&node).await {
            typed_at = Some(Instant::now());
            sleep(gap).await;
        }
        if delete(&node).await {
            sleep(gap).await;
        }
        let rentals: Vec<(Name, Rental)> = {
            let view = node.view();
            let list = view.rentals.iter();
            list.map(|(name, r)| (name.clone(), r.clone())).collect()
        };
        // Side by side: at the start of a day many are wanted at once.
        for (name, rental) in rentals {
            if lock(&node.leading).asking.insert(name.clone()) {
                tokio::spawn(rent_one(node.clone(), name, rental));
                sleep(gap).await;
            }
        }
        if listed_at.is_none_or(|at| at.elapsed() > list_every) {
            listed_at = Some(Instant::now());
            list(&node).await;
        }
    }
}

async fn types(node: &Node) -> bool {
    let answer = match node.cloud.types().await {
        Ok(answer) => answer,
        Err(error) => {
            tracing::debug!(%error, "no machine types");
            return false;
        }
    };
    let txn = {
        let view = node.view();
        let types = rec::Types {
            types: answer.types,
        };
        let Some(version) = node.leadership(&view) else {
            return false;
        };
        if view.types.as_deref() == Some(&types) {
            return true;
        }
        Transaction::default()
            .when(LEADER, version)
            .put(rec::TYPES, &types)
    };
    commit(node, txn, For::Work).await
}

/// Deletes what is to be deleted; afterwards all on it is surely gone.
async fn delete(node: &Node) -> bool {
    let names: Vec<Name> = {
        let view = node.view();
        let delete = |m: &&crate::view::MachineRow| m.machine.stage == Stage::Delete;
        let mut list: Vec<_> = view
            .machines
            .iter()
            .filter(|(_, m)| delete(m))
            .map(|(name, m)| (std::cmp::Reverse(m.tasks.len()), name.clone()))
            .collect();
        // Those on which tasks wait to be gone come first.
        list.sort();
        list.into_iter().map(|l| l.1).take(MAX_DELETE).collect()
    };
    if names.is_empty() {
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
        let mut memory = lock(&node.leading);
        memory.gone.extend(names.iter().map(|n| (n.clone(), now)));
        let tasks: usize = names
            .iter()
            .filter_map(|n| view.machines.get(n))
            .map(|m| m.tasks.len())
            .sum();
        tracing::info!(?names, tasks, "machines gone");
        version
    };
    append(node, version, &[Op::Deleted(names)], For::Work).await;
    true
}

async fn rent_one(node: Arc<Node>, name: Name, rental: Rental) {
    ask_one(&node, &name, rental).await;
    // Unanswered ones are asked for again, under the same name.
    sleep(node.times.round).await;
    lock(&node.leading).asking.remove(&name);
}

async fn ask_one(node: &Node, name: &Name, rental: Rental) {
    let request = RentRequest {
        request: name.to_string(),
        kind: rental.kind.clone(),
        zone: rental.zone.clone(),
        spot: rental.spot,
        count: rental.count,
    };
    let kind = (rental.kind.clone(), rental.zone.clone(), rental.spot);
    let answer = node.cloud.rent(&request).await;
    let (got, op) = match answer {
        Ok(answer) => {
            let n = answer.machines.len();
            tracing::info!(request = &**name, n, of = rental.count, ?kind, "rented");
            let blocks = {
                let view = node.view();
                blocks_for(node, &view, &rental.zone, n)
            };
            let names = answer.machines.into_iter().map(Name::from);
            let op = Op::Rented(name.clone(), names.zip(blocks).collect());
            (n as u32 >= rental.count, op)
        }
        Err(error) if error.status() == Some(503) || error.status() == Some(400) => {
            tracing::info!(request = &**name, ?kind, %error, "rental refused");
            (false, Op::Refused(name.clone()))
        }
        Err(error) => {
            // It may have been carried out: asked again under the same name.
            tracing::info!(request = &**name, %error, "rental unanswered");
            return;
        }
    };
    {
        let mut memory = lock(&node.leading);
        match got {
            true => {
                memory.refused.remove(&kind);
            }
            false => {
                let refused = memory.refused.get(&kind).copied();
                let (_, n) = refused.unwrap_or((Instant::now(), 0));
                let pause = node.times.round * 2u32.pow(n.min(3)) * 6;
                memory.refused.insert(kind, (Instant::now() + pause, n + 1));
            }
        }
    }
    // Until it is in, the rental stands and would be asked for again, which
    // rents nothing more: the name is the same.
    for _ in 0..3 {
        let leading = {
            let view = node.view();
            node.leadership(&view)
        };
        if let Some(version) = leading
            && append(node, version, std::slice::from_ref(&op), For::Work).await
        {
            return;
        }
        sleep(node.times.round / 2).await;
    }
}

/// Machines of a block: large enough that few grants cover the fleet, small
/// enough that a lost controller's machines can be shared out.
const BLOCK: usize = 256;

/// The zone's blocks with room, for `n` machines.
fn blocks_for(node: &Node, view: &View, zone: &str, n: usize) -> Vec<Name> {
    let mut out = Vec::new();
    let nodes = 1 + node.settings.peers.len();
    let mut added: HashMap<String, usize> = HashMap::new();
    // As many blocks as there are controllers share a large zone evenly.
    let mut k = 0;
    while out.len() < n {
        let block = match k {
            0 => zone.to_string(),
            k => format!("{zone}#{k}"),
        };
        let used = view.blocks.get(&*block).map_or(0, |b| b.len());
        let room = BLOCK.saturating_sub(used + added.get(&block).copied().unwrap_or(0));
        let take = room.min(n - out.len()).min(BLOCK / nodes);
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
async fn list(node: &Node) {
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
                sleep(Duration::from_secs_f64(1.5 / node.settings.site.cloud.rps)).await;
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
        // The list is late: a machine just deleted may still be on it.
        let lag = node.settings.site.cloud.list_lag_s;
        let mut memory = lock(&node.leading);
        memory
            .gone
            .retain(|_, at| at.elapsed().as_secs_f64() < 4.0 * lag + 10.0);
        // A rental that is not older may have brought it, unheard of as yet.
        let expected = |age_s: f64| {
            let born = now.saturating_sub((age_s * 1000.0) as u64);
            view.rentals.values().any(|r| r.at <= born + skew)
        };
        for listed in &all {
            if memory.gone.contains_key(&*listed.name) {
                continue;
            }
            match view.machines.get(&*listed.name) {
                None if listed.state == ListedState::Failed
                    || (listed.age_s > 2.0 * lag && !expected(listed.age_s)) =>
                {
                    // Unexpected: a rental that came late. It is returned.
                    let blocks = blocks_for(node, &view, &listed.zone, 1);
                    let Some(block) = blocks.into_iter().next() else {
                        continue;
                    };
                    let machine = Machine {
                        kind: listed.kind.as_str().into(),
                        zone: listed.zone.as_str().into(),
                        spot: listed.spot,
                        block,
                        stage: Stage::Delete,
                        rented: now.saturating_sub((listed.age_s * 1000.0) as u64),
                        up: None,
                        address: listed.address.as_str().into(),
                        images: Vec::new(),
                        taken: None,
                        silent: None,
                    };
                    tracing::info!(machine = listed.name, "unexpected machine");
                    ops.push(Op::Found(listed.name.as_str().into(), machine));
                }
                Some(row)
                    if listed.state == ListedState::Failed
                        && row.machine.stage != Stage::Delete =>
                {
                    tracing::info!(machine = listed.name, "machine failed");
                    failed.push(Name::from(listed.name.as_str()));
                }
                _ => {}
            }
        }
        for some in failed.chunks(MAX_DELETE) {
            ops.push(Op::Stage(Stage::Delete, some.to_vec()));
        }
        (version, ops)
    };
    append(node, version, &ops, For::Upkeep).await;
}
