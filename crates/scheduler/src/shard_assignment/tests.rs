use super::*;

const ZONES: [&str; 3] = ["east", "west", "north"];

fn candidate(zone: usize) -> OwnerCandidate<'static> {
    OwnerCandidate {
        name: "controller",
        zone: ZONES[zone],
        eligible_for_moves: true,
        extra_load: 0,
        trusted: true,
        slow: false,
        has_headroom: true,
    }
}

fn shard(zone: usize, machines: usize, owner: Option<usize>) -> ShardStatus<'static> {
    ShardStatus {
        zone: ZONES[zone],
        machines,
        owner,
        has_unreachable: false,
        owner_cut_off: false,
        reachable_from: Vec::new(),
    }
}

/// The planned moves, as pairs of the index of a shard and that of its new owner.
fn planned_moves(
    candidates: &[OwnerCandidate],
    shards: &[ShardStatus],
    rebalance: bool,
) -> Vec<(usize, usize)> {
    let moves = plan_shard_moves(candidates, shards, rebalance);
    moves.iter().map(|moved| (moved.shard, moved.to)).collect()
}

/// Plans and applies moves until none is planned; returns the number of rounds with moves.
fn apply_until_stable(candidates: &[OwnerCandidate], shards: &mut [ShardStatus]) -> usize {
    for rounds in 0..100 {
        let moves = plan_shard_moves(candidates, shards, true);
        if moves.is_empty() {
            return rounds;
        }
        for moved in moves {
            shards[moved.shard].owner = Some(moved.to);
        }
    }
    panic!("moves are still planned after 100 rounds: {shards:?}");
}

/// The load of each candidate, in machines.
fn loads(candidates: &[OwnerCandidate], shards: &[ShardStatus]) -> Vec<usize> {
    let load = |index: usize| {
        let owned = shards.iter().filter(|shard| shard.owner == Some(index));
        let machines: usize = owned.map(|shard| shard.machines).sum();
        machines + candidates[index].extra_load
    };
    (0..candidates.len()).map(load).collect()
}

/// Guards against assigning all shards of a zone to the first controller there: of seven
/// controllers two then owned almost no machines.
#[test]
fn seven_controllers_in_three_zones_share_the_load() {
    let mut candidates: Vec<_> = (0..7).map(|n| candidate(n % 3)).collect();
    candidates[4].extra_load = 200;
    let zones = [596, 1312, 2267];
    let mut shards = Vec::new();
    for (zone, machines) in zones.into_iter().enumerate() {
        let sizes = (0..machines).step_by(110).map(|at| 110.min(machines - at));
        shards.extend(sizes.map(|size| shard(zone, size, None)));
    }
    apply_until_stable(&candidates, &mut shards);
    let loads = loads(&candidates, &shards);
    let mean = loads.iter().sum::<usize>() / 7;
    let balanced = loads
        .iter()
        .all(|load| *load < mean * 3 / 2 && *load > mean * 2 / 3);
    assert!(balanced, "{loads:?}, mean {mean}");
}

#[test]
fn shards_of_a_small_cluster_stay_in_their_zones() {
    let candidates: Vec<_> = (0..3).map(candidate).collect();
    let mut shards: Vec<_> = [5, 30, 8]
        .into_iter()
        .enumerate()
        .map(|(zone, machines)| shard(zone, machines, None))
        .collect();
    assert_eq!(apply_until_stable(&candidates, &mut shards), 1);
    let all_in_own_zone = shards
        .iter()
        .all(|shard| candidates[shard.owner.unwrap()].zone == shard.zone);
    assert!(all_in_own_zone, "{shards:?}");
}

