//! Budgets, queues and retry budgets: refusals are immediate and state correctly
//! whether the request ran.

use standin::{
    engine::{self, Switch},
    fault::Odds,
};

use crate::site::{CLUB_KEY, Site, SiteConfig, WATER_KEY};

// The budget covers a few requests. The others are refused before they run, and the
// billed amount stays within the budget.
#[tokio::test]
async fn spent_budget_refuses_before_the_run() {
    let site = Site::open(SiteConfig::default()).await;
    let small = site.initial_objects("").replacen("amount: \"100\"", "amount: \"0.05\"", 1);
    site.apply(&small).await;
    let mut refused = 0;
    for n in 0..30 {
        let reply = site.client(0).chat(CLUB_KEY, &[], &format!("summary {n}")).await;
        if reply.status.is_success() {
            continue;
        }
        refused += 1;
        assert_eq!(reply.problem(), (402, "budget-spent".into(), "no".into()));
    }
    assert!(refused > 0, "nothing was refused");
    assert_eq!(site.runs().len(), 30 - refused);
    let billed: u64 = site.wait_for_bills(30 - refused).await.iter().map(|bill| bill.amount.0).sum();
    assert!(billed <= 50_000_000, "{billed} nanos of a budget of 0.05");
    site.client(0).chat(WATER_KEY, &[], "another customer").await.content();
}

// All engines lose their answers. Each request receives its final response at once,
// and retries stay within the customer's retry budget.
#[tokio::test]
async fn retries_stay_within_their_budget() {
    let site = Site::open(SiteConfig::default()).await;
    site.switch(&Switch::LoseAnswers(Odds::ALWAYS));
    for n in 0..40 {
        let reply = site.client(0).chat(CLUB_KEY, &[], &format!("summary {n}")).await;
        assert_eq!(reply.problem().2, "unknown");
    }
    let runs = site.runs().len();
    assert!(runs <= 40 + 4 + 5 + 1, "{runs} dispatches for 40 requests at a share of a tenth and a burst of five");
}

// More requests arrive than can complete by their deadlines. The excess is refused
// as not run, long before its deadline; the others are answered.
#[tokio::test]
async fn overload_refuses_early_with_a_correct_outcome() {
    let engine =
        engine::Options { slots: 2, queue: 0, first_token_ms: 60, per_token_ms: 0, ..engine::Options::default() };
    let site = Site::open(SiteConfig { engine, ..SiteConfig::default() }).await;
    for n in 0..4 {
        site.client(0).chat(CLUB_KEY, &[], &format!("warm {n}")).await.content();
    }
    let client = site.client(0);
    let calls = (0..60).map(|n| async move {
        client.chat(CLUB_KEY, &[("arbutuslug-deadline-ms", "400")], &format!("summary {n}")).await
    });
    let replies = futures::future::join_all(calls).await;
    let (answered, refused): (Vec<_>, Vec<_>) = replies.iter().partition(|reply| reply.status.is_success());
    assert!(!answered.is_empty() && !refused.is_empty(), "{} answered", answered.len());
    for reply in &refused {
        let (_, kind, ran) = reply.problem();
        assert!(matches!(kind.as_str(), "deadline" | "busy" | "no-endpoint"), "{}", reply.text);
        if ran == "no" && kind != "deadline" {
            assert!(reply.json()["retry_after_ms"].is_u64(), "{}", reply.text);
        }
    }
    assert_eq!(site.wait_for_bills(4 + answered.len()).await.len(), 4 + answered.len());
}

// Half of the engines are lost while requests wait for admission. No request waits
// until its deadline for the lost engine's slots: each receives a complete answer
// or a correct statement of whether it ran, and every answer is billed.
#[tokio::test]
async fn endpoint_lost_at_admit() {
    let engine =
        engine::Options { slots: 2, queue: 0, first_token_ms: 60, per_token_ms: 0, ..engine::Options::default() };
    let site = Site::open(SiteConfig { engine, ..SiteConfig::default() }).await;
    site.client(0).chat(CLUB_KEY, &[], "warm").await.content();
    let client = site.client(0);
    let lost = async {
        site.wait_until(|site| site.runs().len() > 4).await;
        site.engines[0].switch(Switch::LoseAnswers(Odds::ALWAYS));
    };
    let calls = (0..30).map(|n| async move {
        client.chat(CLUB_KEY, &[("arbutuslug-deadline-ms", "30000")], &format!("summary {n}")).await
    });
    let (replies, ()) = tokio::join!(futures::future::join_all(calls), lost);
    let (answered, refused): (Vec<_>, Vec<_>) = replies.iter().partition(|reply| reply.status.is_success());
    assert!(answered.len() >= 4, "{} answered", answered.len());
    for reply in &refused {
        let (_, kind, ran) = reply.problem();
        assert_ne!(kind, "deadline", "it waited until its deadline: {}", reply.text);
        if ran == "no" {
            assert!(reply.json()["retry_after_ms"].is_u64(), "{}", reply.text);
        }
    }
    assert_eq!(site.wait_for_bills(1 + answered.len()).await.len(), 1 + answered.len());
}

// An instance is lost while most of its requests wait for admission. Their callers
// see the connections break and repeat the keys at the other instance. Each
// receives its complete answer there, and each key is billed once.
#[tokio::test]
async fn instance_lost_at_admit() {
    let engine =
        engine::Options { slots: 1, queue: 0, first_token_ms: 300, per_token_ms: 0, ..engine::Options::default() };
    let mut site = Site::open(SiteConfig { instances: 2, engine, ..SiteConfig::default() }).await;
    let keys: Vec<_> = (0..6).map(|n| format!("sheet-{n}")).collect();
    let first: Vec<_> = keys
        .iter()
        .map(|key| {
            let (client, key) = (site.client(0), key.clone());
            tokio::spawn(async move { client.chat(CLUB_KEY, &[("idempotency-key", &key)], &key).await })
        })
        .collect();
    site.wait_until(|site| !site.runs().is_empty()).await;
    drop(site.nodes.remove(0));
    first.iter().for_each(tokio::task::JoinHandle::abort);
    for key in &keys {
        site.client(0).chat(CLUB_KEY, &[("idempotency-key", key)], key).await.content();
    }
    let bills = site.wait_for_bills(keys.len()).await;
    assert_eq!(bills.len(), keys.len());
}
