//! Suspicion that accrues with silence, by the peer's own history.
//!
//! After Hayashibara, Défago, Yared and Katayama, "The φ Accrual Failure Detector"
//! (2004): φ is the negative decimal logarithm of the chance that a peer that lives
//! is silent for as long as this. A fixed time-out is either slow on a quiet network
//! or jumpy on a slow one; φ follows what the peer has done of late.

use statrs::function::erf::erfc;
use std::collections::VecDeque;

/// Gaps remembered. Greetings come a few times a second, so this is about the last
/// half minute.
const KEPT: usize = 100;

/// φ is told up to here: beyond, the normal distribution says nothing of networks.
const MOST: f64 = 100.0;

/// When a peer was heard of.
#[derive(Debug, Clone)]
pub struct HeartbeatHistory {
    gaps: VecDeque<f64>,
    last_s: Option<f64>,
    /// The gap expected of a peer of which little is known, in seconds.
    expected_s: f64,
}

impl HeartbeatHistory {
    pub fn new(expected_s: f64) -> HeartbeatHistory {
        HeartbeatHistory {
            gaps: VecDeque::with_capacity(KEPT),
            last_s: None,
            expected_s,
        }
    }

    /// Heard of at a time; one that is not after the last says nothing new.
    pub fn record(&mut self, now_s: f64) {
        if let Some(last) = self.last_s {
            if now_s <= last {
                return;
            }
            if self.gaps.len() == KEPT {
                self.gaps.pop_front();
            }
            // A long silence that ended belongs to the history, but not with all of
            // its length: one outage would hide the next for half a minute.
            self.gaps
                .push_back((now_s - last).min(8.0 * self.expected_s));
        }
        self.last_s = Some(now_s);
    }

    /// Forgets the history: another process.
    pub fn reset(&mut self) {
        self.gaps.clear();
        self.last_s = None;
    }

    pub fn last_s(&self) -> Option<f64> {
        self.last_s
    }

    /// Mean and deviation of the gaps. A few gaps say little, so the expected one
    /// counts as eight of them.
    fn shape(&self) -> (f64, f64) {
        let prior = 8.0;
        let n = prior + self.gaps.len() as f64;
        let sum: f64 = self.gaps.iter().sum();
        let mean = (prior * self.expected_s + sum) / n;
        let square = |gap: f64| (gap - mean) * (gap - mean);
        let spread =
            prior * square(self.expected_s) + self.gaps.iter().map(|g| square(*g)).sum::<f64>();
        // Never surer than by half a gap: packets are lost and sent anew.
        (mean, (spread / n).sqrt().max(self.expected_s / 2.0))
    }

    /// How unlikely it is that the peer lives and is silent since it was last heard.
    /// `late_s` is how late the observer itself is: an answer may be waiting in its
    /// own queue for as long (the local health of Lifeguard, Dadgar, Phillips and
    /// Currey, 2018), so a controller that is short of processor suspects nobody.
    pub fn phi(&self, now_s: f64, late_s: f64) -> f64 {
        let Some(last) = self.last_s else {
            return 0.0;
        };
        let (mean, deviation) = self.shape();
        let silent = now_s - last - late_s;
        let deviation = deviation + late_s;
        let tail = 0.5 * erfc((silent - mean) / (deviation * std::f64::consts::SQRT_2));
        (-tail.log10()).clamp(0.0, MOST)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn steady(gap: f64) -> HeartbeatHistory {
        let mut arrivals = HeartbeatHistory::new(gap);
        (0..50).for_each(|i| arrivals.record(f64::from(i) * gap));
        arrivals
    }

    #[test]
    fn silence_is_judged_by_the_peers_own_history() {
        let quick = steady(0.3);
        let last = quick.last_s().unwrap();
        assert!(quick.phi(last + 0.5, 0.0) < 2.0, "a lost greeting");
        assert!(quick.phi(last + 1.5, 0.0) > 8.0);
        // One that was always irregular is given more time.
        let mut jumpy = HeartbeatHistory::new(0.3);
        let mut at = 0.0;
        for i in 0..100 {
            at += if i % 5 == 0 { 1.6 } else { 0.3 };
            jumpy.record(at);
        }
        assert!(jumpy.phi(at + 1.5, 0.0) < 4.0);
    }

    #[test]
    fn who_is_late_itself_suspects_nobody() {
        let peer = steady(0.3);
        let last = peer.last_s().unwrap();
        assert!(peer.phi(last + 2.0, 2.0) < 1.0);
        assert_eq!(
            HeartbeatHistory::new(0.3).phi(100.0, 0.0),
            0.0,
            "never heard of"
        );
    }

    proptest! {
        /// Whatever came before: φ is a number, grows with silence, and shrinks with
        /// the observer's own lateness.
        #[test]
        fn phi_accrues(gaps in prop::collection::vec(0.001f64..20.0, 0..200), a in 0.0f64..30.0, b in 0.0f64..30.0, late in 0.0f64..5.0) {
            let mut arrivals = HeartbeatHistory::new(0.3);
            let mut at = 0.0;
            for gap in gaps {
                at += gap;
                arrivals.record(at);
            }
            let (short, long) = (a.min(b), a.max(b));
            let phi = |silent: f64, late: f64| arrivals.phi(at + silent, late);
            prop_assert!(phi(short, 0.0).is_finite());
            prop_assert!(phi(short, 0.0) <= phi(long, 0.0) + 1e-9);
            // Below one half of a chance there is no suspicion either way.
            prop_assert!(phi(long, late) <= phi(long, 0.0).max(0.31));
        }
    }
}
