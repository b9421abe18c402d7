//! Who takes over, and when a controller should lay down its work by itself.

/// A controller that could lead, as an observer sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct LeaderCandidate<'a> {
    pub name: &'a str,
    /// Neither suspect nor judged, and heard of lately.
    pub trusted: bool,
    /// The pause after its latest departure is over.
    pub eligible: bool,
    /// How late its timers are in the mean of a round, in seconds.
    pub mean_lag_s: f64,
    /// The share of time in which its thread is busy.
    pub busy_share: f64,
    /// How old its last read of the state service is, in seconds.
    pub staleness_s: f64,
}

/// Spans by which candidates are compared, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct DetectorTiming {
    /// Between two greetings: less is no difference.
    pub heartbeat_s: f64,
    /// A planning round.
    pub round_s: f64,
}

impl DetectorTiming {
    /// Timers that are late by as much in the mean show a controller that is too slow.
    pub fn slow_threshold_s(&self) -> f64 {
        self.round_s / 8.0
    }

    /// Whether timers that are so late in the mean are well in time: a few milliseconds
    /// are usual.
    pub fn is_on_time(&self, late_s: f64) -> bool {
        late_s < self.slow_threshold_s() / 4.0
    }

    /// Whether a controller has room for another's work: well in time, and two thirds of
    /// its time free. What is late and busy because of the load would be so anywhere.
    pub fn has_headroom(&self, late_s: f64, busy: f64) -> bool {
        self.is_on_time(late_s) && busy < 1.0 / 3.0
    }
}

/// What puts one before another: fit, in reach of the state service, in time; then by
/// name, so that all who see alike have the same order.
fn rank<'a>(c: &LeaderCandidate<'a>, spans: DetectorTiming) -> (bool, bool, u64, &'a str) {
    let late = (c.mean_lag_s / spans.heartbeat_s).floor().max(0.0) as u64;
    (
        !c.eligible,
        c.staleness_s > 2.0 * spans.round_s,
        late,
        c.name,
    )
}

/// How many trusted candidates come before `me`. Nothing relies on all having the same
/// order: the state service lets one of them win.
pub fn place(me: &LeaderCandidate, others: &[LeaderCandidate], spans: DetectorTiming) -> usize {
    let mine = rank(me, spans);
    let before = |c: &&LeaderCandidate| c.trusted && rank(c, spans) < mine;
    others.iter().filter(before).count()
}

/// Whether this controller has been too slow for its work for long enough, and whom
/// it should leave it to.
#[derive(Debug, Clone, Default)]
pub struct SlownessTracker {
    slow_since: Option<f64>,
}

impl SlownessTracker {
    /// A look at how late the own timers are in the mean. Slow is what is late for
    /// `rounds` rounds: a single long turn is not.
    pub fn observe(&mut self, now_s: f64, late_s: f64, spans: DetectorTiming, rounds: f64) -> bool {
        if late_s < spans.slow_threshold_s() {
            self.slow_since = None;
            return false;
        }
        let since = *self.slow_since.get_or_insert(now_s);
        now_s - since >= rounds * spans.round_s
    }
}

/// Who would do better than one that is late: trusted, fit, in reach of the state
/// service, and with room for it. If all are equally slow there is nobody, and nobody
/// steps down in circles.
pub fn better<'a>(others: &[LeaderCandidate<'a>], spans: DetectorTiming) -> Option<&'a str> {
    let able = |c: &&LeaderCandidate| {
        let reaches = c.staleness_s <= 2.0 * spans.round_s;
        c.trusted && c.eligible && reaches && spans.has_headroom(c.mean_lag_s, c.busy_share)
    };
    let able = others.iter().filter(able);
    let best = able.min_by(|a, b| rank(a, spans).cmp(&rank(b, spans)));
    best.map(|c| c.name)
}

#[cfg(test)]
mod tests {
    use super::*;

    const SPANS: DetectorTiming = DetectorTiming {
        heartbeat_s: 0.3,
        round_s: 0.9,
    };

    fn candidate(name: &str) -> LeaderCandidate<'_> {
        LeaderCandidate {
            name,
            trusted: true,
            eligible: true,
            mean_lag_s: 0.0,
            busy_share: 0.1,
            staleness_s: 0.1,
        }
    }

    #[test]
    fn all_who_see_alike_stand_in_one_line() {
        let mut all: Vec<_> = ["a", "b", "c", "d"].map(candidate).into();
        all[0].eligible = false;
        all[1].mean_lag_s = 1.0;
        all[2].staleness_s = 9.0;
        let places = all.iter().map(|me| {
            let others: Vec<_> = all.iter().filter(|c| *c != me).cloned().collect();
            place(me, &others, SPANS)
        });
        assert_eq!(places.collect::<Vec<_>>(), [3, 1, 2, 0]);
    }

    #[test]
    fn who_is_slow_for_long_leaves_to_one_that_is_plainly_better() {
        let mut pace = SlownessTracker::default();
        assert!(!pace.observe(0.0, 0.4, SPANS, 1.0), "one long turn");
        assert!(!pace.observe(0.5, 0.1, SPANS, 1.0));
        assert!(!pace.observe(0.6, 0.8, SPANS, 1.0));
        assert!(pace.observe(1.6, 0.7, SPANS, 1.0));
        let mut others: Vec<_> = ["b", "c"].map(candidate).into();
        assert_eq!(better(&others, SPANS), Some("b"));
        others[0].trusted = false;
        assert_eq!(better(&others, SPANS), Some("c"));
        // After an end of all everybody is late: nobody steps down.
        others.iter_mut().for_each(|c| c.mean_lag_s = 0.1);
        assert_eq!(better(&others, SPANS), None);
        // Nor under a load that takes half of everybody's time.
        others
            .iter_mut()
            .for_each(|c| (c.mean_lag_s, c.busy_share) = (0.0, 0.5));
        assert_eq!(better(&others, SPANS), None);
    }
}
