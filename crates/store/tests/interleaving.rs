//! Two writers on one key, with answers lost at any place: what each of them
//! hears is what happened.

use std::{sync::Arc, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};
use store::{
    Error, Handle, Priority, Settings, Write,
    api::Fault,
    fake::{Loss, Platform},
    open_with,
};
use tokio::time::sleep;

const KEY: &str = "grant/test";
/// Longer than any late effect.
const SETTLED: Duration = Duration::from_secs(5);

/// What one writer does and meets.
#[derive(Debug, Clone)]
struct Script {
    seed: u64,
    /// Pause before each write, in milliseconds.
    pauses: Vec<u64>,
    losses: Vec<(u64, Loss)>,
    lost_reads: Vec<u64>,
}

/// What one writer was told about one value.
#[derive(Debug)]
struct Told {
    value: String,
    answer: Result<Write, Error>,
}

fn loss() -> impl Strategy<Value = Loss> {
    prop_oneof![
        Just(Loss::Before),
        Just(Loss::After),
        (0..1_500_u64).prop_map(|ms| Loss::Late(Duration::from_millis(ms))),
        Just(Loss::Refused),
    ]
}

fn script() -> impl Strategy<Value = Script> {
    let pauses = prop::collection::vec(0..40_u64, 1..6);
    let losses = prop::collection::vec((1..8_u64, loss()), 0..6);
    let lost_reads = prop::collection::vec(1..12_u64, 0..6);
    (any::<u64>(), pauses, losses, lost_reads).prop_map(|(seed, pauses, losses, lost_reads)| Script {
        seed,
        pauses,
        losses,
        lost_reads,
    })
}

async fn write(name: &str, platform: &Platform, script: &Script) -> Vec<Told> {
    let client = platform.client();
    script.losses.iter().for_each(|(n, loss)| client.lose(*n, *loss));
    let fault = Fault::Lost { cause: "scripted".into() };
    script.lost_reads.iter().for_each(|n| client.lose_read(*n, fault.clone()));
    let mut settings = Settings::fake(name, script.seed);
    settings.deadline = Duration::from_millis(300);
    let handle = open_with(settings, Arc::new(client));
    let mut told = Vec::new();
    for (number, pause) in script.pauses.iter().enumerate() {
        sleep(Duration::from_millis(*pause)).await;
        let value = format!("{name} {number}");
        if let Some(answer) = put(&handle, &value).await {
            told.push(Told { value, answer });
        }
    }
    told
}

/// Creates or updates, whichever the key needs; nothing when it cannot be read.
async fn put(handle: &Handle, value: &str) -> Option<Result<Write, Error>> {
    let found = handle.get(Priority::Claim, KEY).await.ok()?;
    Some(match found {
        Some(item) => handle.update(Priority::Claim, &item, value).await,
        None => handle.create(Priority::Claim, KEY, value).await,
    })
}

/// How often a value took effect.
fn effects(platform: &Platform, value: &str) -> usize {
    let body = format!("\"body\":\"{value}\"");
    let wrote = |text: &str| text.contains(&body);
    let values = platform.history().into_iter().filter_map(|object| object.value);
    values.filter(|value| wrote(&String::from_utf8_lossy(value))).count()
}

async fn check(scripts: [Script; 2]) -> Result<(), TestCaseError> {
    let platform = Platform::open();
    let (a, b) = tokio::join!(write("a/1", &platform, &scripts[0]), write("b/1", &platform, &scripts[1]));
    sleep(SETTLED).await;
    for Told { value, answer } in a.into_iter().chain(b) {
        let effects = effects(&platform, &value);
        match answer {
            Ok(Write::Done(_)) => prop_assert_eq!(effects, 1, "{} was told done", value),
            Ok(Write::Lost { .. }) => prop_assert_eq!(effects, 0, "{} was told lost", value),
            Err(Error::Unknown { .. }) => prop_assert!(effects <= 1, "{} took effect twice", value),
            Err(error) => prop_assert_eq!(effects, 0, "{} was told {}", value, error),
        }
    }
    Ok(())
}

proptest! {
    // A fixed seed: the same verdict every time. PROPTEST_CASES sets how many.
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]
    #[test]
    fn writers_hear_what_happened(scripts in [script(), script()]) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        runtime.expect("a runtime").block_on(check(scripts))?;
    }
}
