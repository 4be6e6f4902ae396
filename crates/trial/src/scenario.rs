//! One deployment under traffic, struck by faults: what the fault matrix runs.
//!
//! Traffic of one kind ([`Focus`]) is played by well-behaved callers. When a
//! quarter of it is through, the [`Blow`]s strike; a while later everything
//! that can be mended is mended. In the end what the callers got is held
//! against the stand-ins' own records, and each broken promise is listed.

use std::{
    collections::BTreeSet,
    path::{Path, PathBuf},
    time::Duration,
};

use standin::{engine, fault::Odds, objects, rating, service};
use world::endpoint;

use crate::{
    books,
    caller::{End, Sent},
    check,
    fleet::Fleet,
    harm,
    plan::{self, Ask, Kind, Repeat, Script, Session},
    site::{Secrets, Site},
    trace,
    traffic::{self, Traffic},
    withdraw::Withdrawal,
};

/// From the blows to their mending.
const STRUCK: Duration = Duration::from_millis(1_500);
/// Share of the traffic before the blows.
const STRIKE_AFTER: usize = 4;
/// Share of calls struck by faults that come by chance.
const SHARE: f64 = 0.2;
/// Events of a stream before it breaks.
const BREAK_AFTER: u64 = 2;
/// How long a frozen instance stands still; long enough to be held lost.
const FROZEN: Duration = Duration::from_secs(8);
/// Added to each answer of a slow platform.
const SLOW_MS: u64 = 400;

/// What the traffic consists of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Focus {
    /// Everything the trial plays.
    Any,
    /// Requests that must not run twice.
    Once,
    /// Streamed chats that may be repeated.
    Streams,
    /// Sessions.
    Sessions,
    /// Calls of plain services.
    Services,
    /// Keys that are sent twice, at two instances.
    Repeats,
}

/// A fault and where it strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Blow {
    /// The object API answers nothing.
    PlatformDown,
    /// The object API answers late.
    PlatformSlow,
    /// Some of its writes take effect and are not answered.
    AnswersLost,
    /// The version under roll-out fails its runs.
    VersionFails,
    /// Every engine is full for a while.
    PoolsFull,
    /// One engine takes runs and answers none.
    EngineLost,
    /// One engine is listed as leaving.
    EngineLeaves,
    /// Streams break, and some cannot be resumed.
    StreamsBreak,
    /// Frames come twice, and frames of others among them.
    FramesOdd,
    /// Plain services break connections before and after the effect.
    ServicesBreak,
    /// The rating service answers nothing.
    RatingDown,
    /// An instance is lost without a word.
    InstanceKilled,
    /// An instance shuts down in order.
    InstanceLeaves,
    /// An instance stands still, is held lost, and wakes.
    InstanceFrozen,
    /// The version under roll-out is withdrawn by an operator.
    Withdrawal,
}

/// What came of it.
#[derive(Debug)]
pub struct Report {
    /// Requests with the whole answer.
    pub whole: usize,
    /// Requests refused for good as not run.
    pub refused: usize,
    /// Requests told that they ran or may have run.
    pub told: usize,
    /// What each of these was told, after how many tries and how long.
    pub told_of: Vec<String>,
    /// Promises that were broken.
    pub breaches: Vec<String>,
    /// Time lines of the requests that these are about, and of those without a
    /// whole answer; a line for each step.
    pub traces: Vec<String>,
    /// Runs at engines on the version under roll-out.
    pub exposed: usize,
    /// Runs at engines.
    pub runs: usize,
    /// From an operator's withdrawal until it was in force everywhere.
    pub withdrawn_after: Option<Duration>,
}

/// A running deployment.
#[derive(Debug)]
pub struct Scenario {
    site: Site,
    fleet: Fleet,
    seed: u64,
    _secrets: Secrets,
}