#[test]
fn shard_returns_to_its_zone_once_the_controller_is_eligible_unless_unreachable() {
    let mut candidates: Vec<_> = (0..3).map(candidate).collect();
    let mut shards = vec![
        shard(0, 100, Some(1)),
        shard(1, 100, Some(1)),
        shard(2, 100, Some(2)),
    ];
    candidates[0].eligible_for_moves = false;
    assert!(planned_moves(&candidates, &shards, true).is_empty());
    candidates[0].eligible_for_moves = true;
    (shards[0].has_unreachable, shards[1].has_unreachable) = (true, true);
    assert!(planned_moves(&candidates, &shards, true).is_empty());
    (shards[0].has_unreachable, shards[1].has_unreachable) = (false, false);
    assert!(
        planned_moves(&candidates, &shards, false).is_empty(),
        "no shard with a working owner is moved without `rebalance`"
    );
    assert_eq!(planned_moves(&candidates, &shards, true), [(0, 0)]);
    // A shard whose owner is cut off is assigned to the least loaded candidate of any zone,
    // even if that is not eligible for moves.
    shards[2].owner_cut_off = true;
    candidates[0].eligible_for_moves = false;
    assert_eq!(planned_moves(&candidates, &shards, true), [(2, 0)]);
}

/// Guards against two faults: a controller eight times slower than the others kept its shards,
/// and controllers that had just recovered received shards that had just been moved.
#[test]
fn slow_controller_loses_its_shards_and_untrusted_one_gets_none() {
    let mut candidates: Vec<_> = (0..3).map(candidate).collect();
    (candidates[1].trusted, candidates[1].slow) = (false, true);
    let mut shards = vec![
        shard(0, 100, Some(0)),
        shard(1, 60, Some(1)),
        shard(1, 50, Some(1)),
        shard(2, 100, None),
    ];
    shards[1].has_unreachable = true;
    // The candidate in the zone of shard 3 is not trusted, and the only trusted one would be
    // overloaded, so the least loaded of all gets the shard.
    candidates[2].trusted = false;
    assert_eq!(planned_moves(&candidates, &shards, true), [(3, 2)]);
    shards[0].machines = 0;
    assert_eq!(planned_moves(&candidates, &shards, true), [(3, 0)]);
    (shards[0].machines, candidates[2].trusted) = (100, true);
    shards[3].owner = Some(2);
    assert_eq!(apply_until_stable(&candidates, &mut shards), 2);
    assert!(
        shards.iter().all(|shard| shard.owner != Some(1)),
        "{shards:?}"
    );
    // No shard is moved from a slow controller to one without headroom.
    shards[1].owner = Some(1);
    candidates
        .iter_mut()
        .for_each(|candidate| candidate.has_headroom = false);
    assert_eq!(planned_moves(&candidates, &shards, true), []);
    candidates
        .iter_mut()
        .for_each(|candidate| candidate.has_headroom = true);
    // A shard without an owner is assigned even if no candidate is trusted.
    candidates
        .iter_mut()
        .for_each(|candidate| candidate.trusted = false);
    shards[3].owner = None;
    assert_eq!(planned_moves(&candidates, &shards, true).len(), 1);
    // A shard whose owner is cut off is assigned to a controller known to reach its machines.
    candidates
        .iter_mut()
        .for_each(|candidate| (candidate.trusted, candidate.slow) = (true, false));
    shards[3] = shard(2, 100, Some(2));
    (shards[3].owner_cut_off, shards[3].reachable_from) = (true, vec![0]);
    assert_eq!(planned_moves(&candidates, &shards, true), [(3, 0)]);
}

/// If one zone has most of the machines, some of its shards are assigned to controllers in
/// other zones, and are not moved back and forth: the assignment is stable after few rounds.
#[test]
fn zone_with_more_than_its_share_has_shards_assigned_elsewhere() {
    let mut candidates: Vec<_> = (0..3).map(candidate).collect();
    candidates[2].extra_load = 280;
    let mut shards = vec![
        shard(0, 238, None),
        shard(1, 256, None),
        shard(1, 256, None),
        shard(1, 13, None),
        shard(2, 256, None),
        shard(2, 256, None),
        shard(2, 256, None),
        shard(2, 139, None),
    ];
    assert!(apply_until_stable(&candidates, &mut shards) < 6);
    let loads = loads(&candidates, &shards);
    assert!(loads.iter().all(|n| *n < 900), "{loads:?}");
}
