//! Which instances a customer's callers use.
//!
//! Each customer gets a small set, the same at every instance that is asked:
//! fewer budget grants, warmer prefix caches, and a customer that misbehaves
//! reaches few instances. Rendezvous hashing picks it, so that an instance
//! that goes changes only the sets it was in, each by one member. The set
//! spreads over failure domains before it takes a second instance of one.

use world::{
    Millis,
    contract::Customer,
    domain::Domain,
    hash,
    instance::{Instance, State},
    session,
};

/// How sets are cut.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Fewest instances in a set, where there are as many.
    pub min: usize,
    /// Concurrent requests one instance of a set should carry for a customer.
    pub load_per_instance: f64,
    /// How long callers may keep an answer, in milliseconds.
    pub keep_ms: Millis,
    /// The same while an instance of the set is suspect.
    pub unsettled_keep_ms: Millis,
}

impl Default for Policy {
    fn default() -> Self {
        Self { min: 3, load_per_instance: 64.0, keep_ms: 10_000, unsettled_keep_ms: 2_000 }
    }
}

/// Who asks.
#[derive(Debug, Clone, Copy)]
pub struct Caller<'a> {
    /// Whose caller.
    pub customer: &'a Customer,
    /// Its session, where it named one.
    pub session: Option<&'a session::Id>,
    /// Its failure domain, where it named one.
    pub domain: Option<&'a Domain>,
    /// The customer's concurrent requests over all instances.
    pub load: f64,
}

/// The answer, best instance first.
#[derive(Debug, Clone, PartialEq)]
pub struct List<'a> {
    /// Instances to use, in this order.
    pub instances: Vec<&'a Instance>,
    /// How long the answer may be kept, in milliseconds.
    pub keep_ms: Millis,
}

/// The instances a caller uses.
///
/// Leaving and gone instances are left out; suspect ones stand last, since a
/// suspicion is often wrong and dropping them at once would move customers
/// twice.
#[must_use]
pub fn list<'a>(policy: &Policy, instances: &'a [Instance], caller: &Caller<'_>) -> List<'a> {
    let mut set = set(policy, instances, caller);
    let order = order_key(caller);
    set.sort_by_cached_key(|instance| {
        let suspect = instance.state == State::Suspect;
        let away = caller.domain.is_some_and(|domain| *domain != instance.domain);
        (suspect, away, std::cmp::Reverse(weight(order, instance)))
    });
    let settled = set.iter().all(|instance| instance.state == State::Live);
    let keep_ms = if settled { policy.keep_ms } else { policy.unsettled_keep_ms };
    List { instances: set, keep_ms }
}

/// The customer's set, by rank.
fn set<'a>(policy: &Policy, instances: &'a [Instance], caller: &Caller<'_>) -> Vec<&'a Instance> {
    let key = hash::stable(caller.customer.as_str().as_bytes());
    let mut ranked: Vec<_> = instances.iter().filter(|i| matches!(i.state, State::Live | State::Suspect)).collect();
    ranked.sort_by_cached_key(|instance| std::cmp::Reverse(weight(key, instance)));
    let wanted = size(policy, caller.load).min(ranked.len());
    let mut chosen: Vec<&Instance> = Vec::with_capacity(wanted);
    let mut rounds = 1;
    while chosen.len() < wanted {
        for instance in &ranked {
            let same = chosen.iter().filter(|c| c.domain == instance.domain).count();
            let taken = chosen.iter().any(|c| c.id == instance.id);
            if !taken && same < rounds && chosen.len() < wanted {
                chosen.push(instance);
            }
        }
        rounds += 1;
    }
    chosen
}

/// Instances a load needs, one spare included.
fn size(policy: &Policy, load: f64) -> usize {
    let needed = (load.max(0.0) / policy.load_per_instance).ceil();
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "bounded by u32, never negative")]
    let needed = needed.min(f64::from(u32::MAX)) as usize;
    policy.min.max(needed + 1)
}

/// A session's requests meet at one instance; other calls of a customer do too.
fn order_key(caller: &Caller<'_>) -> u64 {
    match caller.session {
        Some(session) => hash::stable(format!("{}/{session}", caller.customer).as_bytes()),
        None => hash::stable(caller.customer.as_str().as_bytes()),
    }
}

fn weight(key: u64, instance: &Instance) -> u64 {
    hash::rendezvous(key, instance.id.as_str().as_bytes())
}
