//! Divides a service's capacity among teams, and a team's share among instances.
//!
//! Between teams the division is max-min fair: a team that asks for less than its share gets
//! all that it asks for, and the others divide the remainder equally. Within a team, lower
//! ranks get what higher ones leave, and an instance gets its part of each rank in proportion
//! to the demand there. It makes no difference through how many instances a team sends.

use std::collections::BTreeMap;

use super::demand::Class;

/// Part of a limited team's share that each of its ranks gets at least, if it asks for it, so
/// that a flood of a higher rank does not starve it.
const MIN_RANK_SHARE: f64 = 0.05;

/// Excess over the equal share that counts as an error of measurement, as a fraction of it. Demand
/// is measured over a second and the capacity is corrected by some tenths in the first seconds of an
/// overload; a team that asks for just its share would otherwise be refused meanwhile.
const TOLERANCE: f64 = 0.3;

/// Demand of a team at a rank, as fractions of the service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Team and rank.
    pub class: Class,
    /// Demand at this instance.
    pub own: f64,
    /// Demand at all other instances.
    pub others: f64,
}

/// Teams of which only the number and the sum of their demands are known.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Unnamed {
    /// Number of teams.
    pub teams: u32,
    /// Sum of their demands.
    pub demand: f64,
}

/// What requests of a class may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Grant {
    /// Fraction of the service that this instance may use for the class.
    pub allocation: f64,
    /// Part of the class's demand that this is.
    pub part: f64,
    /// Whether the class asks for more than it gets.
    pub is_limited: bool,
    /// Whether its team asks for more than its share.
    pub is_team_over: bool,
}

impl Grant {
    /// Returns the allocation at a pace. A change of the pace falls to the classes that get least of
    /// what they ask for; one that gets nearly all keeps it.
    #[must_use]
    pub fn paced(&self, pace: f64) -> f64 {
        self.allocation * (1.0 + (pace - 1.0) * (1.0 - self.part))
    }
}

/// A service's capacity divided among teams.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Division {
    grants: BTreeMap<Class, Grant>,
    /// Sum of all demands.
    pub demand: f64,
}

impl Division {
    /// Returns what a class may use. An unknown one counts as small, and is not limited.
    #[must_use]
    pub fn grant(&self, class: Class) -> Grant {
        let unknown = Grant { allocation: 0.0, part: 1.0, is_limited: false, is_team_over: false };
        self.grants.get(&class).copied().unwrap_or(unknown)
    }

    /// Returns the fraction of the service that this instance may use for all limited classes of
    /// a team.
    #[must_use]
    pub fn limited_allocation(&self, team: u32) -> f64 {
        let of_team = self.grants.iter().filter(|(class, grant)| class.team == team && grant.is_limited);
        of_team.map(|(_, grant)| grant.allocation).sum()
    }

    /// Returns the fraction of the service that this instance may use for all limited classes at a
    /// pace, where 1 is neither slowed down nor sped up.
    #[must_use]
    pub fn limited_rate(&self, pace: f64) -> f64 {
        self.grants.values().filter(|grant| grant.is_limited).map(|grant| grant.paced(pace)).sum()
    }

    /// Whether any class is limited.
    #[must_use]
    pub fn is_limiting(&self) -> bool {
        self.grants.values().any(|grant| grant.is_limited)
    }
}

/// A team's total demand, or the mean one of several unnamed teams.
#[derive(Debug, Clone, Copy)]
struct Team {
    id: Option<u32>,
    count: f64,
    demand: f64,
}

/// Divides `capacity`, as a fraction of the service, among the teams that demand it.
#[must_use]
pub fn divide(capacity: f64, demands: &[Demand], unnamed: Unnamed) -> Division {
    let mut by_team: BTreeMap<u32, Vec<&Demand>> = BTreeMap::new();
    for demand in demands {
        by_team.entry(demand.class.team).or_default().push(demand);
    }
    let total = |of_team: &[&Demand]| of_team.iter().map(|demand| demand.own + demand.others).sum();
    let mut teams: Vec<Team> =
        by_team.iter().map(|(id, of_team)| Team { id: Some(*id), count: 1.0, demand: total(of_team) }).collect();
    if unnamed.teams > 0 {
        let count = f64::from(unnamed.teams);
        teams.push(Team { id: None, count, demand: unnamed.demand / count });
    }
    let demand = teams.iter().map(|team| team.demand * team.count).sum();
    let shares = shares(capacity, teams);
    let mut grants = BTreeMap::new();
    for (id, of_team) in by_team {
        let total: f64 = total(&of_team);
        let share = shares.get(&id).copied();
        let is_team_over = share.is_some_and(|share| share < total);
        for (demand, part) in rank_parts(share.unwrap_or(total).min(total), &of_team) {
            let grant = Grant { allocation: demand.own * part, part, is_limited: part < 1.0, is_team_over };
            grants.insert(demand.class, grant);
        }
    }
    Division { grants, demand }
}

/// Returns the shares of the teams that ask for more than they get; the others get all that they
/// ask for.
fn shares(capacity: f64, mut teams: Vec<Team>) -> BTreeMap<u32, f64> {
    teams.sort_by(|a, b| a.demand.total_cmp(&b.demand));
    let mut left = capacity;
    let mut count: f64 = teams.iter().map(|team| team.count).sum();
    let mut next = 0;
    while next < teams.len() && teams[next].demand * count <= left {
        left -= teams[next].demand * teams[next].count;
        count -= teams[next].count;
        next += 1;
    }
    // Teams slightly above the equal share get all that they ask for, as long as it costs the
    // others only a small part of their shares.
    let level = left.max(0.0) / count.max(1.0);
    let mut spent = 0.0;
    while next < teams.len() {
        let team = teams[next];
        let excess = (team.demand - level) * team.count;
        let others = count - team.count;
        if team.demand > level * (1.0 + TOLERANCE) || spent + excess > TOLERANCE * level * others {
            break;
        }
        spent += excess;
        left -= team.demand * team.count;
        count = others;
        next += 1;
    }
    let share = left.max(0.0) / count.max(1.0);
    teams[next..].iter().filter_map(|team| Some((team.id?, share))).collect()
}

/// Divides a team's share among its ranks and returns the part of its demand that each gets.
fn rank_parts<'a>(share: f64, demands: &[&'a Demand]) -> Vec<(&'a Demand, f64)> {
    let mut by_rank: Vec<(&Demand, f64)> = demands.iter().map(|demand| (*demand, demand.own + demand.others)).collect();
    by_rank.sort_by_key(|(demand, _)| demand.class.rank);
    let least = |total: f64| total.min(MIN_RANK_SHARE * share);
    let mut left = share - by_rank.iter().map(|(_, total)| least(*total)).sum::<f64>();
    let mut parts = Vec::with_capacity(by_rank.len());
    for (demand, total) in by_rank {
        let more = (total - least(total)).min(left.max(0.0));
        left -= more;
        let part = if total > 0.0 { (least(total) + more) / total } else { 1.0 };
        // Rounding must not make a class that gets all that it asks for look limited.
        parts.push((demand, if part > 1.0 - 1e-9 { 1.0 } else { part }));
    }
    parts
}
