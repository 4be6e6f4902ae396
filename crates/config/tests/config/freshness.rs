//! When an instance may accept new work, and when it must not.

use std::time::Duration;

use timeline::{Event, Filter};
use tokio::time::sleep;

use crate::site::{Options, Site, model, put};

/// Longer than the freshness bound.
const PAST_BOUND: Duration = Duration::from_secs(8);

async fn settled_site(options: Options) -> Site {
    let site = Site::open(options).await;
    put(site.config(0), model("m", 1)).await.expect("accepted");
    site.wait(1).await;
    sleep(Duration::from_secs(2)).await;
    site
}

fn fresh(site: &Site) -> Vec<bool> {
    site.instances.iter().map(|instance| instance.config.fresh()).collect()
}

#[tokio::test(start_paused = true)]
async fn stays_fresh_when_nothing_changes() {
    let site = settled_site(Options::default()).await;
    for _ in 0..60 {
        sleep(Duration::from_secs(1)).await;
        assert_eq!(fresh(&site), [true; 4]);
    }
}

/// The platform is unavailable for all instances. Requests are still served: no
/// change can be accepted anywhere, and instances in more than half of the failure
/// domains confirm to each other that they have nothing newer.
#[tokio::test(start_paused = true)]
async fn site_stays_fresh_during_a_platform_outage() {
    let site = settled_site(Options::default()).await;
    site.platform.set_down(true);
    for _ in 0..60 {
        sleep(Duration::from_secs(1)).await;
        assert_eq!(fresh(&site), [true; 4]);
    }
}

/// One instance is cut off from the platform and its peers. A change accepted after
/// that cannot reach it, so it must refuse requests after the freshness bound;
/// otherwise it would keep sending work to a withdrawn version.
#[tokio::test(start_paused = true)]
async fn partitioned_instance_becomes_stale_and_recovers() {
    let site = settled_site(Options::default()).await;
    site.instances[3].client.set_down(true);
    site.cut(3, true);
    sleep(PAST_BOUND).await;
    assert_eq!(fresh(&site), [true, true, true, false]);
    put(site.config(0), model("m", 2)).await.expect("accepted");
    sleep(PAST_BOUND).await;
    assert_eq!(site.generations(), [2, 2, 2, 1]);
    site.cut(3, false);
    sleep(Duration::from_secs(3)).await;
    assert_eq!(site.generations(), [2; 4]);
    assert_eq!(fresh(&site), [true; 4]);
    let events = site.instances[3].recorder.query(&Filter::default()).records;
    let transitions = events.iter().filter(|record| matches!(record.event, Event::Freshness { .. })).count();
    assert_eq!(transitions, 3, "fresh, stale, fresh");
}

/// Two of four failure domains are cut off together. They reach each other but must
/// still become stale: the other half may reach the platform and may have accepted
/// a withdrawal.
#[tokio::test(start_paused = true)]
async fn half_of_the_domains_is_no_quorum() {
    let site = settled_site(Options { instances: 2, domains: 4, ..Options::default() }).await;
    site.platform.set_down(true);
    sleep(PAST_BOUND).await;
    assert_eq!(fresh(&site), [false; 2]);
}

/// An instance starts while the platform is unavailable. It loads the highest
/// generation that its peers have and accepts work with it.
#[tokio::test(start_paused = true)]
async fn instance_that_starts_in_an_outage_loads_the_state_from_peers() {
    let options = Options::default();
    let mut site = settled_site(options).await;
    for versions in 2..200 {
        put(site.config(0), model("m", versions)).await.expect("accepted");
    }
    site.platform.set_down(true);
    site.start(options).await;
    sleep(Duration::from_secs(3)).await;
    assert_eq!(site.generations(), [199; 5]);
    assert!(site.config(4).fresh());
}

/// The whole process is paused for a minute and resumes. Even before any of its
/// tasks has run, it must accept no new work, since a version may have been
/// withdrawn meanwhile. It accepts work again once its state is confirmed.
#[tokio::test(start_paused = true)]
async fn paused_process_resumes_stale() {
    let site = settled_site(Options::default()).await;
    tokio::time::advance(Duration::from_mins(1)).await;
    assert_eq!(fresh(&site), [false; 4]);
    sleep(Duration::from_secs(3)).await;
    assert_eq!(fresh(&site), [true; 4]);
}

/// Peers' answers take longer than the freshness bound. Each was correct when sent,
/// but confirms nothing by the time it arrives.
#[tokio::test(start_paused = true)]
async fn answer_older_than_the_bound_confirms_nothing() {
    let site = settled_site(Options { instances: 2, domains: 0, ..Options::default() }).await;
    site.instances[1].client.set_down(true);
    for (delay, expected) in [(1, true), (3, false), (1, true)] {
        site.slow_links(Duration::from_secs(delay));
        sleep(PAST_BOUND).await;
        assert_eq!(fresh(&site), [true, expected], "{delay} s each way");
    }
}

/// The settings list only one of four failure domains, and the instance in it is cut
/// off. It has received messages from the other domains and must not count itself
/// as the whole site, or it would stay fresh forever.
#[tokio::test(start_paused = true)]
async fn domains_missing_from_the_settings_count() {
    let site = settled_site(Options { domains: 1, ..Options::default() }).await;
    site.instances[0].client.set_down(true);
    site.cut(0, true);
    sleep(PAST_BOUND).await;
    assert_eq!(fresh(&site), [false, true, true, true]);
}

/// A site of one instance has no peers, and no other instance can change anything:
/// it stays fresh while the platform is unavailable.
#[tokio::test(start_paused = true)]
async fn single_instance_stays_fresh_during_an_outage() {
    let site = settled_site(Options { instances: 1, domains: 1, ..Options::default() }).await;
    site.platform.set_down(true);
    sleep(PAST_BOUND).await;
    assert_eq!(fresh(&site), [true]);
}

#[tokio::test(start_paused = true)]
async fn instances_stay_fresh_under_a_tight_bound() {
    let site = settled_site(Options { freshness: Duration::from_secs(1), readers: false, ..Options::default() }).await;
    site.config(0).set_reader(true).await;
    sleep(Duration::from_secs(3)).await;
    for _ in 0..600 {
        sleep(Duration::from_millis(100)).await;
        assert_eq!(fresh(&site), [true; 4]);
    }
}
