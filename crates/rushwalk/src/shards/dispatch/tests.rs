use super::*;

#[test]
fn lagging_event_loop_limits_only_probes_of_workers_without_any_contact() {
    let probe = |is_lagging: bool, never_contacted: usize, silent: usize| {
        let mut budget = ProbeBudget::new(100, is_lagging);
        let never_contacted = (0..never_contacted)
            .filter(|_| budget.try_take(true))
            .count();
        let silent = (0..silent).filter(|_| budget.try_take(false)).count();
        (never_contacted, silent)
    };
    assert_eq!(probe(false, 300, 50), (100, 0));
    assert_eq!(probe(true, 300, 50), (8, 50));
    assert_eq!(probe(true, 300, 300), (8, 92));
}
