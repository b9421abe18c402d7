//! Which controller each block of machines is lent to.
//!
//! A block is best held in its own zone: behind a cut its holder still reaches it.
//! But a controller has room for so many workers, so a zone with more machines than
//! its share lends some of its blocks to controllers elsewhere, and several
//! controllers of a zone share its blocks.

/// A controller that lives.
#[derive(Debug, Clone)]
pub struct OwnerCandidate<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    /// It has been here for a while: one that has just come back may go again.
    pub eligible_for_moves: bool,
    /// What it does beside holding blocks, in machines held.
    pub extra_load: usize,
    /// Neither suspect nor too slow: who is not gets nothing new while others are.
    pub trusted: bool,
    /// Too slow for what it has: it leaves its blocks, one at a time, to others who have
    /// room.
    pub slow: bool,
    pub has_headroom: bool,
}

#[derive(Debug, Clone)]
pub struct ShardStatus<'a> {
    pub zone: &'a str,
    pub machines: usize,
    /// Its holder, by its place among the members; none if that is gone.
    pub owner: Option<usize>,
    /// Some of its machines are silent: a new holder would have to wait anew for
    /// their leases to run out, so only need moves it.
    pub has_unreachable: bool,
    /// Its holder hears nothing of most of its machines, for the first time while
    /// their leases last: another may reach them.
    pub owner_cut_off: bool,
    /// Members at whom its machines turned up, by their places.
    pub reachable_from: Vec<usize>,
}

/// A block goes to its own zone if that leaves a controller at most so many times
/// the mean, and leaves one that is above `OVER` times the mean.
const HOME: f64 = 1.25;
const OVER: f64 = 1.5;

/// Blocks to lend, by their places, and to whom: those that nobody holds or whose
/// holder is cut off from them, and if `more` one that is better off elsewhere.
pub fn lend(members: &[OwnerCandidate], blocks: &[ShardStatus], more: bool) -> Vec<(usize, usize)> {
    if members.is_empty() {
        return Vec::new();
    }
    let mut load: Vec<usize> = members.iter().map(|m| m.extra_load).collect();
    for block in blocks {
        if let Some(holder) = block.owner {
            load[holder] += block.machines;
        }
    }
    let all: usize = blocks.iter().map(|b| b.machines).sum();
    let extra: usize = members.iter().map(|m| m.extra_load).sum();
    let mean = (all + extra) as f64 / members.len() as f64;
    let mut out = Vec::new();
    let any_able = members.iter().any(|m| m.trusted);
    let able = |m: usize| members[m].trusted || !any_able;
    // Large ones first: small ones fill the gaps.
    let mut order: Vec<usize> = (0..blocks.len()).collect();
    order.sort_by_key(|i| (std::cmp::Reverse(blocks[*i].machines), *i));
    for &i in &order {
        let block = &blocks[i];
        let to = match block.owner {
            // Those who are known to reach it first.
            Some(holder) if block.owner_cut_off => {
                let reaches =
                    |m: usize| m != holder && able(m) && block.reachable_from.contains(&m);
                least(&load, reaches).or_else(|| least(&load, |m| m != holder && able(m)))
            }
            Some(_) => continue,
            None => {
                let at_home = |m: usize| members[m].zone == block.zone;
                let room = |m: usize| (load[m] + block.machines) as f64 <= HOME * mean;
                // A small site has one block a zone: larger than a share, and
                // still best at home.
                let home = |m: usize| able(m) && at_home(m) && (room(m) || load[m] == 0);
                // Not all to the last one without doubt: under an overload of all, who is
                // slow to answer was left with nothing, and who was not with too much.
                let fits = |m: usize| (load[m] + block.machines) as f64 <= OVER * mean;
                least(&load, home)
                    .or_else(|| least(&load, |m| able(m) && fits(m)))
                    .or_else(|| least(&load, |_| true))
            }
        };
        let Some(to) = to else { continue };
        if let Some(holder) = block.owner {
            load[holder] -= block.machines;
        }
        load[to] += block.machines;
        out.push((i, to));
    }
    if out.is_empty() && more {
        out.extend(better(members, blocks, &order, &load, mean));
    }
    out
}

fn least(load: &[usize], of: impl Fn(usize) -> bool) -> Option<usize> {
    let all = (0..load.len()).filter(|m| of(*m));
    all.min_by_key(|m| load[*m])
}