impl Scenario {
    /// Starts the deployment of an example, `tubig` say.
    ///
    /// # Panics
    ///
    /// When it does not start: there is nothing to test then.
    pub async fn open(example: &str, seed: u64) -> Self {
        let secrets = Secrets::create().expect("the temporary directory can be written");
        let examples: PathBuf = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples")).into();
        let site = Site::open(&examples, example, &secrets, seed).await.unwrap_or_else(|error| panic!("{error}"));
        let fleet = Fleet::spawn(&site).await.unwrap_or_else(|error| panic!("{error}"));
        Self { site, fleet, seed, _secrets: secrets }
    }

    /// Plays traffic, strikes, mends, and checks.
    ///
    /// # Panics
    ///
    /// When the stand-ins' records cannot be read.
    pub async fn run(mut self, focus: Focus, requests: usize, blows: &[Blow]) -> Report {
        let scripts = scripts(&self.site, focus, requests, self.seed);
        let callers = self.fleet.callers(&self.site);
        let strike_at = scripts.len() / STRIKE_AFTER;
        let mut withdrawing = None;
        let Self { site, fleet, .. } = &mut self;
        let traffic = traffic::play(&callers, scripts, |through| {
            if through == strike_at {
                for blow in blows {
                    strike(site, fleet, *blow);
                }
                if blows.contains(&Blow::Withdrawal) {
                    withdrawing = fleet.withdraw(site).map(tokio::spawn);
                }
                mend_later(site);
            }
        })
        .await;
        harm::end(site);
        fleet.left().await;
        let withdrawal = match withdrawing {
            Some(task) => {
                let done = task.await.expect("a withdrawal does not panic");
                Some(done.unwrap_or_else(|error| panic!("{error}")))
            }
            None => None,
        };
        self.report(&traffic, withdrawal.as_ref()).await
    }

    async fn report(mut self, traffic: &Traffic, withdrawal: Option<&Withdrawal>) -> Report {
        let books = books::settled(&self.site, traffic).await.unwrap_or_else(|error| panic!("{error}"));
        let findings = check::check(&self.site.catalog, traffic, &books, withdrawal);
        let new = new_version(&self.site);
        let traces = trace::of(&self.fleet.targets(&self.site), traffic, &findings.0).await;
        self.fleet.shutdown().await;
        let all: Vec<&Sent> = traffic.played.iter().flat_map(|p| p.sent.iter().flatten()).collect();
        let ends: Vec<_> = all.iter().map(|sent| &sent.end).collect();
        Report {
            whole: ends.iter().filter(|end| matches!(end, End::Whole(_))).count(),
            refused: ends.iter().filter(|end| matches!(end, End::Refused(_))).count(),
            told: ends.iter().filter(|end| matches!(end, End::Told(_))).count(),
            told_of: all.iter().filter(|sent| matches!(sent.end, End::Told(_))).map(|sent| describe(sent)).collect(),
            breaches: findings.0.iter().map(|breach| format!("{breach:?}")).collect(),
            traces,
            exposed: books.records.iter().filter(|record| record.version == new).count(),
            runs: books.records.len(),
            withdrawn_after: withdrawal.map(|w| w.took),
        }
    }
}

/// What a request was told of a run that was or may have been.
fn describe(sent: &Sent) -> String {
    let words = sent.may_have_run.as_deref().unwrap_or("nothing in words");
    let refusals: Vec<&str> = sent.not_run.iter().map(|not_run| not_run.detail.as_str()).collect();
    format!("{}: {words}; {} tries in {:?}, refused before as {refusals:?}", sent.key, sent.tries, sent.took)
}

/// The version of the site's roll-out.
fn new_version(site: &Site) -> String {
    let rollout = site.catalog.rollouts().values().next().expect("the examples have a roll-out");
    rollout.version.to_string()
}

