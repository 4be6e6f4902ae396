//! The tree along which sums over all instances are aggregated. Does no I/O.
//!
//! Sending every instance's values to every other instance would cost a number
//! of messages quadratic in the fleet size. Instead, each instance adds its
//! children's sums to its own and sends one message to its parent. Within a
//! failure domain each node has up to [`FAN_IN`] children, and the roots of the
//! domains exchange their sums. All instances derive the same tree from the
//! same members. While views differ, a sum may be missing or counted twice for
//! one round, so a payload must name the instances it covers or be used only
//! as an estimate.

use world::{
    domain::Domain,
    hash,
    instance::{Id, Instance, State},
};

use crate::member::Members;

/// Maximum number of children of a node.
pub const FAN_IN: usize = 8;

/// An instance's position in the tree.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Position {
    /// Parent to which the sum is sent; `None` at a domain's root.
    pub parent: Option<Id>,
    /// Children whose sums this instance receives.
    pub children: Vec<Id>,
    /// Roots of the other domains; empty unless this instance is a root.
    pub roots: Vec<Id>,
}

/// Returns the position of this instance in the tree over the members.
#[must_use]
pub fn position(members: &Members) -> Position {
    let me = &members.me;
    let order = ordered_ids(members.all().filter(|i| i.domain == me.domain));
    let own_index = order.iter().position(|id| *id == me.id).unwrap_or(0);
    let first_child = own_index * FAN_IN + 1;
    let children = order.iter().skip(first_child).take(FAN_IN).cloned().collect();
    let parent = own_index.checked_sub(1).map(|index| order[index / FAN_IN].clone());
    let roots = if parent.is_none() { roots(members) } else { Vec::new() };
    Position { parent, children, roots }
}

fn roots(members: &Members) -> Vec<Id> {
    let mut domains: Vec<_> = members.all().map(|i| &i.domain).filter(|d| **d != members.me.domain).collect();
    domains.sort();
    domains.dedup();
    let root = |domain: &Domain| ordered_ids(members.all().filter(|i| i.domain == *domain)).into_iter().next();
    domains.into_iter().filter_map(root).collect()
}

/// Returns the instances that are not gone, ordered by hashed name, so that
/// the choice of a root does not depend on how instances are named.
fn ordered_ids<'a>(instances: impl Iterator<Item = &'a Instance>) -> Vec<Id> {
    let mut ids: Vec<_> = instances.filter(|i| i.state != State::Gone).map(|i| i.id.clone()).collect();
    ids.sort_by_cached_key(|id| (hash::stable(id.as_str().as_bytes()), id.clone()));
    ids
}