/// One block that is better off elsewhere: away from a controller with too much,
/// or back to its own zone where there is room.
fn better(
    members: &[OwnerCandidate],
    blocks: &[ShardStatus],
    order: &[usize],
    load: &[usize],
    mean: f64,
) -> Option<(usize, usize)> {
    let settled = |m: usize| members[m].eligible_for_moves && members[m].trusted;
    // Away from one that is too slow, to whoever has least, whatever is silent: what it
    // can't answer seems silent to it.
    let slow = order.iter().find_map(|&i| {
        let from = blocks[i].owner.filter(|m| members[*m].slow)?;
        let to = least(load, |m| m != from && settled(m) && members[m].has_headroom)?;
        (blocks[i].machines > 0).then_some((i, to))
    });
    if slow.is_some() {
        return slow;
    }
    let mut best: Option<(usize, usize, usize)> = None;
    for &i in order {
        let block = &blocks[i];
        let (Some(from), false) = (block.owner, block.has_unreachable || block.machines == 0)
        else {
            continue;
        };
        if load[from] as f64 <= OVER * mean {
            continue;
        }
        let Some(to) = least(load, |m| m != from && settled(m)) else {
            continue;
        };
        // It must end well below where it began, or it would be moved back.
        let after = load[to] + block.machines;
        if after + block.machines / 2 >= load[from] {
            continue;
        }
        // Of the most loaded controller; first what is not at home there.
        let rank = load[from] * 2 + usize::from(members[from].zone != block.zone);
        if best.is_none_or(|(r, ..)| rank > r) {
            best = Some((rank, i, to));
        }
    }
    if let Some((_, i, to)) = best {
        return Some((i, to));
    }
    order.iter().find_map(|&i| {
        let block = &blocks[i];
        let from = block.owner?;
        if members[from].zone == block.zone || block.has_unreachable {
            return None;
        }
        let at_home = |m: usize| members[m].zone == block.zone && settled(m);
        let to = least(load, at_home)?;
        let after = (load[to] + block.machines) as f64;
        (after <= HOME * mean || load[to] <= members[to].extra_load).then_some((i, to))
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    const ZONES: [&str; 3] = ["east", "west", "north"];

    fn member(name: &'static str, zone: usize) -> OwnerCandidate<'static> {
        OwnerCandidate {
            name,
            zone: ZONES[zone],
            eligible_for_moves: true,
            extra_load: 0,
            trusted: true,
            slow: false,
            has_headroom: true,
        }
    }

    fn block(zone: usize, machines: usize, holder: Option<usize>) -> ShardStatus<'static> {
        ShardStatus {
            zone: ZONES[zone],
            machines,
            owner: holder,
            has_unreachable: false,
            owner_cut_off: false,
            reachable_from: Vec::new(),
        }
    }

    /// Lends until nothing changes; how many moves that took after the first.
    fn settle(members: &[OwnerCandidate], blocks: &mut [ShardStatus]) -> usize {
        for moves in 0..100 {
            let lent = lend(members, blocks, true);
            if lent.is_empty() {
                return moves;
            }
            for (i, to) in lent {
                blocks[i].owner = Some(to);
            }
        }
        panic!("it never settles: {blocks:?}");
    }

    fn loads(members: &[OwnerCandidate], blocks: &[ShardStatus]) -> Vec<usize> {
        let of = |m: usize| blocks.iter().filter(move |b| b.owner == Some(m));
        let sum = |m: usize| of(m).map(|b| b.machines).sum::<usize>() + members[m].extra_load;
        (0..members.len()).map(sum).collect()
    }

    /// With seven controllers two held no block to speak of, because each zone's
    /// went to the first controller there.
    #[test]
    fn seven_controllers_in_three_zones_share_the_load() {
        let mut members: Vec<_> = (0..7).map(|n| member("m", n % 3)).collect();
        members[4].extra_load = 200;
        let zones = [596, 1312, 2267];
        let mut blocks = Vec::new();
        for (zone, all) in zones.into_iter().enumerate() {
            let parts = (0..all).step_by(110).map(|at| 110.min(all - at));
            blocks.extend(parts.map(|n| block(zone, n, None)));
        }
        settle(&members, &mut blocks);
        let loads = loads(&members, &blocks);
        let mean = loads.iter().sum::<usize>() / 7;
        let within = loads.iter().all(|n| *n < mean * 3 / 2 && *n > mean * 2 / 3);
        assert!(within, "{loads:?}, mean {mean}");
    }

    #[test]
    fn a_small_sites_blocks_are_at_home_and_stay_there() {
        let members: Vec<_> = (0..3).map(|n| member("m", n)).collect();
        let mut blocks: Vec<_> = [5, 30, 8]
            .into_iter()
            .enumerate()
            .collect::<Vec<_>>()
            .into_iter()
            .map(|(zone, n)| block(zone, n, None))
            .collect();
        assert_eq!(settle(&members, &mut blocks), 1);
        let home = blocks
            .iter()
            .all(|b| members[b.owner.unwrap()].zone == b.zone);
        assert!(home, "{blocks:?}");
    }

    #[test]
    fn who_comes_back_gets_its_zone_when_it_has_settled_and_no_block_that_is_quiet() {
        let mut members: Vec<_> = (0..3).map(|n| member("m", n)).collect();
        let mut blocks = vec![
            block(0, 100, Some(1)),
            block(1, 100, Some(1)),
            block(2, 100, Some(2)),
        ];
        members[0].eligible_for_moves = false;
        assert!(lend(&members, &blocks, true).is_empty());
        members[0].eligible_for_moves = true;
        (blocks[0].has_unreachable, blocks[1].has_unreachable) = (true, true);
        assert!(lend(&members, &blocks, true).is_empty());
        (blocks[0].has_unreachable, blocks[1].has_unreachable) = (false, false);
        assert!(lend(&members, &blocks, false).is_empty(), "not so soon");
        assert_eq!(lend(&members, &blocks, true), [(0, 0)]);
        // Need goes before order: to whoever has least, wherever it is.
        blocks[2].owner_cut_off = true;
        members[0].eligible_for_moves = false;
        assert_eq!(lend(&members, &blocks, true), [(2, 0)]);
    }

    /// A controller eight times slower than the others kept its blocks, and those who
    /// came back at once were given what had just been lent anew.
    #[test]
    fn who_is_slow_leaves_its_blocks_and_who_is_suspect_gets_none() {
        let mut members: Vec<_> = (0..3).map(|n| member("m", n)).collect();
        (members[1].trusted, members[1].slow) = (false, true);
        let mut blocks = vec![
            block(0, 100, Some(0)),
            block(1, 60, Some(1)),
            block(1, 50, Some(1)),
            block(2, 100, None),
        ];
        blocks[1].has_unreachable = true;
        // Who could have it at home is suspect; the other would have too much.
        members[2].trusted = false;
        assert_eq!(lend(&members, &blocks, true), [(3, 2)]);
        blocks[0].machines = 0;
        assert_eq!(lend(&members, &blocks, true), [(3, 0)]);
        (blocks[0].machines, members[2].trusted) = (100, true);
        blocks[3].owner = Some(2);
        assert_eq!(settle(&members, &mut blocks), 2);
        assert!(blocks.iter().all(|b| b.owner != Some(1)), "{blocks:?}");
        // Not to one that has no room.
        blocks[1].owner = Some(1);
        members.iter_mut().for_each(|m| m.has_headroom = false);
        assert_eq!(lend(&members, &blocks, true), []);
        members.iter_mut().for_each(|m| m.has_headroom = true);
        // If all are, somebody must.
        members.iter_mut().for_each(|m| m.trusted = false);
        blocks[3].owner = None;
        assert_eq!(lend(&members, &blocks, true).len(), 1);
        // A block that is cut off goes to one who is known to reach it.
        members
            .iter_mut()
            .for_each(|m| (m.trusted, m.slow) = (true, false));
        blocks[3] = block(2, 100, Some(2));
        (blocks[3].owner_cut_off, blocks[3].reachable_from) = (true, vec![0]);
        assert_eq!(lend(&members, &blocks, true), [(3, 0)]);
    }

    /// A zone with most of the machines lends some to controllers elsewhere, and
    /// what it lends does not come back at once.
    #[test]
    fn a_zone_with_more_than_its_share_lends_some_away() {
        let mut members: Vec<_> = (0..3).map(|n| member("m", n)).collect();
        members[2].extra_load = 280;
        let mut blocks = vec![
            block(0, 238, None),
            block(1, 256, None),
            block(1, 256, None),
            block(1, 13, None),
            block(2, 256, None),
            block(2, 256, None),
            block(2, 256, None),
            block(2, 139, None),
        ];
        assert!(settle(&members, &mut blocks) < 6);
        let loads = loads(&members, &blocks);
        assert!(loads.iter().all(|n| *n < 900), "{loads:?}");
    }
}
