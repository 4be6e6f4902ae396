//! Sessions keep their version. A withdrawal moves a session once and is reported
//! to its caller.

use std::sync::atomic::Ordering;

use crate::{
    client::Reply,
    site::{CLUB_KEY, Site, SiteConfig, WATER_KEY},
};

const SESSION: &str = "arbutuslug-session";
const MOVED: &str = "arbutuslug-session-moved";

/// Returns the objects with a further version of tier 0, and a pool that serves it.
fn with_second_version(site: &Site, first: &str) -> String {
    let file = site.initial_objects("").replace("versions: [\"1\", \"9\"]", "versions: [\"1\", \"2\", \"9\"]");
    let release = |number: &str, tier: u8, state: &str| {
        format!(
            "    - {{ version: \"{number}\", tier: {tier}, price: {{ input: \"1\", output: \"2\", currency: EUR }}, state: {state} }}\n"
        )
    };
    let (model, rest) = file.split_once("---\n").expect("documents");
    assert!(model.contains("name: summary"));
    let model = format!(
        "kind: model\nname: summary\nspec:\n  versions:\n{}{}{}",
        release("1", 0, first),
        release("2", 0, "serving"),
        release("9", 1, "withdrawn")
    );
    format!("{model}---\n{rest}").replace("[summary@1, summary@9]", "[summary@1, summary@2, summary@9]")
}

fn version(reply: &Reply) -> &str {
    reply.header("arbutuslug-version")
}

// A session starts on version 1; version 2 then takes new sessions. The old session
// keeps version 1. When version 1 is withdrawn, the session moves with its next
// request. The move is reported once, and the session stays on version 2.
async fn check_session(named: Option<&str>, instances: usize) {
    let site = Site::open(SiteConfig { instances, ..SiteConfig::default() }).await;
    let ask = async |node: usize, session: &str| {
        let reply = site.client(node).chat(CLUB_KEY, &[(SESSION, session)], "next").await;
        reply.content();
        reply
    };
    let only_one =
        with_second_version(&site, "serving").replace("versions: [\"1\", \"2\", \"9\"]", "versions: [\"1\"]");
    site.apply(&only_one).await;
    let first = match named {
        Some(name) => ask(0, name).await,
        None => site.client(0).chat(CLUB_KEY, &[], "next").await,
    };
    assert_eq!(version(&first), "summary@1");
    let session = first.header(SESSION).to_owned();
    assert_eq!(named.is_some_and(|name| name == session), named.is_some(), "a caller's own name is kept");

    site.apply(&with_second_version(&site, "serving")).await;
    for node in 0..instances {
        let kept = ask(node, &session).await;
        assert_eq!((version(&kept), kept.header(MOVED)), ("summary@1", ""), "a session keeps its version");
    }

    site.apply(&with_second_version(&site, "withdrawn")).await;
    let moved = ask(instances - 1, &session).await;
    assert_eq!((version(&moved), moved.header(MOVED)), ("summary@2", "summary@1"));
    let session = moved.header(SESSION).to_owned();
    for node in 0..instances {
        let after = ask(node, &session).await;
        assert_eq!((version(&after), after.header(MOVED)), ("summary@2", ""), "a move is reported once");
    }
}

#[tokio::test]
async fn session_by_handle_moves_once_on_withdrawal() {
    check_session(None, 2).await;
}

#[tokio::test]
async fn session_by_callers_name_moves_once_on_withdrawal() {
    check_session(Some("dispatch-desk"), 2).await;
}

// Version 1 is withdrawn. The request that moves a caller-named session is lost
// before its answer, so the caller does not learn of the move. The next request, at
// another instance, finds the session already moved and must still report the move;
// the one after it must not.
#[tokio::test]
async fn move_in_a_lost_answer_is_reported_by_the_next() {
    let engine = standin::engine::Options { per_token_ms: 20, ..standin::engine::Options::default() };
    let site = Site::open(SiteConfig { engine, instances: 2, ..SiteConfig::default() }).await;
    let headers = [(SESSION, "dispatch-desk")];
    let only_one =
        with_second_version(&site, "serving").replace("versions: [\"1\", \"2\", \"9\"]", "versions: [\"1\"]");
    site.apply(&only_one).await;
    assert_eq!(version(&site.client(0).chat(CLUB_KEY, &headers, "first").await), "summary@1");
    site.apply(&with_second_version(&site, "withdrawn")).await;

    let runs = site.runs().len();
    let client = site.client(0);
    let lost = tokio::spawn(async move { client.chat(CLUB_KEY, &headers, "moves it").await });
    site.wait_until(|site| site.runs().len() > runs).await;
    lost.abort();
    site.wait_until(|site| site.nodes[0].entry.in_flight() == 0).await;

    let next = site.client(1).chat(CLUB_KEY, &headers, "next").await;
    assert_eq!((version(&next), next.header(MOVED)), ("summary@2", "summary@1"));
    let after = site.client(0).chat(CLUB_KEY, &headers, "after").await;
    assert_eq!((version(&after), after.header(MOVED)), ("summary@2", ""));
}

