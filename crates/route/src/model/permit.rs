//! Leave to run a request on a version: made only from a catalog, a contract
//! and a session.

use world::{
    Catalog,
    catalog::Standing,
    contract::{Contract, Customer},
    hash,
    model::{self, Release, Version},
    money::Price,
    rollout,
    session::{Pin, Session},
};

use super::reason::Refusal;

/// Leave to run a customer's request on one version.
///
/// Its fields are private and nothing but [`Permits::resolve`] and
/// [`Permit::renew`] makes one, so holding it means that the contract allows
/// the version, that it was not withdrawn in [`Permit::generation`], and that
/// the session's pin was honoured.
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

/// The permits of one request: at most one per tier, cheapest tier first.
#[derive(Debug, Clone)]
pub struct Permits {
    held: Vec<Permit>,
    ranks: Vec<u8>,
    moved: Option<Version>,
}

impl Permit {
    /// Whose request.
    #[must_use]
    pub fn customer(&self) -> &Customer {
        &self.customer
    }

    /// The version.
    #[must_use]
    pub fn version(&self) -> &Version {
        &self.version
    }

    /// Its step in the cascade.
    #[must_use]
    pub fn tier(&self) -> u8 {
        self.tier
    }

    /// What its tokens cost.
    #[must_use]
    pub fn price(&self) -> Price {
        self.price
    }

    /// Most tokens one answer may have.
    #[must_use]
    pub fn max_output(&self) -> u32 {
        self.max_output
    }

    /// The configuration that allowed it.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The version it replaces, while it is under roll-out.
    #[must_use]
    pub fn predecessor(&self) -> Option<&Version> {
        self.predecessor.as_ref()
    }

    /// Whether the session was on it already.
    #[must_use]
    pub fn pinned(&self) -> bool {
        self.pinned
    }

    /// The same permit under a later catalog; nothing when it no longer holds.
    ///
    /// Asked before every dispatch: between the choice and a later step of the
    /// ladder, or after a wait in a queue, the version may have been withdrawn
    /// and would otherwise still get this one run.
    #[must_use]
    pub fn renew(&self, catalog: &Catalog) -> Option<Self> {
        let contract = catalog.contract(&self.customer)?;
        let release = catalog.release(&self.version)?;
        if !allows(contract, &self.version) {
            return None;
        }
        match catalog.standing(&self.version) {
            Standing::Withdrawn | Standing::Unknown => return None,
            Standing::Held { .. } if !self.pinned => return None,
            Standing::Held { .. } | Standing::Exposed { .. } | Standing::Serving => {}
        }
        let predecessor = self.predecessor.clone();
        Some(Self { predecessor, pinned: self.pinned, ..Self::new(catalog, &self.customer, &self.version, release) })
    }

    fn new(catalog: &Catalog, customer: &Customer, version: &Version, release: &Release) -> Self {
        Self {
            customer: customer.clone(),
            version: version.clone(),
            tier: release.tier,
            price: release.price,
            max_output: release.max_output,
            generation: catalog.generation(),
            predecessor: None,
            pinned: false,
        }
    }
}

impl Permits {
    /// Every version that a request may run on, one per tier.
    ///
    /// # Errors
    ///
    /// [`Refusal::NoContract`], [`Refusal::ModelNotAllowed`] or
    /// [`Refusal::NoVersion`].
    pub fn resolve(
        catalog: &Catalog,
        customer: &Customer,
        model: &model::Id,
        session: Option<&Session>,
        sticky: u64,
    ) -> Result<Self, Refusal> {
        let contract = catalog.contract(customer).ok_or(Refusal::NoContract)?;
        let allowed = contract.models.iter().find(|a| a.model == *model).ok_or(Refusal::ModelNotAllowed)?;
        let releases = &catalog.model(model).ok_or(Refusal::ModelNotAllowed)?.versions;

        let mut found = Self { held: Vec::with_capacity(4), ranks: Vec::with_capacity(4), moved: None };
        for release in releases.iter().filter(|r| allowed.versions.contains(&r.version)) {
            let version = Version { model: model.clone(), number: release.version.clone() };
            let Some(claim) = claim(catalog, contract, &version, session, sticky) else { continue };
            found.offer(catalog, customer, &version, release, claim);
        }
        found.moved = session.and_then(|s| found.broken_pin(s, model));
        found.held.sort_unstable_by_key(|permit| permit.tier);
        if found.held.is_empty() {
            return Err(Refusal::NoVersion);
        }
        Ok(found)
    }

