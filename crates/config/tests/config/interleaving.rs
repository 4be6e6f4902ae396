//! Two operators change objects at two instances while answers get lost at random
//! places. Every result matches the log, and all instances reach the same state.

use std::{collections::BTreeMap, time::Duration};

use config::{Applied, Edit, Error, Expected, Handle, Keep};
use proptest::{prelude::*, test_runner::RngSeed};
use store::fake::Loss;
use tokio::time::sleep;
use world::object::{Key, Kind, Object};

use crate::{
    faults::generations_under,
    site::{Options, Site, model},
};

/// The steps of one operator and the faults of its instance's platform calls.
#[derive(Debug, Clone)]
struct Script {
    steps: Vec<Step>,
    losses: Vec<(u64, Loss)>,
}

#[derive(Debug, Clone)]
struct Step {
    pause: u64,
    /// Index of the model, 0 or 1.
    object: u8,
    delete: bool,
    /// Whether the edit names the generation that the operator read.
    conditional: bool,
}

/// Further faults: an outage for all instances, a partition of one.
#[derive(Debug, Clone)]
struct Faults {
    /// When the platform is unavailable.
    outage: Option<Period>,
    /// An instance that has no peer links, and when.
    cut: Option<(usize, Period)>,
}

/// A period in milliseconds after the start of the run.
#[derive(Debug, Clone)]
struct Period {
    start: u64,
    length: u64,
}

/// An operator's edit and its result.
#[derive(Debug)]
struct Operation {
    author: String,
    edit: Edit,
    result: Result<Applied, Error>,
}

fn loss() -> impl Strategy<Value = Loss> {
    prop_oneof![
        Just(Loss::Before),
        Just(Loss::After),
        (0..3_000_u64).prop_map(|ms| Loss::Late(Duration::from_millis(ms))),
        Just(Loss::Refused),
    ]
}

fn script() -> impl Strategy<Value = Script> {
    let step = (0..30_u64, 0..2_u8, prop::bool::weighted(0.2), any::<bool>())
        .prop_map(|(pause, object, delete, conditional)| Step { pause, object, delete, conditional });
    let steps = prop::collection::vec(step, 1..6);
    let losses = prop::collection::vec((1..10_u64, loss()), 0..5);
    (steps, losses).prop_map(|(steps, losses)| Script { steps, losses })
}

fn period() -> impl Strategy<Value = Period> {
    (0..150_u64, 0..3_000_u64).prop_map(|(start, length)| Period { start, length })
}

fn faults() -> impl Strategy<Value = Faults> {
    let outage = prop::option::weighted(0.3, period());
    let cut = prop::option::weighted(0.3, (0..2_usize, period()));
    (outage, cut).prop_map(|(outage, cut)| Faults { outage, cut })
}

/// Sets a fault for the given period.
async fn during(period: Option<Period>, set: impl Fn(bool)) {
    let Some(Period { start, length }) = period else { return };
    sleep(Duration::from_millis(start)).await;
    set(true);
    sleep(Duration::from_millis(length)).await;
    set(false);
}

async fn operate(name: &str, config: &Handle, script: &Script) -> Vec<Operation> {
    let mut operations = Vec::new();
    for (number, step) in script.steps.iter().enumerate() {
        sleep(Duration::from_millis(step.pause)).await;
        let key = Key { kind: Kind::Model, name: format!("m{}", step.object) };
        let expected = expected(config, &key, step.conditional);
        // The version counts differ between operators, so that every change is distinct.
        let versions = u32::try_from(number).expect("few") * 2 + u32::from(name == "bob") + 1;
        let edit =
            if step.delete { Edit::Delete(key, expected) } else { Edit::Put(model(&key.name, versions), expected) };
        let author = format!("{name} {number}");
        let result = config.apply(&author, vec![edit.clone()]).await;
        operations.push(Operation { author, edit, result });
    }
    operations
}

fn expected(config: &Handle, key: &Key, conditional: bool) -> Expected {
    match (conditional, config.revision(key), config.current().object(key)) {
        (false, ..) => Expected::Any,
        (true, Some(revision), Some(_)) => Expected::At(revision.generation),
        (true, ..) => Expected::Absent,
    }
}

