//! Permits to run a request on a version, issued only from a catalog, a contract
//! and a session.

use world::{
    Catalog,
    catalog::Standing,
    contract::{Contract, Customer},
    model::{self, Release, Version},
    money::Price,
    session::{Pin, Session},
};

use super::reason::Refusal;
use crate::rollout::{self, Stops, Unit};

/// A permit to run a customer's request on one version.
///
/// Its fields are private and only [`Permits::resolve`] and [`Permit::renew`] create
/// one. A permit therefore proves that the contract allows the version, that the
/// version was not withdrawn in [`Permit::generation`], and that the session's pin
/// was respected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Permit {
    customer: Customer,
    version: Version,
    tier: u8,
    price: Price,
    max_output: u32,
    generation: u64,
    predecessor: Option<Version>,
    pinned: bool,
}

/// Permits of one request: at most one per tier, cheapest tier first.
#[derive(Debug, Clone)]
pub struct Permits {
    by_tier: Vec<Permit>,
    invalid_pins: Vec<Pin>,
}

impl Permit {
    /// Returns the customer that sent the request.
    #[must_use]
    pub fn customer(&self) -> &Customer {
        &self.customer
    }

    /// Returns the permitted version.
    #[must_use]
    pub fn version(&self) -> &Version {
        &self.version
    }

    /// Returns the tier of the version; escalation goes from lower to higher tiers.
    #[must_use]
    pub fn tier(&self) -> u8 {
        self.tier
    }

    /// Returns the token prices of the version.
    #[must_use]
    pub fn price(&self) -> Price {
        self.price
    }

    /// Returns the maximum number of tokens of one answer.
    #[must_use]
    pub fn max_output(&self) -> u32 {
        self.max_output
    }

    /// Returns the configuration generation that the permit was issued under.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the version that this one replaces, if it is under roll-out.
    #[must_use]
    pub fn predecessor(&self) -> Option<&Version> {
        self.predecessor.as_ref()
    }

    /// Returns whether the session was already pinned to the version.
    #[must_use]
    pub fn pinned(&self) -> bool {
        self.pinned
    }

    /// Reissues the permit under a later catalog, or returns `None` if it is no
    /// longer valid.
    ///
    /// Called before every dispatch: between the choice and a later step of the
    /// ladder, or after a wait in a queue, the version may have been withdrawn
    /// and would otherwise still receive this one run. A paused roll-out accepts
    /// no new sessions.
    #[must_use]
    pub fn renew(&self, catalog: &Catalog, stops: &Stops) -> Option<Self> {
        let contract = catalog.contract(&self.customer)?;
        let release = catalog.release(&self.version)?;
        if !rollout::may_continue(catalog, stops, contract, &self.version) {
            return None;
        }
        if !self.pinned && matches!(catalog.standing(&self.version), Standing::Held { .. }) {
            return None;
        }
        Some(Self::new(catalog, &self.customer, &self.version, release, self.pinned))
    }

    fn new(catalog: &Catalog, customer: &Customer, version: &Version, release: &Release, pinned: bool) -> Self {
        Self {
            customer: customer.clone(),
            version: version.clone(),
            tier: release.tier,
            price: release.price,
            max_output: release.max_output,
            generation: catalog.generation(),
            predecessor: predecessor(catalog, version),
            pinned,
        }
    }
}

impl Permits {
    /// Determines the versions that a request may run on, one per tier.
    ///
    /// A version that the session is pinned to takes its tier. A tier without a
    /// pin goes to the version that the roll-outs assign to new sessions.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::NoContract`], [`Refusal::ModelNotAllowed`] or
    /// [`Refusal::NoVersion`].
    pub fn resolve(
        catalog: &Catalog,
        stops: &Stops,
        customer: &Customer,
        model: &model::Id,
        session: Option<&Session>,
        unit: Unit,
    ) -> Result<Self, Refusal> {
        let contract = catalog.contract(customer).ok_or(Refusal::NoContract)?;
        if !contract.models.iter().any(|allowed| allowed.model == *model) {
            return Err(Refusal::ModelNotAllowed);
        }
        let mut permits = Self { by_tier: Vec::with_capacity(4), invalid_pins: Vec::new() };
        // The pins of another customer's session would bypass the exposure limit
        // of this contract, so such a session is ignored.
        let pins = session.filter(|s| s.customer == *customer).map_or(&[][..], |s| s.pins.as_slice());
        for pin in pins.iter().filter(|pin| pin.version.model == *model) {
            permits.add_pinned(catalog, stops, contract, customer, pin);
        }
        for version in rollout::startable_versions(catalog, stops, contract, model, unit) {
            permits.add_unpinned(catalog, customer, &version);
        }
        permits.by_tier.sort_unstable_by_key(|permit| permit.tier);
        if permits.by_tier.is_empty() {
            return Err(Refusal::NoVersion);
        }
        Ok(permits)
    }

    /// Returns the permits, cheapest tier first. Never empty.
    #[must_use]
    pub fn as_slice(&self) -> &[Permit] {
        &self.by_tier
    }

    /// Returns the pins of the session that are no longer valid.
    #[must_use]
    pub fn invalid_pins(&self) -> &[Pin] {
        &self.invalid_pins
    }

    fn add_pinned(&mut self, catalog: &Catalog, stops: &Stops, contract: &Contract, customer: &Customer, pin: &Pin) {
        let release =
            catalog.release(&pin.version).filter(|_| rollout::may_continue(catalog, stops, contract, &pin.version));
        let Some(release) = release else {
            self.invalid_pins.push(pin.clone());
            return;
        };
        if !self.by_tier.iter().any(|existing| existing.tier == release.tier) {
            self.by_tier.push(Permit::new(catalog, customer, &pin.version, release, true));
        }
    }

    /// Assigns the version to its tier, replacing an earlier release. A pinned
    /// version is never replaced, and a version under roll-out only by another one
    /// under roll-out.
    fn add_unpinned(&mut self, catalog: &Catalog, customer: &Customer, version: &Version) {
        let Some(release) = catalog.release(version) else { return };
        let permit = Permit::new(catalog, customer, version, release, false);
        match self.by_tier.iter_mut().find(|existing| existing.tier == release.tier) {
            None => self.by_tier.push(permit),
            Some(existing) if existing.pinned || (existing.predecessor.is_some() && permit.predecessor.is_none()) => {}
            Some(existing) => *existing = permit,
        }
    }
}

/// Returns the version that an unfinished roll-out replaces by `version`.
fn predecessor(catalog: &Catalog, version: &Version) -> Option<Version> {
    let rollout = match catalog.standing(version) {
        Standing::Exposed { rollout, .. } | Standing::Held { rollout } => rollout,
        Standing::Serving | Standing::Withdrawn | Standing::Unknown => return None,
    };
    let rollout = catalog.rollouts().get(&rollout)?;
    Some(Version { model: rollout.version.model.clone(), number: rollout.predecessor.clone() })
}