/// Returns the objects with two versions in each tier. The versions in `withdrawn`
/// are withdrawn.
fn two_tiers(site: &Site, withdrawn: &[&str]) -> String {
    let file = site.initial_objects("").replace("versions: [\"1\", \"9\"]", "versions: [\"1\", \"2\", \"8\", \"9\"]");
    let release = |number: &str, tier: u8| {
        let state = if withdrawn.contains(&number) { "withdrawn" } else { "serving" };
        let price = if tier == 0 { "input: \"1\", output: \"2\"" } else { "input: \"10\", output: \"20\"" };
        format!(
            "    - {{ version: \"{number}\", tier: {tier}, price: {{ {price}, currency: EUR }}, state: {state} }}\n"
        )
    };
    let (_, rest) = file.split_once("---\n").expect("documents");
    let versions = [release("1", 0), release("2", 0), release("8", 1), release("9", 1)].concat();
    let model = format!("kind: model\nname: summary\nspec:\n  versions:\n{versions}");
    format!("{model}---\n{rest}").replace("[summary@1, summary@9]", "[summary@1, summary@2, summary@8, summary@9]")
}

/// Returns a caller-named session on versions 2 and 9, and a site where every
/// tier-0 answer fails its rating.
async fn session_on_two_tiers() -> (Site, String) {
    let quality = [("summary@1", 0.0), ("summary@2", 0.0), ("summary@8", 1.0), ("summary@9", 1.0)];
    let quality = quality.map(|(version, quality)| (version.to_owned(), quality)).into();
    let rating = standin::rating::Options { quality, ..standin::rating::Options::default() };
    let site = Site::open(SiteConfig { rating: Some(rating), ..super::cascades::cascade_config(0.0) }).await;
    site.apply(&two_tiers(&site, &["1", "8"])).await;
    for n in 0..60 {
        let (session, before) = (format!("desk-{n}"), site.runs().len());
        site.client(0).chat(CLUB_KEY, &[(SESSION, &session)], &format!("first {n}")).await.content();
        if super::cascades::versions_run(&site).split_off(before) == ["summary@2", "summary@9"] {
            return (site, session);
        }
    }
    panic!("no request went through both tiers: {:?}", super::cascades::versions_run(&site));
}

// Both versions of a session are withdrawn at once. Its next answer that needs both
// tiers comes from the higher one and must report both moves. Otherwise the session
// would be on a version that was never reported to its caller.
#[tokio::test]
async fn moves_on_two_tiers_are_reported_together() {
    let (site, session) = session_on_two_tiers().await;
    site.apply(&two_tiers(&site, &["2", "9"])).await;
    let mut left = std::collections::BTreeSet::from(["summary@2".to_owned(), "summary@9".to_owned()]);
    for n in 0..60 {
        let reply = site.client(0).chat(CLUB_KEY, &[(SESSION, &session)], &format!("next {n}")).await;
        reply.content();
        for version in reply.header(MOVED).split(", ").filter(|version| !version.is_empty()) {
            assert!(left.remove(version), "{version} was reported twice or was never left");
        }
        let answered = match version(&reply) {
            "summary@1" => "summary@2",
            "summary@8" => "summary@9",
            other => panic!("answered by {other}"),
        };
        assert!(!left.contains(answered), "{answered} was left without a report");
        if left.is_empty() {
            return;
        }
    }
    panic!("no answer reported the move from {left:?}");
}

