//! Over which instances a sum travels: a tree, pure.
//!
//! Sums of all to all grow with the square of the fleet. Here each instance
//! adds its children's sums to its own and sends one message to its parent;
//! within a failure domain the tree has [`FAN_IN`] children a node, and the
//! roots of the domains tell each other. Everyone derives the same tree from
//! the same members; while views differ a sum may be missing or counted in two
//! places for one round, so a payload must name the instances it covers, or
//! be good enough as an estimate.

use world::{
    domain::Domain,
    hash,
    instance::{Id, Instance, State},
};

use crate::member::Members;

/// Children of a node.
pub const FAN_IN: usize = 8;

/// An instance's place in the tree.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// Where the sum goes; none at a domain's root.
    pub parent: Option<Id>,
    /// Whose sums come in.
    pub children: Vec<Id>,
    /// At a domain's root: the other domains' roots.
    pub roots: Vec<Id>,
}

/// The place of this instance among the members.
#[must_use]
pub fn place(members: &Members) -> Place {
    let me = &members.me;
    let order = ordered(members.all().filter(|i| i.domain == me.domain));
    let mine = order.iter().position(|id| *id == me.id).unwrap_or(0);
    let first = mine * FAN_IN + 1;
    let children = order.iter().skip(first).take(FAN_IN).cloned().collect();
    let parent = mine.checked_sub(1).map(|above| order[above / FAN_IN].clone());
    let roots = if parent.is_none() { roots(members) } else { Vec::new() };
    Place { parent, children, roots }
}

fn roots(members: &Members) -> Vec<Id> {
    let mut domains: Vec<_> = members.all().map(|i| &i.domain).filter(|d| **d != members.me.domain).collect();
    domains.sort();
    domains.dedup();
    let root = |domain: &Domain| ordered(members.all().filter(|i| i.domain == *domain)).into_iter().next();
    domains.into_iter().filter_map(root).collect()
}

/// Those not gone, by hashed name: any name may come to be the root.
fn ordered<'a>(instances: impl Iterator<Item = &'a Instance>) -> Vec<Id> {
    let mut ids: Vec<_> = instances.filter(|i| i.state != State::Gone).map(|i| i.id.clone()).collect();
    ids.sort_by_cached_key(|id| (hash::stable(id.as_str().as_bytes()), id.clone()));
    ids
}