/// Returns the log's entries in the platform, by generation.
fn log(site: &Site) -> BTreeMap<u64, serde_json::Value> {
    let objects = site.platform.objects().into_iter();
    let entries = objects.filter_map(|object| {
        let generation = object.key.strip_prefix("config/change/")?.parse().ok()?;
        let value: serde_json::Value = serde_json::from_slice(&object.value?).ok()?;
        Some((generation, value["body"].clone()))
    });
    entries.collect()
}

async fn check(scripts: [Script; 2], faults: Faults) -> Result<(), TestCaseError> {
    let keep = Keep { snapshot_every: 4, changes: 1_000 };
    let mut site = Site::open(Options { instances: 3, domains: 3, keep, ..Options::default() }).await;
    for (index, script) in scripts.iter().enumerate() {
        script.losses.iter().for_each(|(n, loss)| site.instances[index].client.lose(*n, *loss));
    }
    let watched = tokio::spawn(check_monotonic(site.config(2).clone()));
    let ann = operate("ann", site.config(0), &scripts[0]);
    let bob = operate("bob", site.config(1), &scripts[1]);
    let outage = during(faults.outage, |down| site.platform.set_down(down));
    let (cut, period) = faults.cut.unzip();
    let cut = during(period, |is_cut| site.cut(cut.unwrap_or_default(), is_cut));
    let (ann, bob, (), ()) = tokio::join!(ann, bob, outage, cut);
    sleep(Duration::from_secs(15)).await;
    let log = log(&site);
    for operation in ann.iter().chain(&bob) {
        check_operation(&log, operation)?;
    }
    let head = u64::try_from(log.len()).expect("few");
    prop_assert_eq!(log.keys().copied().collect::<Vec<_>>(), (1..=head).collect::<Vec<_>>(), "the log has a gap");
    // A new instance starts from the snapshot and reaches the same state.
    site.start(Options { instances: 4, domains: 3, keep, ..Options::default() }).await;
    sleep(Duration::from_secs(3)).await;
    prop_assert_eq!(site.generations(), vec![head; 4]);
    let objects = |index: usize| site.config(index).current().objects().collect::<Vec<Object>>();
    for index in 1..4 {
        prop_assert_eq!(objects(index), objects(0));
    }
    prop_assert!(!watched.is_finished(), "an instance moved to an older generation");
    watched.abort();
    prop_assert!(generations_under(&site, "config/snapshot/").iter().all(|generation| *generation <= head));
    Ok(())
}

/// Panics when an instance moves to an older generation.
async fn check_monotonic(config: Handle) {
    let mut catalog = config.subscribe();
    let mut last = 0;
    while catalog.changed().await.is_ok() {
        let generation = catalog.borrow_and_update().generation();
        assert!(generation > last, "{generation} after {last}");
        last = generation;
    }
}

fn check_operation(log: &BTreeMap<u64, serde_json::Value>, operation: &Operation) -> Result<(), TestCaseError> {
    let found: Vec<u64> =
        log.iter().filter(|(_, entry)| entry["author"] == operation.author.as_str()).map(|(g, _)| *g).collect();
    match &operation.result {
        Ok(applied) if applied.changed => {
            prop_assert_eq!(&found, &vec![applied.generation], "{} was accepted", operation.author);
            check_condition(log, operation, applied.generation)
        }
        Err(Error::Unknown { generation }) => {
            prop_assert!(found.is_empty() || found == [*generation], "{} has entries at {:?}", operation.author, found);
            Ok(())
        }
        other => {
            prop_assert!(found.is_empty(), "{} got {:?} and has entries at {:?}", operation.author, other, found);
            Ok(())
        }
    }
}

/// Checks that a conditional change directly follows the one it named.
fn check_condition(
    log: &BTreeMap<u64, serde_json::Value>,
    operation: &Operation,
    generation: u64,
) -> Result<(), TestCaseError> {
    let (Edit::Put(_, expected) | Edit::Delete(_, expected)) = &operation.edit;
    let before = log[&generation]["edits"][0]["before"].as_u64();
    if let Expected::At(named) = expected {
        prop_assert_eq!(before, Some(*named), "{} overwrote a change that it had not read", operation.author);
    }
    Ok(())
}

proptest! {
    // The fixed seed makes the result reproducible. PROPTEST_CASES sets the number of cases.
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]
    #[test]
    fn results_match_the_log(scripts in [script(), script()], faults in faults()) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        runtime.expect("a runtime").block_on(check(scripts, faults))?;
    }
}