    /// The permits, cheapest tier first; never empty.
    #[must_use]
    pub fn as_slice(&self) -> &[Permit] {
        &self.held
    }

    /// The version a session had to leave.
    #[must_use]
    pub fn moved(&self) -> Option<&Version> {
        self.moved.as_ref()
    }

    /// Keeps the stronger claim on a tier; of two alike, the later release.
    fn offer(&mut self, catalog: &Catalog, customer: &Customer, version: &Version, release: &Release, claim: Claim) {
        let mut permit = Permit::new(catalog, customer, version, release);
        permit.pinned = matches!(claim, Claim::Pinned { .. });
        let rank = claim.rank();
        permit.predecessor = claim.predecessor();
        let Some(held) = self.held.iter().position(|held| held.tier == release.tier) else {
            self.held.push(permit);
            self.ranks.push(rank);
            return;
        };
        if rank >= self.ranks[held] {
            self.held[held] = permit;
            self.ranks[held] = rank;
        }
    }

    fn broken_pin(&self, session: &Session, model: &model::Id) -> Option<Version> {
        let mut pins = session.pins.iter().filter(|pin| pin.version.model == *model);
        let kept = |pin: &Pin| self.held.iter().any(|permit| permit.pinned && permit.version == pin.version);
        pins.find(|pin| !kept(pin)).map(|pin| pin.version.clone())
    }
}

/// Why a version may take a request.
enum Claim {
    /// It serves, but a roll-out has replaced it.
    Replaced,
    /// It serves its tier.
    Serving,
    /// The request takes part in its roll-out.
    Exposed { predecessor: Version },
    /// The session is on it.
    Pinned { predecessor: Option<Version> },
}

impl Claim {
    fn rank(&self) -> u8 {
        match self {
            Self::Replaced => 0,
            Self::Serving => 1,
            Self::Exposed { .. } => 2,
            Self::Pinned { .. } => 3,
        }
    }

    fn predecessor(self) -> Option<Version> {
        match self {
            Self::Replaced | Self::Serving => None,
            Self::Exposed { predecessor } => Some(predecessor),
            Self::Pinned { predecessor } => predecessor,
        }
    }
}

/// What a version can claim on a request; nothing when it may not have it.
fn claim(
    catalog: &Catalog,
    contract: &Contract,
    version: &Version,
    session: Option<&Session>,
    sticky: u64,
) -> Option<Claim> {
    let pinned = session.is_some_and(|s| s.pins.iter().any(|pin| pin.version == *version));
    match catalog.standing(version) {
        Standing::Serving if pinned => Some(Claim::Pinned { predecessor: None }),
        Standing::Serving if replaced(catalog, contract, version) => Some(Claim::Replaced),
        Standing::Serving => Some(Claim::Serving),
        Standing::Exposed { rollout, .. } | Standing::Held { rollout } if pinned => {
            Some(Claim::Pinned { predecessor: predecessor(catalog, &rollout) })
        }
        Standing::Exposed { share, rollout } => {
            let share = share.min(contract.exposure.new_version_share);
            let predecessor = predecessor(catalog, &rollout)?;
            takes_part(sticky, &rollout, share).then_some(Claim::Exposed { predecessor })
        }
        Standing::Held { .. } | Standing::Withdrawn | Standing::Unknown => None,
    }
}

/// Whether a promoted version that the contract allows stands in its place.
fn replaced(catalog: &Catalog, contract: &Contract, version: &Version) -> bool {
    catalog.rollouts().values().any(|rollout| {
        rollout.state == rollout::State::Promoted
            && rollout.version.model == version.model
            && rollout.predecessor == version.number
            && allows(contract, &rollout.version)
            && catalog.standing(&rollout.version) == Standing::Serving
    })
}

fn predecessor(catalog: &Catalog, id: &rollout::Id) -> Option<Version> {
    let rollout = catalog.rollouts().get(id)?;
    Some(Version { model: rollout.version.model.clone(), number: rollout.predecessor.clone() })
}

/// Whether a session (or a lone request) is in a roll-out's share.
///
/// Hashed with the roll-out's name: a session that met one bad version is no
/// likelier than others to meet the next.
#[expect(clippy::cast_precision_loss, reason = "a share needs no more than 53 bits")]
fn takes_part(sticky: u64, rollout: &rollout::Id, share: f64) -> bool {
    let point = hash::rendezvous(sticky, rollout.as_str().as_bytes()) as f64 / u64::MAX as f64;
    point < share
}

fn allows(contract: &Contract, version: &Version) -> bool {
    contract.models.iter().any(|a| a.model == version.model && a.versions.contains(&version.number))
}
