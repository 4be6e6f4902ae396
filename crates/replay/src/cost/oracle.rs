//! What hindsight would have paid.

use super::{Ratings, Tally, ladder_at, run};
use crate::trace::{Request, TIERS, Trace};

/// Every ladder of the three tiers.
const LADDERS: [&[usize]; 7] = [&[0], &[1], &[2], &[0, 1], &[0, 2], &[1, 2], &[0, 1, 2]];

/// Least cost of any fixed mix of ladders per class that meets the target,
/// under the same ratings and the same ban on repeats.
///
/// Requests with and without a cascade are mixed apart; the target holds for
/// both together.
pub fn best_mix(trace: &Trace, ratings: Ratings) -> Vec<Tally> {
    let cells = trace.cells.iter().enumerate();
    cells.map(|(index, cell)| cheapest(&groups(trace, ratings, index), cell.target)).collect()
}

/// The same where the target must hold for each of the two alone.
///
/// [`best_mix`] lets an hour without ratings fall below the target and makes
/// up for it before and after; who lives through the hour cannot know how
/// long it will last.
pub fn best_mix_throughout(trace: &Trace, ratings: Ratings) -> Vec<Tally> {
    let mut tallies = Vec::new();
    for (index, cell) in trace.cells.iter().enumerate() {
        let mut tally = Tally::default();
        for group in groups(trace, ratings, index) {
            tally.add(&cheapest(&[group], cell.target));
        }
        tallies.push(tally);
    }
    tallies
}

/// A cell's hulls: of requests that may cascade, and of the others.
fn groups(trace: &Trace, ratings: Ratings, cell: usize) -> [Vec<Tally>; 2] {
    let requests = trace.requests.iter().filter(|request| request.cell == cell);
    let (with, without): (Vec<&Request>, Vec<_>) =
        requests.partition(|request| ladder_at(trace, ratings, request, LADDERS[6]).len() > 1);
    [points(trace, &with, &LADDERS), points(trace, &without, &LADDERS[..TIERS])]
}

/// Least cost of who knows every rating beforehand.
pub fn clairvoyant(trace: &Trace) -> Vec<Tally> {
    let mut tallies = Vec::new();
    for (index, cell) in trace.cells.iter().enumerate() {
        let mut tally = Tally::default();
        let mut extra = Vec::new();
        for request in trace.requests.iter().filter(|request| request.cell == index) {
            let least = run(trace, request, &[0]);
            tally.requests += 1;
            tally.cost += least.cost;
            tally.millis += least.millis;
            tally.slow += least.slow;
            let passing = (0..TIERS).find(|tier| trace.passes(request, *tier));
            extra.extend(passing.map(|tier| trace.cost(request, tier) - least.cost));
        }
        extra.sort_by(f64::total_cmp);
        let needed = (cell.target * f64::from(tally.requests)).ceil();
        for more in extra {
            if tally.passes < needed {
                tally.passes += 1.0;
                tally.cost += more;
            }
        }
        tallies.push(tally);
    }
    tallies
}

fn points(trace: &Trace, requests: &[&Request], ladders: &[&[usize]]) -> Vec<Tally> {
    let sum = |ladder: &&[usize]| {
        let mut tally = Tally::default();
        for request in requests {
            tally.add(&run(trace, request, ladder));
        }
        tally
    };
    hull(&ladders.iter().map(sum).collect::<Vec<_>>())
}

/// The points on the lower convex hull of cost over passes, cheapest first.
fn hull(points: &[Tally]) -> Vec<Tally> {
    let mut hull = Vec::new();
    let mut current =
        points.iter().copied().min_by(|a, b| a.cost.total_cmp(&b.cost).then(b.passes.total_cmp(&a.passes)));
    while let Some(at) = current {
        hull.push(at);
        let slope = |next: &Tally| (next.cost - at.cost) / (next.passes - at.passes);
        let better = points.iter().copied().filter(|next| next.passes > at.passes);
        current = better.min_by(|a, b| slope(a).total_cmp(&slope(b)));
    }
    hull
}

/// Buys passes from both groups, the cheapest first, until the target is met.
fn cheapest(groups: &[Vec<Tally>], target: f64) -> Tally {
    let mut total = Tally::default();
    groups.iter().filter_map(|hull| hull.first()).for_each(|first| total.add(first));
    let mut moves: Vec<(Tally, Tally)> = groups.iter().flat_map(|hull| hull.windows(2).map(|w| (w[0], w[1]))).collect();
    let slope = |(from, to): &(Tally, Tally)| (to.cost - from.cost) / (to.passes - from.passes);
    moves.sort_by(|a, b| slope(a).total_cmp(&slope(b)));
    let needed = target * f64::from(total.requests);
    for (from, to) in moves {
        let share = ((needed - total.passes) / (to.passes - from.passes)).clamp(0.0, 1.0);
        total.passes += share * (to.passes - from.passes);
        total.cost += share * (to.cost - from.cost);
        total.millis += share * (to.millis - from.millis);
        total.slow += share * (to.slow - from.slow);
    }
    total
}
