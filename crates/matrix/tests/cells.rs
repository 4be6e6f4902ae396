//! One test per cell that takes a whole deployment.
//!
//! A name is `fault_at_step`. What the callers see in each: their requests
//! end whole, or are refused truly; nothing runs twice that must not, and
//! every whole answer is billed once, whatever strikes amid the traffic.

use trial::scenario::{Blow, Focus, Report, Scenario};

/// Requests of one cell.
const REQUESTS: usize = 160;
/// Seed of traffic and faults.
const SEED: u64 = 11;

async fn run(focus: Focus, blows: &[Blow]) -> Report {
    let report = Scenario::open("tubig", SEED).await.run(focus, REQUESTS, blows).await;
    assert!(report.breaches.is_empty(), "{report:#?}");
    report
}

/// Each request must end whole but for `spared`, of which the caller was told
/// the truth instead.
async fn check(focus: Focus, blows: &[Blow], spared: usize) {
    let report = run(focus, blows).await;
    let rest = report.refused + report.told;
    assert!(report.whole >= REQUESTS.saturating_sub(spared), "{report:#?}");
    assert!(rest <= spared, "{report:#?}");
}

macro_rules! cells {
    ($($name:ident: $focus:ident, [$($blow:ident),+], $spared:expr;)*) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                check(Focus::$focus, &[$(Blow::$blow),+], $spared).await;
            }
        )*
    };
}

// The platform answers nothing for a second and a half. Requests that need a
// claim wait for it or are refused as not run and come back when told; all
// others go on, their bills held by two instances until it is back.
cells! {
    platform_down_at_claim: Once, [PlatformDown], 0;
    platform_down_at_run: Streams, [PlatformDown], 0;
    platform_down_at_bill: Any, [PlatformDown], 0;
    platform_slow_at_claim: Once, [PlatformSlow], 0;
    platform_slow_at_bill: Streams, [PlatformSlow], 0;
}

// Writes take effect and their answers are lost. A claim, bill or session
// binding that is read back counts once; a caller sees nothing of it.
cells! {
    answer_lost_at_claim: Once, [AnswersLost], 0;
    answer_lost_at_bill: Streams, [AnswersLost], 0;
    answer_lost_at_choose: Sessions, [AnswersLost], 0;
}

// An instance goes without a word. Its callers see their connections break
// and repeat elsewhere under the same key: idempotent requests run to a whole
// answer there, the others are told what became of the first try.
cells! {
    instance_lost_at_claim: Once, [InstanceKilled], 60;
    instance_lost_at_run: Streams, [InstanceKilled], 0;
    instance_lost_at_choose: Sessions, [InstanceKilled], 20;
    instance_lost_at_addresses: Any, [InstanceKilled], 30;
}

// An instance shuts down in order under traffic: it is out of the addresses,
// finishes what it has, and no caller notices.
cells! {
    instance_leaving_at_claim: Once, [InstanceLeaves], 0;
    instance_leaving_at_run: Streams, [InstanceLeaves], 0;
    instance_leaving_at_choose: Sessions, [InstanceLeaves], 0;
    instance_leaving_at_bill: Any, [InstanceLeaves], 0;
}

// An instance stands still for eight seconds, is held lost, and wakes with
// its homes, grants and lease taken over by others.
cells! {
    lease_lapsed_at_claim: Once, [InstanceFrozen], 60;
    lease_lapsed_at_bill: Streams, [InstanceFrozen], 0;
}

// Endpoints fail, fill up, leave or send odd frames. Idempotent requests run
// elsewhere; what may have run once and must not run twice is told as unknown.
cells! {
    endpoint_lost_at_run: Streams, [EngineLost], 0;
    endpoint_lost_at_claim: Once, [EngineLost], 60;
    endpoint_lost_at_last_frame: Streams, [StreamsBreak], 0;
    endpoint_lost_at_choose: Services, [ServicesBreak], 60;
    endpoint_leaving_at_run: Streams, [EngineLeaves], 0;
    answer_late_at_run: Streams, [FramesOdd], 0;
    answer_late_at_last_frame: Sessions, [FramesOdd], 0;
    pool_full_at_run: Streams, [PoolsFull], 0;
    pool_full_at_claim: Once, [PoolsFull], 0;
    version_bad_at_run: Streams, [VersionFails], 0;
    rating_down_at_rate: Streams, [RatingDown], 0;
    rating_down_at_escalate: Any, [RatingDown], 0;
    caller_repeats_at_claim: Repeats, [AnswersLost], 0;
    caller_repeats_at_last_frame: Repeats, [StreamsBreak], 60;
    version_bad_at_stop: Sessions, [VersionFails, Withdrawal], 0;
}

// Two faults together.
cells! {
    platform_down_and_instance_lost_at_claim: Once, [PlatformDown, InstanceKilled], 60;
    platform_down_and_instance_lost_at_bill: Streams, [PlatformDown, InstanceKilled], 0;
    platform_down_and_endpoint_lost_at_run: Streams, [PlatformDown, EngineLost], 0;
    platform_down_and_rating_down_at_rate: Any, [PlatformDown, RatingDown], 30;
    platform_down_and_instance_leaving_at_bill: Streams, [PlatformDown, InstanceLeaves], 0;
    platform_down_and_caller_repeats_at_run: Repeats, [PlatformDown], 0;
    platform_slow_and_instance_lost_at_claim: Once, [PlatformSlow, InstanceKilled], 60;
    answer_lost_and_instance_lost_at_claim: Once, [AnswersLost, InstanceKilled], 60;
    answer_lost_and_instance_lost_at_bill: Streams, [AnswersLost, InstanceKilled], 0;
    answer_lost_and_instance_leaving_at_bill: Any, [AnswersLost, InstanceLeaves], 0;
    answer_lost_and_endpoint_lost_at_run: Any, [AnswersLost, EngineLost], 60;
    endpoint_lost_and_instance_lost_at_run: Streams, [EngineLost, InstanceKilled], 0;
    endpoint_lost_and_rating_down_at_rate: Streams, [EngineLost, RatingDown], 0;
    endpoint_lost_and_instance_leaving_at_run: Streams, [StreamsBreak, InstanceLeaves], 0;
    endpoint_leaving_and_instance_lost_at_choose: Streams, [EngineLeaves, InstanceKilled], 0;
    answer_late_and_instance_leaving_at_last_frame: Streams, [FramesOdd, InstanceLeaves], 0;
    pool_full_and_platform_slow_at_admit: Any, [PoolsFull, PlatformSlow], 0;
    lease_lapsed_and_answer_lost_at_claim: Once, [InstanceFrozen, AnswersLost], 60;
    version_bad_and_instance_lost_at_stop: Sessions, [VersionFails, Withdrawal, InstanceKilled], 20;
    version_bad_and_platform_slow_at_stop: Any, [VersionFails, Withdrawal, PlatformSlow], 0;
    version_bad_and_instance_leaving_at_stop: Any, [VersionFails, Withdrawal, InstanceLeaves], 0;
    instance_lost_and_caller_repeats_at_run: Repeats, [InstanceKilled], 60;
}
