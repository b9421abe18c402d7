//! Who takes over, and when a controller should lay down its work by itself.

/// A controller that could lead, as an observer sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate<'a> {
    pub name: &'a str,
    /// Neither suspect nor judged, and heard of lately.
    pub trusted: bool,
    /// The pause after its latest departure is over.
    pub fit: bool,
    /// How late its timers are in the mean of a round, in seconds.
    pub late_s: f64,
    /// The share of time in which its thread is busy.
    pub busy: f64,
    /// How old its last read of the state service is, in seconds.
    pub state_age_s: f64,
}

/// Spans by which candidates are compared, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct Spans {
    /// Between two greetings: less is no difference.
    pub every_s: f64,
    /// A planning round.
    pub round_s: f64,
}

impl Spans {
    /// Timers that are late by as much in the mean show a controller that is too slow.
    pub fn late_s(&self) -> f64 {
        self.round_s / 8.0
    }

    /// Whether timers that are so late in the mean are well in time: a few milliseconds
    /// are usual.
    pub fn calm(&self, late_s: f64) -> bool {
        late_s < self.late_s() / 4.0
    }

    /// Whether a controller has room for another's work: well in time, and two thirds of
    /// its time free. What is late and busy because of the load would be so anywhere.
    pub fn room(&self, late_s: f64, busy: f64) -> bool {
        self.calm(late_s) && busy < 1.0 / 3.0
    }
}

/// What puts one before another: fit, in reach of the state service, in time; then by
/// name, so that all who see alike have the same order.
fn rank<'a>(c: &Candidate<'a>, spans: Spans) -> (bool, bool, u64, &'a str) {
    let late = (c.late_s / spans.every_s).floor().max(0.0) as u64;
    (!c.fit, c.state_age_s > 2.0 * spans.round_s, late, c.name)
}

/// How many trusted candidates come before `me`. Nothing relies on all having the same
/// order: the state service lets one of them win.
pub fn place(me: &Candidate, others: &[Candidate], spans: Spans) -> usize {
    let mine = rank(me, spans);
    let before = |c: &&Candidate| c.trusted && rank(c, spans) < mine;
    others.iter().filter(before).count()
}

/// Whether this controller has been too slow for its work for long enough, and whom
/// it should leave it to.
#[derive(Debug, Clone, Default)]
pub struct Pace {
    slow_since: Option<f64>,
}

impl Pace {
    /// A look at how late the own timers are in the mean. Slow is what is late for
    /// `rounds` rounds: a single long turn is not.
    pub fn slow(&mut self, now_s: f64, late_s: f64, spans: Spans, rounds: f64) -> bool {
        if late_s < spans.late_s() {
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
pub fn better<'a>(others: &[Candidate<'a>], spans: Spans) -> Option<&'a str> {
    let able = |c: &&Candidate| {
        let reaches = c.state_age_s <= 2.0 * spans.round_s;
        c.trusted && c.fit && reaches && spans.room(c.late_s, c.busy)
    };
    let able = others.iter().filter(able);
    let best = able.min_by(|a, b| rank(a, spans).cmp(&rank(b, spans)));
    best.map(|c| c.name)
}

#[cfg(test)]
mod tests {
    use super::*;

    const SPANS: Spans = Spans {
        every_s: 0.3,
        round_s: 0.9,
    };

    fn candidate(name: &str) -> Candidate<'_> {
        Candidate {
            name,
            trusted: true,
            fit: true,
            late_s: 0.0,
            busy: 0.1,
            state_age_s: 0.1,
        }
    }

    #[test]
    fn all_who_see_alike_stand_in_one_line() {
        let mut all: Vec<_> = ["a", "b", "c", "d"].map(candidate).into();
        all[0].fit = false;
        all[1].late_s = 1.0;
        all[2].state_age_s = 9.0;
        let places = all.iter().map(|me| {
            let others: Vec<_> = all.iter().filter(|c| *c != me).cloned().collect();
            place(me, &others, SPANS)
        });
        assert_eq!(places.collect::<Vec<_>>(), [3, 1, 2, 0]);
    }

    #[test]
    fn who_is_slow_for_long_leaves_to_one_that_is_plainly_better() {
        let mut pace = Pace::default();
        assert!(!pace.slow(0.0, 0.4, SPANS, 1.0), "one long turn");
        assert!(!pace.slow(0.5, 0.1, SPANS, 1.0));
        assert!(!pace.slow(0.6, 0.8, SPANS, 1.0));
        assert!(pace.slow(1.6, 0.7, SPANS, 1.0));
        let mut others: Vec<_> = ["b", "c"].map(candidate).into();
        assert_eq!(better(&others, SPANS), Some("b"));
        others[0].trusted = false;
        assert_eq!(better(&others, SPANS), Some("c"));
        // After an end of all everybody is late: nobody steps down.
        others.iter_mut().for_each(|c| c.late_s = 0.1);
        assert_eq!(better(&others, SPANS), None);
        // Nor under a load that takes half of everybody's time.
        others
            .iter_mut()
            .for_each(|c| (c.late_s, c.busy) = (0.0, 0.5));
        assert_eq!(better(&others, SPANS), None);
    }
}
