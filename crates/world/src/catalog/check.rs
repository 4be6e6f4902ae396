//! Checks of objects, alone and against each other.

use std::{collections::HashMap, fmt};

use super::Catalog;
use crate::{
    contract::{Contract, Customer},
    model::{self, Model, Version},
    object::{Key, Kind},
    pool::{Pool, Serves},
    rollout::{self, Rollout},
};

/// Hex digits of a SHA-256.
const SHA256_HEX_LEN: usize = 64;

/// One thing wrong with a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The object at fault.
    pub object: Key,
    /// Field within its `spec`.
    pub field: String,
    /// What is wrong and what to do.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}, field `{}`: {}", self.object, self.field, self.message)
    }
}

impl std::error::Error for Fault {}

/// Every fault of a catalog whose objects are all in place.
pub(super) fn check(catalog: &Catalog) -> Vec<Fault> {
    let mut faults = Faults::default();
    for (name, contract) in &catalog.contracts {
        check_contract(catalog, name, contract, &mut faults);
    }
    for (name, model) in &catalog.models {
        check_model(name, model, &mut faults);
    }
    for (name, rollout) in &catalog.rollouts {
        check_rollout(catalog, name, rollout, &mut faults);
    }
    check_pools(catalog, &mut faults);
    check_keys(catalog, &mut faults);
    faults.0
}

#[derive(Default)]
struct Faults(Vec<Fault>);

impl Faults {
    fn push(&mut self, kind: Kind, name: &str, field: &str, message: String) {
        let object = Key { kind, name: name.into() };
        self.0.push(Fault { object, field: field.into(), message });
    }
}

fn is_share(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

fn check_contract(catalog: &Catalog, name: &Customer, contract: &Contract, faults: &mut Faults) {
    let mut fault = |field: &str, message: String| faults.push(Kind::Contract, name.as_str(), field, message);
    for key in &contract.keys {
        let hex = key.sha256.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        if !hex || key.sha256.len() != SHA256_HEX_LEN {
            fault("keys", "a key is the lower-case hex SHA-256 of the caller's key, 64 digits".into());
        }
    }
    if !is_share(contract.quality.target) {
        fault("quality.target", format!("{} is outside 0 to 1", contract.quality.target));
    }
    if !is_share(contract.exposure.new_version_share) {
        fault("exposure.new_version_share", format!("{} is outside 0 to 1", contract.exposure.new_version_share));
    }
    if contract.rank.weight == 0 {
        fault("rank.weight", "0 would never run; use 1 or more".into());
    }
    if contract.rank.deadline_ms == 0 {
        fault("rank.deadline_ms", "0 has passed already; use 1 or more milliseconds".into());
    }
    for allowed in &contract.models {
        check_allowed(catalog, contract, allowed, &mut fault);
    }
    for service in &contract.services {
        let Some(spec) = catalog.services.get(service) else {
            fault("services", format!("no service `{service}`; apply it first or in the same file"));
            continue;
        };
        if spec.price.is_some_and(|price| price.currency != contract.budget.currency) {
            fault("budget.currency", format!("service `{service}` is priced in another currency"));
        }
    }
}

fn check_allowed(
    catalog: &Catalog,
    contract: &Contract,
    allowed: &crate::contract::Allowed,
    fault: &mut impl FnMut(&str, String),
) {
    let model = &allowed.model;
    if !catalog.models.contains_key(model) {
        fault("models", format!("no model `{model}`; apply it first or in the same file"));
        return;
    }
    if allowed.versions.is_empty() {
        fault("models", format!("model `{model}` allows no version; name at least one or drop the model"));
    }
    for number in &allowed.versions {
        let version = Version { model: model.clone(), number: number.clone() };
        match catalog.release(&version) {
            None => fault("models", format!("model `{model}` has no version `{number}`")),
            Some(release) if release.price.currency != contract.budget.currency => fault(
                "budget.currency",
                format!(
                    "`{version}` is priced in {}, the budget is in {}",
                    release.price.currency, contract.budget.currency
                ),
            ),
            Some(_) => {}
        }
    }
}

fn check_model(name: &model::Id, model: &Model, faults: &mut Faults) {
    let mut seen = std::collections::BTreeSet::new();
    for release in &model.versions {
        if !seen.insert(&release.version) {
            faults.push(Kind::Model, name.as_str(), "versions", format!("version `{}` stands twice", release.version));
        }
        if release.max_output == 0 {
            let message = format!("version `{}` could answer nothing; use 1 or more tokens", release.version);
            faults.push(Kind::Model, name.as_str(), "versions.max_output", message);
        }
    }
}

fn check_rollout(catalog: &Catalog, name: &rollout::Id, rollout: &Rollout, faults: &mut Faults) {
    let mut fault = |field: &str, message: String| faults.push(Kind::Rollout, name.as_str(), field, message);
    let predecessor = Version { model: rollout.version.model.clone(), number: rollout.predecessor.clone() };
    match (catalog.release(&rollout.version), catalog.release(&predecessor)) {
        (None, _) => fault("version", format!("no version `{}`; add it to its model first", rollout.version)),
        (_, None) => fault("predecessor", format!("no version `{predecessor}`")),
        (Some(new), Some(old)) if new.tier != old.tier => {
            fault(
                "predecessor",
                format!("stands in tier {}, the new version in tier {}; they must be the same", old.tier, new.tier),
            );
        }
        _ if predecessor == rollout.version => {
            fault("predecessor", "is the version itself; name the one it replaces".into());
        }
        _ => {}
    }
    if rollout.steps.is_empty() || !rollout.steps.iter().copied().all(is_share) || !rollout.steps.is_sorted() {
        fault("steps", "must be rising shares from 0 to 1, at least one".into());
    }
    if rollout.step >= rollout.steps.len().max(1) {
        fault("step", format!("{} is past the last step", rollout.step));
    }
}

fn check_pools(catalog: &Catalog, faults: &mut Faults) {
    let mut owners = HashMap::new();
    for (name, pool) in &catalog.pools {
        check_served(catalog, name.as_str(), pool, faults);
        for member in &pool.endpoints {
            if let Some(other) = owners.insert(member.name.clone(), name) {
                let message = format!("endpoint `{}` stands in pool `{other}` too; names are unique", member.name);
                faults.push(Kind::Pool, name.as_str(), "endpoints", message);
            }
            if member.slots == 0 {
                let message = format!("endpoint `{}` has no slots; use 1 or more", member.name);
                faults.push(Kind::Pool, name.as_str(), "endpoints.slots", message);
            }
        }
    }
}

fn check_served(catalog: &Catalog, name: &str, pool: &Pool, faults: &mut Faults) {
    match &pool.serves {
        Serves::Versions(versions) => {
            for version in versions.iter().filter(|v| catalog.release(v).is_none()) {
                faults.push(Kind::Pool, name, "serves", format!("no version `{version}`; add it to its model first"));
            }
        }
        Serves::Service(service) if !catalog.services.contains_key(service) => {
            faults.push(
                Kind::Pool,
                name,
                "serves",
                format!("no service `{service}`; apply it first or in the same file"),
            );
        }
        Serves::Service(_) => {}
    }
}

fn check_keys(catalog: &Catalog, faults: &mut Faults) {
    let mut owners: HashMap<&str, &Customer> = HashMap::new();
    for (customer, contract) in &catalog.contracts {
        for key in &contract.keys {
            if let Some(other) = owners.insert(&key.sha256, customer) {
                let message = format!("a key is used twice (also by `{other}`); give each customer its own");
                faults.push(Kind::Contract, customer.as_str(), "keys", message);
            }
        }
    }
}