/// Scripts of the wanted kind, enough for so many requests.
fn scripts(site: &Site, focus: Focus, requests: usize, seed: u64) -> Vec<Script> {
    let mut count = 0;
    let drawn = plan::scripts(&site.catalog, requests * 20, seed);
    let wanted = drawn.into_iter().filter(|script| fits(script, focus));
    wanted
        .take_while(|script| {
            let before = count;
            count += script.asks.iter().map(Ask::requests).sum::<usize>();
            before < requests
        })
        .collect()
}

fn fits(script: &Script, focus: Focus) -> bool {
    let all = |wanted: &dyn Fn(&Ask) -> bool| script.asks.iter().all(wanted);
    match focus {
        Focus::Any => true,
        Focus::Once => all(&|ask| ask.runs_once()),
        Focus::Streams => all(&|ask| matches!(ask.kind, Kind::Chat { stream: true, once: false, .. })),
        Focus::Sessions => script.session != Session::None,
        Focus::Services => all(&|ask| matches!(ask.kind, Kind::Call { .. })),
        Focus::Repeats => all(&|ask| ask.repeat != Repeat::No),
    }
}

fn strike(site: &Site, fleet: &mut Fleet, blow: Blow) {
    let chance = Odds::share(SHARE);
    let engines = || site.engines.values();
    match blow {
        Blow::PlatformDown => site.objects.switch(objects::Switch::Down),
        Blow::PlatformSlow => site.objects.switch(objects::Switch::Slow { ms: SLOW_MS }),
        Blow::AnswersLost => site.objects.switch(objects::Switch::LoseAnswers(chance)),
        Blow::RatingDown => site.rating.switch(rating::Switch::Down),
        Blow::PoolsFull => engines().for_each(|engine| engine.switch(engine::Switch::Refuse(Odds::ALWAYS))),
        Blow::EngineLost => {
            let lost = engines().next().expect("the examples have engines");
            lost.switch(engine::Switch::LoseAnswers(Odds::ALWAYS));
        }
        Blow::EngineLeaves => {
            let leaving = site.engines.keys().next().map(endpoint::Id::to_string);
            site.list(&BTreeSet::from_iter(leaving));
        }
        Blow::VersionFails => {
            let bad =
                engine::Switch::Bad { version: new_version(site), fault: engine::Fault::Errors, odds: Odds::ALWAYS };
            engines().for_each(|engine| engine.switch(bad.clone()));
        }
        Blow::StreamsBreak => engines().for_each(|engine| {
            engine.switch(engine::Switch::BreakStreams { after: BREAK_AFTER, odds: chance });
            engine.switch(engine::Switch::Forget(Odds::share(0.5)));
        }),
        Blow::FramesOdd => engines().for_each(|engine| {
            engine.switch(engine::Switch::Duplicate(chance));
            engine.switch(engine::Switch::Foreign(chance));
        }),
        Blow::ServicesBreak => site.services.values().for_each(|service| {
            service.switch(service::Switch::BreakBefore(chance));
            service.switch(service::Switch::BreakAfter(chance));
        }),
        Blow::InstanceKilled => fleet.kill_one(),
        Blow::InstanceFrozen => fleet.freeze_one(FROZEN),
        Blow::InstanceLeaves => {
            let name = fleet.leave_one();
            site.list(&BTreeSet::from([name]));
        }
        Blow::Withdrawal => {}
    }
}

/// Mends after a while, also when the traffic stands still until then.
fn mend_later(site: &Site) {
    let (objects, rating) = (site.objects.clone(), site.rating.clone());
    let engines: Vec<_> = site.engines.values().cloned().collect();
    let services: Vec<_> = site.services.values().cloned().collect();
    tokio::spawn(async move {
        tokio::time::sleep(STRUCK).await;
        objects.switch(objects::Switch::Up);
        rating.switch(rating::Switch::Up);
        for engine in engines {
            engine.switch(engine::Switch::Up);
        }
        for service in services {
            service.switch(service::Switch::Up);
        }
    });
}
