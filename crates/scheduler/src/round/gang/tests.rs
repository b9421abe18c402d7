use super::*;
use crate::Resources;
use crate::round::tests::{machine_types, pending_job};
use crate::timeline::MachineTimeline;
use crate::timeline_index::TimelineIndex;
use rushwalk_protocol::cloud::MachineType;
use rushwalk_protocol::jobs::Shape;
use rushwalk_protocol::settings::Team;
use std::sync::Arc;

/// The time at which the round is planned, in seconds.
const NOW_S: f64 = 100.0;

/// A team that may use four GPUs, what the gangs of these tests need.
fn team_with_four_gpus() -> [Team; 1] {
    [Team {
        name: "red".into(),
        cpus: 0.0,
        cpus_max: 0.0,
        gpus: 0.0,
        gpus_max: 4.0,
    }]
}

/// A round with these machines, without tasks, and nothing to rent.
fn round_with<'a>(teams: &'a [Team], machines: &[MachineType]) -> SchedulingRound<'a> {
    let mut round = SchedulingRound {
        planned_time_s: NOW_S,
        current_time_s: NOW_S,
        zones: vec!["east".into()],
        machines: TimelineIndex::new(NOW_S, machines.len()),
        rentable: Vec::new(),
        teams,
        usage: Default::default(),
        tie_s: 1.0,
        first_planned_rental: machines.len(),
        evaluations: Default::default(),
    };
    for (index, machine_type) in machines.iter().enumerate() {
        let name = format!("m-{index}");
        let mut machine =
            MachineTimeline::new(name.as_str().into(), 0, machine_type, 0, false, NOW_S);
        machine.up = true;
        round.machines.push(machine);
    }
    round
}

/// Reserves some GPUs of a machine from now on.
fn occupy(round: &mut SchedulingRound, machine: usize, gpus: f64, for_s: f64) {
    let amount = Resources {
        cpus: gpus,
        gpus,
        memory_gb: gpus,
    };
    let mut occupied = round.machines[machine].clone();
    occupied.reserve(amount, NOW_S, NOW_S + for_s);
    round.machines.restore(machine, occupied);
}

/// A gang of two tasks that need two GPUs each.
fn gang_of_two(number: u32) -> PendingJob {
    let mut gang = pending_job(number, 2.0, 60.0, false);
    let mut spec = (*gang.spec).clone();
    (spec.shape, spec.tasks) = (Shape::Gang, 2);
    (gang.spec, gang.tasks) = (Arc::new(spec), vec![0, 1]);
    gang
}

/// An array of two tasks that need one GPU each.
fn array_of_two(number: u32) -> PendingJob {
    let mut array = pending_job(number, 1.0, 60.0, false);
    array.tasks = vec![0, 1];
    array
}

/// A gang that found no machines was counted against its team's limit in every round, so that no
/// other job of the team started for as long as the gang waited.
#[test]
fn a_gang_without_machines_leaves_the_limit_of_its_team_to_others() {
    let teams = team_with_four_gpus();
    let small = machine_types().swap_remove(0);
    let expected = [
        (false, PendingReason::NoCapacity),
        (true, PendingReason::FailsEverywhere),
    ];
    for (single_probe, reason) in expected {
        let mut round = round_with(&teams, std::slice::from_ref(&small));
        let mut gang = gang_of_two(1);
        gang.single_probe = single_probe;
        let array = array_of_two(2);
        let decisions = round.schedule(&[gang.clone(), array.clone()]);
        assert_eq!(decisions.pending_reasons.get(&gang.spec.id), Some(&reason));
        let placed = decisions.placements.iter();
        let placed = placed.filter(|placement| placement.job == array.spec.id);
        assert_eq!(placed.count(), 2, "{reason:?}");
    }
}

/// A gang that starts, or waits for machines that it will get, does count against the limit.
#[test]
fn a_planned_gang_counts_against_the_limit_of_its_team() {
    let teams = team_with_four_gpus();
    let small = machine_types().swap_remove(0);
    for busy_s in [0.0, 20.0] {
        let mut round = round_with(&teams, &vec![small.clone(); 3]);
        occupy(&mut round, 1, 2.0, busy_s);
        occupy(&mut round, 2, 1.0, 1_000.0);
        let array = array_of_two(2);
        let decisions = round.schedule(&[gang_of_two(1), array.clone()]);
        let reason = decisions.pending_reasons.get(&array.spec.id);
        assert_eq!(reason, Some(&PendingReason::TeamLimitReached), "{busy_s}");
    }
}

/// A gang that waited for a machine on which a task ran for much longer held up all other jobs of
/// its team for that time.
#[test]
fn a_gang_that_starts_much_later_leaves_the_limit_of_its_team_to_others() {
    let teams = team_with_four_gpus();
    let small = machine_types().swap_remove(0);
    let mut round = round_with(&teams, &vec![small; 3]);
    occupy(&mut round, 1, 2.0, 3_600.0);
    occupy(&mut round, 2, 1.0, 7_200.0);
    let (gang, mut array) = (gang_of_two(1), array_of_two(2));
    array.tasks = vec![0];
    let decisions = round.schedule(&[gang.clone(), array.clone()]);
    assert_eq!(
        decisions.pending_reasons.get(&gang.spec.id),
        Some(&PendingReason::GangNotReady)
    );
    assert_eq!(decisions.pending_reasons.get(&array.spec.id), None);
}
