//! How long troubles last: since when this controller has not served as usual, what
//! of it is to blame, and how long the last trouble took to be over.

use crate::node::{Node, lock};
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// What keeps a controller from serving as usual.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The state service has not answered for longer than it takes.
    StateOutOfReach,
    NoLeader,
    /// Machines whose block nobody holds: nothing is placed on them.
    BlocksWithoutHolder,
    /// More than one in twenty of the machines held here were not heard of lately.
    WorkersNotHeard,
    /// Timers fire late: there is more to do than this thread can.
    ThreadBehind,
    /// Users were told 429 or 503.
    UsersRefused,
}

/// One trouble: its seconds so far, and those of each cause.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Trouble {
    pub took_s: f64,
    pub causes: BTreeMap<Cause, f64>,
}

impl Trouble {
    /// In tenths of seconds: the looks are no closer than that.
    fn rounded(&self) -> Trouble {
        let tenths = |s: f64| (s * 10.0).round() / 10.0;
        let causes = self.causes.iter().map(|(c, s)| (*c, tenths(*s)));
        Trouble {
            took_s: tenths(self.took_s),
            causes: causes.collect(),
        }
    }
}

/// From what is wrong at each look to troubles with a beginning and an end.
#[derive(Debug, Default)]
pub struct Recovery {
    now: Option<Trouble>,
    last: Option<Trouble>,
    /// How long nothing has been wrong since.
    calm_s: f64,
}

impl Recovery {
    /// A look after `passed_s`. A trouble is over when nothing was wrong for `calm_s`,
    /// which does not count; then it is returned.
    pub fn saw(&mut self, passed_s: f64, wrong: &[Cause], calm_s: f64) -> Option<Trouble> {
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
            Trouble::default()
        });
        trouble.took_s += passed_s + self.calm_s;
        self.calm_s = 0.0;
        for cause in wrong {
            *trouble.causes.entry(*cause).or_default() += passed_s;
        }
        None
    }

    /// The trouble there is, and the last one that is over.
    pub fn told(&self) -> (Option<Trouble>, Option<Trouble>) {
        let rounded = |t: &Option<Trouble>| t.as_ref().map(Trouble::rounded);
        (rounded(&self.now), rounded(&self.last))
    }
}

fn wrong(node: &Node) -> Vec<Cause> {
    let mut out = Vec::new();
    let mut found = |is: bool, cause: Cause| {
        if is {
            out.push(cause);
        }
    };
    let times = &node.times;
    found(node.state_age() > times.round * 4, Cause::StateOutOfReach);
    let view = node.view();
    found(view.leader.is_none(), Cause::NoLeader);
    let held = |block| view.grants.get(block).is_some_and(|(_, g)| view.held(g));
    let without = view.blocks.iter().any(|(b, m)| !m.is_empty() && !held(b));
    found(without, Cause::BlocksWithoutHolder);
    let (mut all, mut unheard) = (0, 0);
    let reports = lock(&node.reports);
    for (block, machines) in &view.blocks {
        if node.token(&view, block).is_none() {
            continue;
        }
        for name in machines {
            // Those known to be silent are a trouble of theirs, not of this node.
            let row = view.machines.get(name);
            if !row.is_some_and(|r| r.machine.up.is_some() && r.machine.silent.is_none()) {
                continue;
            }
            let heard = reports.all.get(name).and_then(|w| w.heard);
            all += 1;
            unheard += usize::from(heard.is_none_or(|at| at.elapsed() > times.silent));
        }
    }
    found(unheard * 20 > all, Cause::WorkersNotHeard);
    found(node.load.behind(), Cause::ThreadBehind);
    let refused = node.refused.swap(0, Ordering::Relaxed) > 0;
    found(refused, Cause::UsersRefused);
    out
}

/// Looks once a round. From the start it is a trouble until all is well.
pub async fn recovery_loop(node: Arc<Node>) {
    let round = node.times.round;
    let calm = (round * 3).as_secs_f64();
    let mut looked = Instant::now();
    loop {
        sleep(round).await;
        let passed = looked.elapsed();
        looked = Instant::now();
        let wrong = wrong(&node);
        let over = lock(&node.recovery).saw(passed.as_secs_f64(), &wrong, calm);
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
    use Cause::{NoLeader, ThreadBehind};

    #[test]
    fn a_trouble_lasts_until_its_last_cause_and_pauses_belong_to_it() {
        let mut recovery = Recovery::default();
        assert_eq!(recovery.saw(1.0, &[], 3.0), None);
        assert_eq!(recovery.saw(1.0, &[NoLeader, ThreadBehind], 3.0), None);
        assert_eq!(recovery.saw(2.0, &[], 3.0), None);
        assert_eq!(recovery.saw(1.0, &[ThreadBehind], 3.0), None);
        let told = recovery.told().0.unwrap();
        assert_eq!(told.took_s, 4.0);
        assert_eq!(recovery.saw(2.0, &[], 3.0), None);
        let over = recovery.saw(2.0, &[], 3.0).unwrap();
        assert_eq!(over.took_s, 4.0);
        assert_eq!(over.causes, [(NoLeader, 1.0), (ThreadBehind, 2.0)].into());
        assert_eq!(recovery.told(), (None, Some(over)));
        assert_eq!(recovery.saw(9.0, &[], 3.0), None, "told once");
        recovery.saw(1.0, &[NoLeader], 3.0);
        assert_eq!(recovery.told().0.unwrap().took_s, 1.0);
    }
}
