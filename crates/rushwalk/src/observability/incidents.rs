//! How long troubles last: since when this controller has not served as usual, what
//! of it is to blame, and how long the last trouble took to be over.

use crate::controller::{Controller, lock};
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// What keeps a controller from serving as usual.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum IncidentCause {
    /// The state service has not answered for longer than it takes.
    #[serde(rename = "state_out_of_reach")]
    StoreUnreachable,
    NoLeader,
    /// Machines whose block nobody holds: nothing is placed on them.
    #[serde(rename = "blocks_without_holder")]
    UnownedShards,
    /// More than one in twenty of the machines held here were not heard of lately.
    #[serde(rename = "workers_not_heard")]
    WorkersUnreachable,
    /// Timers fire late: there is more to do than this thread can.
    #[serde(rename = "thread_behind")]
    RuntimeLagging,
    /// Users were told 429 or 503.
    #[serde(rename = "users_refused")]
    RequestsRejected,
}

/// One trouble: its seconds so far, and those of each cause.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Incident {
    pub took_s: f64,
    pub causes: BTreeMap<IncidentCause, f64>,
}

impl Incident {
    /// In tenths of seconds: the looks are no closer than that.
    fn rounded(&self) -> Incident {
        let tenths = |s: f64| (s * 10.0).round() / 10.0;
        let causes = self.causes.iter().map(|(c, s)| (*c, tenths(*s)));
        Incident {
            took_s: tenths(self.took_s),
            causes: causes.collect(),
        }
    }
}

/// From what is wrong at each look to troubles with a beginning and an end.
#[derive(Debug, Default)]
pub struct IncidentRecorder {
    now: Option<Incident>,
    last: Option<Incident>,
    /// How long nothing has been wrong since.
    calm_s: f64,
}

impl IncidentRecorder {
    /// A look after `passed_s`. A trouble is over when nothing was wrong for `calm_s`,
    /// which does not count; then it is returned.
    pub fn observe(
        &mut self,
        passed_s: f64,
        wrong: &[IncidentCause],
        calm_s: f64,
    ) -> Option<Incident> {
        if wrong.is_empty() {
            self.calm_s += passed_s;
            if self.calm_s < calm_s {
                return None;
            }
            self.last = Some(self.now.take()?.rounded());
            return self.last.clone();
        }
        let trouble = self.now.get_or_insert_with(|| {
            self.calm_s = 0.0;
            Incident::default()
        });
        trouble.took_s += passed_s + self.calm_s;
        self.calm_s = 0.0;
        for cause in wrong {
            *trouble.causes.entry(*cause).or_default() += passed_s;
        }
        None
    }

    /// The trouble there is, and the last one that is over.
    pub fn summary(&self) -> (Option<Incident>, Option<Incident>) {
        let rounded = |t: &Option<Incident>| t.as_ref().map(Incident::rounded);
        (rounded(&self.now), rounded(&self.last))
    }
}

fn wrong(node: &Controller) -> Vec<IncidentCause> {
    let mut out = Vec::new();
    let mut found = |is: bool, cause: IncidentCause| {
        if is {
            out.push(cause);
        }
    };
    let times = &node.timing;
    found(
        node.staleness() > times.round * 4,
        IncidentCause::StoreUnreachable,
    );
    let view = node.view();
    found(view.leader.is_none(), IncidentCause::NoLeader);
    let held = |block| {
        view.shard_leases
            .get(block)
            .is_some_and(|(_, g)| view.is_owner_registered(g))
    };
    let without = view.shards.iter().any(|(b, m)| !m.is_empty() && !held(b));
    found(without, IncidentCause::UnownedShards);
    let (mut all, mut unheard) = (0, 0);
    let reports = lock(&node.workers_seen);
    for (block, machines) in &view.shards {
        if node.fencing_token(&view, block).is_none() {
            continue;
        }
        for name in machines {
            // Those known to be silent are a trouble of theirs, not of this node.
            let row = view.machines.get(name);
            if !row.is_some_and(|r| {
                r.record.ready_ms.is_some() && r.record.unreachable_since_ms.is_none()
            }) {
                continue;
            }
            let heard = reports.sessions.get(name).and_then(|w| w.last_heard);
            all += 1;
            unheard += usize::from(heard.is_none_or(|at| at.elapsed() > times.unreachable_after));
        }
    }
    found(unheard * 20 > all, IncidentCause::WorkersUnreachable);
    found(node.runtime_lag.is_lagging(), IncidentCause::RuntimeLagging);
    let refused = node.rejected_requests.swap(0, Ordering::Relaxed) > 0;
    found(refused, IncidentCause::RequestsRejected);
    out
}

/// Looks once a round. From the start it is a trouble until all is well.
pub async fn recovery_loop(node: Arc<Controller>) {
    let round = node.timing.round;
    let calm = (round * 3).as_secs_f64();
    let mut looked = Instant::now();
    loop {
        sleep(round).await;
        let passed = looked.elapsed();
        looked = Instant::now();
        let wrong = wrong(&node);
        let over = lock(&node.incidents).observe(passed.as_secs_f64(), &wrong, calm);
        // A single late timer is no trouble that anybody wants to read of.
        if let Some(trouble) = over
            && Duration::from_secs_f64(trouble.took_s) > 3 * round
        {
            let causes = serde_json::to_string(&trouble.causes).unwrap_or_default();
            tracing::info!(took_s = trouble.took_s, causes, "back to normal");
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use IncidentCause::{NoLeader, RuntimeLagging};

    #[test]
    fn a_trouble_lasts_until_its_last_cause_and_pauses_belong_to_it() {
        let mut recovery = IncidentRecorder::default();
        assert_eq!(recovery.observe(1.0, &[], 3.0), None);
        assert_eq!(
            recovery.observe(1.0, &[NoLeader, RuntimeLagging], 3.0),
            None
        );
        assert_eq!(recovery.observe(2.0, &[], 3.0), None);
        assert_eq!(recovery.observe(1.0, &[RuntimeLagging], 3.0), None);
        let told = recovery.summary().0.unwrap();
        assert_eq!(told.took_s, 4.0);
        assert_eq!(recovery.observe(2.0, &[], 3.0), None);
        let over = recovery.observe(2.0, &[], 3.0).unwrap();
        assert_eq!(over.took_s, 4.0);
        assert_eq!(over.causes, [(NoLeader, 1.0), (RuntimeLagging, 2.0)].into());
        assert_eq!(recovery.summary(), (None, Some(over)));
        assert_eq!(recovery.observe(9.0, &[], 3.0), None, "told once");
        recovery.observe(1.0, &[NoLeader], 3.0);
        assert_eq!(recovery.summary().0.unwrap().took_s, 1.0);
    }
}
