//! Sessions keep their version; a withdrawal moves one once and says so.

use crate::{
    client::Reply,
    site::{CLUB, Plan, Site, WATER},
};

const SESSION: &str = "arbutuslug-session";
const MOVED: &str = "arbutuslug-session-moved";

/// The model with a further version of tier 0, and who serves it.
fn with_second_version(site: &Site, first: &str) -> String {
    let file = site.file("").replace("versions: [\"1\", \"9\"]", "versions: [\"1\", \"2\", \"9\"]");
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

// A session starts on version 1; version 2 then takes new sessions. The old
// session stays. Version 1 is withdrawn: the session moves with its next
// request, is told so once, and stays on version 2 from then on.
async fn check_session(named: Option<&str>, instances: usize) {
    let site = Site::open(Plan { instances, ..Plan::default() }).await;
    let ask = async |node: usize, session: &str| {
        let reply = site.client(node).chat(CLUB, &[(SESSION, session)], "next").await;
        reply.content();
        reply
    };
    let only_one =
        with_second_version(&site, "serving").replace("versions: [\"1\", \"2\", \"9\"]", "versions: [\"1\"]");
    site.apply(&only_one).await;
    let first = match named {
        Some(name) => ask(0, name).await,
        None => site.client(0).chat(CLUB, &[], "next").await,
    };
    assert_eq!(version(&first), "summary@1");
    let session = first.header(SESSION).to_owned();
    assert_eq!(named.is_some_and(|name| name == session), named.is_some(), "a caller's own name stays");

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
        assert_eq!((version(&after), after.header(MOVED)), ("summary@2", ""), "moved once, told once");
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
// before its answer: the caller never hears of the move. The next request, at
// another instance, finds the session moved already, and has to tell all the
// same; the one after it need not.
#[tokio::test]
async fn move_whose_answer_was_lost_is_told_with_the_next() {
    let engine = standin::engine::Options { per_token_ms: 20, ..standin::engine::Options::default() };
    let site = Site::open(Plan { engine, instances: 2, ..Plan::default() }).await;
    let headers = [(SESSION, "dispatch-desk")];
    let only_one =
        with_second_version(&site, "serving").replace("versions: [\"1\", \"2\", \"9\"]", "versions: [\"1\"]");
    site.apply(&only_one).await;
    assert_eq!(version(&site.client(0).chat(CLUB, &headers, "first").await), "summary@1");
    site.apply(&with_second_version(&site, "withdrawn")).await;

    let runs = site.runs().len();
    let client = site.client(0);
    let lost = tokio::spawn(async move { client.chat(CLUB, &headers, "moves it").await });
    site.until(|site| site.runs().len() > runs).await;
    lost.abort();
    site.until(|site| site.nodes[0].entry.in_flight() == 0).await;

    let next = site.client(1).chat(CLUB, &headers, "next").await;
    assert_eq!((version(&next), next.header(MOVED)), ("summary@2", "summary@1"));
    let after = site.client(0).chat(CLUB, &headers, "after").await;
    assert_eq!((version(&after), after.header(MOVED)), ("summary@2", ""));
}

async fn check_handle(customer: &str, change: impl Fn(&str) -> String, expected: &str) {
    let site = Site::open(Plan::default()).await;
    let first = site.client(0).chat(CLUB, &[], "first").await;
    let handle = change(first.header(SESSION));
    let reply = site.client(0).chat(customer, &[(SESSION, &handle)], "next").await;
    let (_, kind, ran) = reply.problem();
    assert_eq!((kind.as_str(), ran.as_str()), (expected, "no"));
    assert_eq!(site.runs().len(), 1);
}

// A handle is made up, changed, or another customer's: nothing is run with it.
#[tokio::test]
async fn changed_handle_is_refused() {
    check_handle(CLUB, |handle| format!("{handle}A"), "bad-session").await;
}

#[tokio::test]
async fn handle_of_another_customer_is_refused() {
    check_handle(WATER, str::to_owned, "bad-session").await;
}

#[tokio::test]
async fn handle_without_signature_is_refused() {
    check_handle(CLUB, |handle| handle.rsplit_once('.').expect("parts").0.to_owned(), "bad-session").await;
}