// An answer reports a move, is recorded as having reported it, and is then lost
// with its instance. The request must not run twice, so its repeat is only told
// that it ran. The session's next answer must report the move again.
#[tokio::test]
async fn move_in_an_answer_lost_with_its_instance_is_reported_again() {
    let mut site = Site::open(SiteConfig { instances: 2, ..SiteConfig::default() }).await;
    let headers = [(SESSION, "dispatch-desk")];
    let only_one =
        with_second_version(&site, "serving").replace("versions: [\"1\", \"2\", \"9\"]", "versions: [\"1\"]");
    site.apply(&only_one).await;
    site.client(0).chat(CLUB_KEY, &headers, "first").await.content();
    site.apply(&with_second_version(&site, "withdrawn")).await;

    let once = [(SESSION, "dispatch-desk"), ("arbutuslug-idempotent", "false"), ("idempotency-key", "season-7")];
    let lost = site.client(0).chat(CLUB_KEY, &once, "moves it").await;
    assert_eq!(lost.header(MOVED), "summary@1");
    let survivor = site.client(1);
    drop(site.nodes.remove(0));
    let refused = async || {
        loop {
            // The key is unknown here until its shard has a new home instance.
            let repeat = survivor.chat(CLUB_KEY, &once, "moves it").await;
            let (_, kind, ran) = repeat.problem();
            if kind == "answered-before" {
                return ran;
            }
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
    };
    assert_eq!(refused().await, "yes");

    let next_move = async || {
        loop {
            let next = survivor.chat(CLUB_KEY, &headers, "next").await;
            if next.status == 200 {
                return (version(&next).to_owned(), next.header(MOVED).to_owned());
            }
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
    };
    assert_eq!(next_move().await, ("summary@2".to_owned(), "summary@1".to_owned()));
    assert_eq!(next_move().await, ("summary@2".to_owned(), String::new()));
}

/// Opens a site of three instances with caller-named sessions on version 1, and
/// then withdraws version 1.
async fn site_with_withdrawn_version(sessions: &[&str]) -> Site {
    let site = Site::open(SiteConfig { instances: 3, ..SiteConfig::default() }).await;
    let only_one =
        with_second_version(&site, "serving").replace("versions: [\"1\", \"2\", \"9\"]", "versions: [\"1\"]");
    site.apply(&only_one).await;
    for session in sessions {
        assert_eq!(version(&site.client(0).chat(CLUB_KEY, &[(SESSION, session)], "first").await), "summary@1");
    }
    site.apply(&with_second_version(&site, "withdrawn")).await;
    site
}

const SESSIONS: [&str; 4] = ["desk-1", "desk-2", "desk-3", "desk-4"];

// An answer that reports a move is lost, but its instance is alive. The request
// must not run twice. Its repeat at another instance, whose calls to the sessions'
// home instances are slow, is only told that the request ran. The session's next
// answer must report the move again.
#[tokio::test]
async fn move_in_an_answer_that_a_repeat_cannot_fetch_is_reported_again() {
    let site = site_with_withdrawn_version(&SESSIONS).await;
    for session in SESSIONS {
        let once = [(SESSION, session), ("arbutuslug-idempotent", "false"), ("idempotency-key", session)];
        let lost = site.client(0).chat(CLUB_KEY, &once, "moves it").await;
        assert_eq!(lost.header(MOVED), "summary@1");
        site.nodes[0].link_faults.drop_streams.store(true, Ordering::Release);
        site.nodes[1].link_faults.journal_delay_ms.store(250, Ordering::Release);
        let (_, kind, ran) = site.client(1).chat(CLUB_KEY, &once, "moves it").await.problem();
        assert_eq!((kind.as_str(), ran.as_str()), ("answered-before", "yes"));
        site.nodes[0].link_faults.drop_streams.store(false, Ordering::Release);
        site.nodes[1].link_faults.journal_delay_ms.store(0, Ordering::Release);

        let next = site.client(2).chat(CLUB_KEY, &[(SESSION, session)], "next").await;
        assert_eq!((version(&next), next.header(MOVED)), ("summary@2", "summary@1"), "{session}");
        let after = site.client(2).chat(CLUB_KEY, &[(SESSION, session)], "after").await;
        assert_eq!((version(&after), after.header(MOVED)), ("summary@2", ""), "{session}");
    }
}

// An answer that reports a move is lost with its instance. The session's next
// request arrives before the other instances have detected the loss.
#[tokio::test]
async fn move_in_an_answer_of_a_just_lost_instance_is_reported_again() {
    let mut site = site_with_withdrawn_version(&SESSIONS).await;
    for session in SESSIONS {
        let lost = site.client(0).chat(CLUB_KEY, &[(SESSION, session)], "moves it").await;
        assert_eq!(lost.header(MOVED), "summary@1");
    }
    drop(site.nodes.remove(0));
    let next = SESSIONS.map(|session| {
        let survivor = site.client(0);
        async move {
            loop {
                // Until its home instance is known to be lost, a session cannot be confirmed.
                let next = survivor.chat(CLUB_KEY, &[(SESSION, session)], "next").await;
                if next.status == 200 {
                    return (version(&next).to_owned(), next.header(MOVED).to_owned());
                }
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    });
    for next in futures::future::join_all(next).await {
        assert_eq!(next, ("summary@2".to_owned(), "summary@1".to_owned()));
    }
}

async fn check_handle(customer: &str, change: impl Fn(&str) -> String, expected: &str) {
    let site = Site::open(SiteConfig::default()).await;
    let first = site.client(0).chat(CLUB_KEY, &[], "first").await;
    let handle = change(first.header(SESSION));
    let reply = site.client(0).chat(customer, &[(SESSION, &handle)], "next").await;
    let (_, kind, ran) = reply.problem();
    assert_eq!((kind.as_str(), ran.as_str()), (expected, "no"));
    assert_eq!(site.runs().len(), 1);
}

// A handle is invented, altered or belongs to another customer: nothing runs with
// it.
#[tokio::test]
async fn changed_handle_is_refused() {
    check_handle(CLUB_KEY, |handle| format!("{handle}A"), "bad-session").await;
}

#[tokio::test]
async fn handle_of_another_customer_is_refused() {
    check_handle(WATER_KEY, str::to_owned, "bad-session").await;
}

#[tokio::test]
async fn handle_without_signature_is_refused() {
    check_handle(CLUB_KEY, |handle| handle.rsplit_once('.').expect("parts").0.to_owned(), "bad-session").await;
}
