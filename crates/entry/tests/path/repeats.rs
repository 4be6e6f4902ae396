//! Repeats of a request at the same and at other instances.

use http::Method;
use standin::{engine, objects};
use timeline::{Event, Filter, Found, Step};

use crate::{
    site::{CLUB_KEY, Site, SiteConfig, WATER_KEY},
    whole::answer_of,
};

const KEY: (&str, &str) = ("idempotency-key", "season-7");
const NON_IDEMPOTENT: (&str, &str) = ("arbutuslug-idempotent", "false");
const CONTENT: &str = "season summary";

fn slow() -> SiteConfig {
    let engine = engine::Options { per_token_ms: 20, ..engine::Options::default() };
    SiteConfig { instances: 2, engine, ..SiteConfig::default() }
}

/// Sends a request, repeats it at `node` while it runs, and expects one run, one
/// bill, and the same answer for both.
async fn check_join(headers: &[(&str, &str)], node: usize) {
    let site = Site::open(slow()).await;
    let mut first = site.client(0).stream(CLUB_KEY, headers, CONTENT).await;
    while first.received_so_far().text.is_empty() {
        assert!(first.read_frame().await, "an answer");
    }
    let repeat = site.client(node).stream(CLUB_KEY, headers, CONTENT).await;
    let version = repeat.headers["arbutuslug-version"].to_str().expect("text").to_owned();
    let (first, repeat) = tokio::join!(first.collect_events(), repeat.collect_events());
    assert_eq!(first.text, answer_of(&version, CONTENT));
    assert_eq!(first, repeat);
    assert!(repeat.done, "{repeat:?}");
    assert_eq!(site.runs().len(), 1, "ran twice");
    assert_eq!(site.wait_for_bills(1).await.len(), 1);
}

