//! Selects the instances that a customer's callers use.
//!
//! Each customer gets a small set, the same at every instance that is asked. Few instances
//! then need a part of the customer's budget, prefix caches stay warm, and a misbehaving
//! customer affects few instances. Sets are selected by rendezvous hashing, so the loss of
//! an instance changes only the sets that contain it, each by one member. A set covers all
//! failure domains before it contains a second instance of one.

use world::{
    Millis,
    contract::Customer,
    domain::Domain,
    hash,
    instance::{Instance, State},
    session,
};

/// Parameters for the size and lifetime of sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Minimum number of instances in a set. A set contains all instances if there are
    /// fewer.
    pub min: usize,
    /// Number of concurrent requests of a customer that one instance of its set should
    /// handle.
    pub load_per_instance: f64,
    /// Time for which callers may cache a list, in milliseconds.
    pub keep_ms: Millis,
    /// Time for which callers may cache a list that contains a suspect instance, in
    /// milliseconds.
    pub suspect_keep_ms: Millis,
}

impl Default for Policy {
    fn default() -> Self {
        Self { min: 3, load_per_instance: 64.0, keep_ms: 10_000, suspect_keep_ms: 2_000 }
    }
}

/// The caller that asks for instances.
#[derive(Debug, Clone, Copy)]
pub struct Caller<'a> {
    /// Customer that the caller belongs to.
    pub customer: &'a Customer,
    /// Session of the caller, if it sent one.
    pub session: Option<&'a session::Id>,
    /// Failure domain of the caller, if it sent one.
    pub domain: Option<&'a Domain>,
    /// Number of concurrent requests of the customer over all instances.
    pub load: f64,
}

/// The instances listed to a caller.
#[derive(Debug, Clone, PartialEq)]
pub struct List<'a> {
    /// Instances to use, in order of preference.
    pub instances: Vec<&'a Instance>,
    /// Time for which the list may be cached, in milliseconds.
    pub keep_ms: Millis,
}

/// Returns the instances that a caller should use.
///
/// Instances that are leaving or gone are omitted. Suspect instances are listed last, since
/// a suspicion is often wrong and omitting them at once would move customers away and back.
#[must_use]
pub fn list<'a>(policy: &Policy, instances: &'a [Instance], caller: &Caller<'_>) -> List<'a> {
    let mut set = set(policy, instances, caller);
    let order = order_key(caller);
    set.sort_by_cached_key(|instance| {
        let suspect = instance.state == State::Suspect;
        let is_remote = caller.domain.is_some_and(|domain| *domain != instance.domain);
        (suspect, is_remote, std::cmp::Reverse(rendezvous_weight(order, instance)))
    });
    let all_live = set.iter().all(|instance| instance.state == State::Live);
    let keep_ms = if all_live { policy.keep_ms } else { policy.suspect_keep_ms };
    List { instances: set, keep_ms }
}

/// Returns the customer's set in order of rank.
fn set<'a>(policy: &Policy, instances: &'a [Instance], caller: &Caller<'_>) -> Vec<&'a Instance> {
    let key = hash::stable(caller.customer.as_str().as_bytes());
    let mut ranked: Vec<_> = instances.iter().filter(|i| matches!(i.state, State::Live | State::Suspect)).collect();
    ranked.sort_by_cached_key(|instance| std::cmp::Reverse(rendezvous_weight(key, instance)));
    let wanted = size(policy, caller.load).min(ranked.len());
    let mut chosen: Vec<&Instance> = Vec::with_capacity(wanted);
    let mut max_per_domain = 1;
    while chosen.len() < wanted {
        for instance in &ranked {
            let same_domain = chosen.iter().filter(|c| c.domain == instance.domain).count();
            let taken = chosen.iter().any(|c| c.id == instance.id);
            if !taken && same_domain < max_per_domain && chosen.len() < wanted {
                chosen.push(instance);
            }
        }
        max_per_domain += 1;
    }
    chosen
}

/// Returns the size of the set for a load: the number of instances that it needs and one
/// spare, but at least [`Policy::min`].
fn size(policy: &Policy, load: f64) -> usize {
    let needed = (load.max(0.0) / policy.load_per_instance).ceil();
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "bounded by u32, never negative")]
    let needed = needed.min(f64::from(u32::MAX)) as usize;
    policy.min.max(needed + 1)
}

/// Returns the hash key that determines the order of the instances. It depends on the
/// session, so that a session's requests go to the same instance. Requests without a
/// session use one key per customer.
fn order_key(caller: &Caller<'_>) -> u64 {
    match caller.session {
        Some(session) => hash::stable(format!("{}/{session}", caller.customer).as_bytes()),
        None => hash::stable(caller.customer.as_str().as_bytes()),
    }
}

/// Returns the rendezvous weight of an instance for a key.
fn rendezvous_weight(key: u64, instance: &Instance) -> u64 {
    hash::rendezvous(key, instance.id.as_str().as_bytes())
}
