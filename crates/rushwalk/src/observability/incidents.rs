//! How long troubles last: since when this controller has not served as usual, what
//! of it is to blame, and how long the last trouble took to be over.

use serde::Serialize;
use std::collections::BTreeMap;

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