macro_rules! joins {
    ($($name:ident: $headers:expr, $node:literal;)*) => {
        $(#[tokio::test] async fn $name() { check_join($headers, $node).await; })*
    };
}

joins! {
    repeat_here_joins_the_running_one: &[KEY], 0;
    repeat_elsewhere_joins_the_running_one: &[KEY], 1;
    non_idempotent_repeat_here_joins_the_running_one: &[KEY, NON_IDEMPOTENT], 0;
    non_idempotent_repeat_elsewhere_joins_the_running_one: &[KEY, NON_IDEMPOTENT], 1;
}

// The answer was complete, but its caller lost the connection at the last frame and
// sends the request again. The instance still holds the answer and sends it again.
#[tokio::test]
async fn answered_request_is_answered_again_from_memory() {
    let site = Site::open(SiteConfig::default()).await;
    let first = site.client(0).chat(CLUB_KEY, &[KEY, NON_IDEMPOTENT], CONTENT).await.content();
    assert_eq!(site.client(0).chat(CLUB_KEY, &[KEY, NON_IDEMPOTENT], CONTENT).await.content(), first);
    assert_eq!(site.runs().len(), 1);
    assert_eq!(site.wait_for_bills(1).await.len(), 1);
}

// The caller's first answer was lost on its way, and the caller repeats a request
// that must not run twice at another instance. The key's home instance names the
// instance that answered, and the answer held there is sent again; nothing runs.
#[tokio::test]
async fn answered_non_idempotent_request_is_answered_again_elsewhere_without_a_run() {
    let site = Site::open(SiteConfig { instances: 2, ..SiteConfig::default() }).await;
    let first = site.client(0).chat(CLUB_KEY, &[KEY, NON_IDEMPOTENT], CONTENT).await.content();
    let repeat = site.client(1).chat(CLUB_KEY, &[KEY, NON_IDEMPOTENT], CONTENT).await;
    assert_eq!(repeat.content(), first);
    assert_eq!(site.runs().len(), 1);
}

// An idempotent request may run again at another instance so that its caller
// receives an answer. It is still billed once.
#[tokio::test]
async fn answered_idempotent_request_is_billed_once_wherever_repeated() {
    let site = Site::open(SiteConfig { instances: 2, ..SiteConfig::default() }).await;
    let first = site.client(0).chat(CLUB_KEY, &[KEY], CONTENT).await.content();
    site.wait_for_bills(1).await;
    assert_eq!(site.client(1).chat(CLUB_KEY, &[KEY], CONTENT).await.content(), first);
    assert_eq!(site.wait_for_bills(1).await.len(), 1);
}

#[tokio::test]
async fn key_reused_for_another_request_is_refused() {
    let site = Site::open(SiteConfig { instances: 2, ..SiteConfig::default() }).await;
    site.client(0).chat(CLUB_KEY, &[KEY, NON_IDEMPOTENT], CONTENT).await.content();
    let here = site.client(0).chat(CLUB_KEY, &[KEY, NON_IDEMPOTENT], "another").await;
    assert_eq!(here.problem(), (422, "key-reused".into(), "no".into()));
    let elsewhere = site.client(1).chat(CLUB_KEY, &[KEY, NON_IDEMPOTENT], "another").await;
    assert_eq!(elsewhere.problem(), (422, "key-reused".into(), "no".into()));
}

async fn check_outcome(customer: &str, expected: Option<&str>) {
    let site = Site::open(SiteConfig { instances: 2, ..SiteConfig::default() }).await;
    site.client(0).chat(CLUB_KEY, &[KEY, NON_IDEMPOTENT], CONTENT).await.content();
    let reply = site.client(1).get("/v1/requests/season-7", customer).await;
    match expected {
        Some(outcome) => assert_eq!(reply.json()["outcome"], outcome),
        None => assert_eq!(reply.problem().0, 404, "another customer's request is shown"),
    }
}

#[tokio::test]
async fn outcome_is_available_at_any_instance() {
    check_outcome(CLUB_KEY, Some("answered")).await;
}

#[tokio::test]
async fn outcome_is_shown_to_its_own_customer_only() {
    check_outcome(WATER_KEY, None).await;
}

// Two customers use the same key. Each receives its own answer and its own bill.
#[tokio::test]
async fn customers_do_not_share_keys() {
    let site = Site::open(SiteConfig::default()).await;
    let club = site.client(0).chat(CLUB_KEY, &[KEY], "club").await;
    let water = site.client(0).chat(WATER_KEY, &[KEY], "water").await;
    assert_eq!(club.content(), answer_of(club.header("arbutuslug-version"), "club"));
    assert_eq!(water.content(), answer_of(water.header("arbutuslug-version"), "water"));
    assert_eq!(site.wait_for_bills(2).await.len(), 2);
}

// A call that must not be repeated is sent to both instances at once. One runs it;
// the other joins or refuses. There is one effect.
#[tokio::test]
async fn simultaneous_calls_have_one_effect() {
    let site = Site::open(SiteConfig { instances: 2, ..SiteConfig::default() }).await;
    let headers = [("authorization", "Bearer club-key"), KEY];
    let clients = [site.client(0), site.client(1)];
    let call = |node: usize| clients[node].call(Method::POST, "/v1/services/logbook/launches", &headers, "{}");
    let replies = futures::future::join_all((0..8).map(|n| call(n % 2))).await;
    assert!(replies.iter().any(|reply| reply.status.is_success()));
    for reply in replies.iter().filter(|reply| !reply.status.is_success()) {
        assert_ne!(reply.problem().2, "no", "it ran: {}", reply.text);
    }
    assert_eq!(site.service.effects().len(), 1);
    assert_eq!(site.wait_for_bills(1).await.len(), 1);
}

/// Returns what the key's home instance answered when the node registered the
/// request.
fn home_answer(site: &Site, node: usize, key: &str) -> Option<Found> {
    let records = site.nodes[node].links.recorder.query(&Filter::default()).records;
    records.into_iter().find_map(|record| match record.event {
        Event::Request { request, step: Step::Registered { found } } if request.key.as_str() == key => Some(found),
        _ => None,
    })
}

// One key arrives at two instances. The first instance registers it at the key's
// home instance and refuses it because its session cannot be bound. Meanwhile the
// second, whose calls to the home are lost, runs the request without a response
// from the home.
#[tokio::test]
async fn refusal_concurrent_with_a_run_unknown_to_the_home_does_not_say_not_run() {
    let site = Site::open(SiteConfig { instances: 3, ..SiteConfig::default() }).await;
    for node in 0..3 {
        site.client(node).chat(CLUB_KEY, &[], "before").await.content();
    }
    site.objects.switch(objects::Switch::Down);
    site.nodes[1].link_faults.drop_journal_calls.store(true, std::sync::atomic::Ordering::Release);
    let mut concurrent = 0;
    let pairs = (0..6).map(|n| {
        let site = &site;
        async move {
            let (key, content) = (format!("season-{n}"), format!("summary {n}"));
            let bound = [("idempotency-key", key.as_str()), ("arbutuslug-session", key.as_str())];
            let (refused, second) = (site.client(0), site.client(1));
            let repeat = [("idempotency-key", key.as_str())];
            let second_run = async {
                let hung_up =
                    tokio::time::timeout(std::time::Duration::from_secs(3), second.chat(CLUB_KEY, &repeat, &content));
                drop(hung_up.await);
            };
            let (refused, ()) = tokio::join!(refused.chat(CLUB_KEY, &bound, &content), second_run);
            (key, refused)
        }
    });
    for (key, refused) in futures::future::join_all(pairs).await {
        let home_answers = (home_answer(&site, 0, &key), home_answer(&site, 1, &key));
        if home_answers != (Some(Found::Nothing), Some(Found::NoAnswer)) {
            continue;
        }
        concurrent += 1;
        assert!(has_run(&site, &key), "the second instance ran it");
        assert_ne!(refused.problem().2, "no", "{}", refused.text);
    }
    assert!(concurrent > 0, "no key has its home at another instance than the second");
}

fn has_run(site: &Site, key: &str) -> bool {
    let content = key.replace("season-", "summary ");
    site.runs().iter().any(|run| run.prompt.contains(&content))
}

// Two callers with one key wait for one claim; then no engine accepts the request.
// One of them may retry at once and start the run while the other's refusal is
// still on its way.
#[tokio::test]
async fn refusal_sent_to_two_callers_does_not_say_not_run() {
    let site = Site::open(SiteConfig::default()).await;
    site.client(0).chat(CLUB_KEY, &[NON_IDEMPOTENT], "before").await.content();
    site.switch(&engine::Switch::Refuse(standin::fault::Odds::ALWAYS));
    site.objects.switch(objects::Switch::Slow { ms: 300 });
    let (first, second) = (site.client(0), site.client(0));
    let headers = [KEY, NON_IDEMPOTENT];
    let (first, second) =
        tokio::join!(first.chat(CLUB_KEY, &headers, CONTENT), second.chat(CLUB_KEY, &headers, CONTENT));
    for refused in [first, second] {
        assert_eq!(refused.problem(), (503, "no-endpoint".into(), "unknown".into()));
        assert_ne!(refused.header("retry-after-ms"), "");
    }
}

// With a single caller, nobody else can have started a run, so the refusal can say
// "not run".
#[tokio::test]
async fn refusal_sent_to_a_single_caller_says_not_run() {
    let site = Site::open(SiteConfig::default()).await;
    site.switch(&engine::Switch::Refuse(standin::fault::Odds::ALWAYS));
    let refused = site.client(0).chat(CLUB_KEY, &[KEY, NON_IDEMPOTENT], CONTENT).await;
    assert_eq!(refused.problem(), (503, "no-endpoint".into(), "no".into()));
}
