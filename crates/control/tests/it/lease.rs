//! Who holds the lease under faults.

use std::time::Duration;

use control::lease::{self, Term};
use store::fake::{Client, Loss, Platform};
use tokio::sync::watch;
use world::instance::Incarnation;

use crate::support::{self, Pause, Process, seconds};

struct Holder {
    pause: Pause,
    client: Client,
    terms: watch::Receiver<Option<Term>>,
}

impl Holder {
    fn spawn(platform: &Platform, number: usize) -> Self {
        let (client, handle) = support::platform(platform, number);
        let settings = lease::Settings::new("rollouts", support::instance(number), Incarnation(1));
        let (sender, terms) = watch::channel(None);
        let pause = Pause::default();
        let work = lease::run(settings, handle, support::recorder(number), sender);
        tokio::spawn(Process::new(pause.clone(), work));
        Self { pause, client, terms }
    }

    /// The epoch it would give orders under now.
    fn epoch(&self) -> Option<u64> {
        self.terms.borrow().filter(|term| !term.left().is_zero()).map(|term| term.epoch)
    }
}

/// What goes wrong at a time.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Pause(usize),
    Wake(usize),
    Down,
    Up,
    Cut(usize),
    Mend(usize),
    Slow(Duration),
    /// The holder's `n`th write from now.
    Lose(usize, u64, Loss),
    /// No fault: nobody may hold at this time.
    Free,
}

/// Who holds at the end.
#[derive(Debug, Clone, Copy)]
enum End {
    Only(usize),
    Either,
}

struct World {
    platform: Platform,
    holders: Vec<Holder>,
}

impl World {
    fn strike(&self, fault: Fault) {
        match fault {
            Fault::Pause(who) => self.holders[who].pause.set(true),
            Fault::Wake(who) => self.holders[who].pause.set(false),
            Fault::Down => self.platform.set_down(true),
            Fault::Up => self.platform.set_down(false),
            Fault::Cut(who) => self.holders[who].client.set_down(true),
            Fault::Mend(who) => self.holders[who].client.set_down(false),
            Fault::Slow(by) => self.platform.set_slow(by),
            Fault::Lose(who, n, loss) => self.holders[who].client.lose(n, loss),
            Fault::Free => assert!(self.holders.iter().all(|holder| holder.epoch().is_none()), "somebody holds"),
        }
    }
}

/// Runs two holders through faults at their seconds, the first a second ahead
/// of the other; faults before second 0 strike it before it starts. At no time may both hold; at the end the given one holds,
/// under the given epoch.
async fn check(faults: &[(f64, Fault)], end: f64, holder: End, epoch: u64) {
    let platform = Platform::open();
    let mut world = World { platform: platform.clone(), holders: vec![Holder::spawn(&platform, 0)] };
    for (_, fault) in faults.iter().filter(|(at, _)| *at < 0.0) {
        world.strike(*fault);
    }
    seconds(1.0).await;
    world.holders.push(Holder::spawn(&platform, 1));
    let mut pending: Vec<_> = faults.iter().filter(|(at, _)| *at >= 0.0).collect();
    let mut now = 0.0;
    while now < end {
        while pending.first().is_some_and(|(at, _)| *at <= now) {
            world.strike(pending.remove(0).1);
        }
        let held: Vec<_> = world.holders.iter().filter_map(Holder::epoch).collect();
        assert!(held.len() <= 1, "at {now} s two hold: {held:?}");
        seconds(0.1).await;
        now += 0.1;
    }
    let held: Vec<_> = world.holders.iter().map(Holder::epoch).collect();
    let other = |place: usize| held[1 - place].is_none();
    let right = match holder {
        End::Only(place) => held[place] == Some(epoch) && other(place),
        End::Either => (0..2).any(|place| held[place] == Some(epoch) && other(place)),
    };
    assert!(right, "{held:?}, {holder:?} wanted under epoch {epoch}");
}

const FIRST: End = End::Only(0);
const SECOND: End = End::Only(1);
const EITHER: End = End::Either;

macro_rules! cases {
    ($($(#[doc = $doc:literal])* $name:ident: $faults:expr, after $end:literal s, $holder:ident holds epoch $epoch:literal;)*) => {
        $($(#[doc = $doc])* #[tokio::test(start_paused = true)]
        async fn $name() {
            check(&$faults, $end, $holder, $epoch).await;
        })*
    };
}

cases! {
    /// Nothing goes wrong: the first keeps it over many terms.
    undisturbed: [], after 60.0 s, FIRST holds epoch 1;

    /// Operators see a roll-out stand still, then go on. The holder is paused
    /// for 20 s and wakes; meanwhile the other waited out its term and took
    /// over. The one that wakes must find its term over by its own clock.
    paused_and_woken: [(3.0, Fault::Pause(0)), (23.0, Fault::Wake(0))], after 40.0 s, SECOND holds epoch 2;

    /// A pause shorter than the term costs nothing: no take-over, because the
    /// successor counts from when it read the last renewal.
    short_pause: [(3.0, Fault::Pause(0)), (6.0, Fault::Wake(0))], after 40.0 s, FIRST holds epoch 1;

    /// Both were paused, the holder wakes last. Each finds what it knew out of
    /// date: the first to wake must wait a whole term again before it takes.
    both_paused: [
        (3.0, Fault::Pause(0)), (4.0, Fault::Pause(1)), (30.0, Fault::Wake(1)), (50.0, Fault::Wake(0)),
    ], after 70.0 s, SECOND holds epoch 2;

    /// Taking the free lease takes effect, its answer is lost. Reading back
    /// shows the own nonce: it holds, nobody waits.
    answer_lost_on_create: [(-1.0, Fault::Lose(0, 1, Loss::After))], after 20.0 s, FIRST holds epoch 1;

    /// The same request never arrived: it is sent again.
    create_lost: [(-1.0, Fault::Lose(0, 1, Loss::Before))], after 20.0 s, FIRST holds epoch 1;

    /// A renewal takes effect, its answer is lost, then another's is refused.
    answer_lost_on_renewal: [
        (3.0, Fault::Lose(0, 1, Loss::After)), (3.0, Fault::Lose(0, 2, Loss::Refused)),
    ], after 30.0 s, FIRST holds epoch 1;

    /// A renewal arrives only after 4 s, long after the try was given up. The
    /// next one stands by then, so the late one fails on its condition.
    late_renewal: [(3.0, Fault::Lose(0, 1, Loss::Late(Duration::from_secs(4))))], after 30.0 s, FIRST holds epoch 1;

    /// The holder loses the platform, the other does not: its term ends by its
    /// own clock before the other takes over.
    holder_cut_off: [(3.0, Fault::Cut(0)), (40.0, Fault::Mend(0))], after 60.0 s, SECOND holds epoch 2;

    /// A take-over's answer is lost after its effect.
    answer_lost_on_take_over: [
        (3.0, Fault::Pause(0)), (3.0, Fault::Lose(1, 1, Loss::After)), (40.0, Fault::Wake(0)),
    ], after 60.0 s, SECOND holds epoch 2;

    /// The platform is down for 30 s: nobody may hold past the term, and one
    /// takes it again afterwards. Neither had read the last renewal, so both
    /// wait anew from their first read, and whoever reads first takes it.
    platform_down: [
        (3.0, Fault::Down), (9.0, Fault::Free), (32.0, Fault::Free), (33.0, Fault::Up),
    ], after 60.0 s, EITHER holds epoch 2;

    /// Every answer takes 900 ms: renewals still fit into the term.
    platform_slow: [(3.0, Fault::Slow(Duration::from_millis(900)))], after 60.0 s, FIRST holds epoch 1;

    /// Two faults together: the holder is paused while the platform is down,
    /// and wakes during the outage.
    paused_in_an_outage: [
        (3.0, Fault::Pause(0)), (4.0, Fault::Down), (15.0, Fault::Wake(0)), (30.0, Fault::Up),
    ], after 60.0 s, SECOND holds epoch 2;

    /// Two faults together: the follower takes over while the holder sleeps,
    /// loses its answer, and is cut off from reading it back.
    take_over_unknown: [
        (3.0, Fault::Pause(0)), (3.0, Fault::Lose(1, 1, Loss::After)), (11.0, Fault::Cut(1)),
        (20.0, Fault::Mend(1)), (60.0, Fault::Wake(0)),
    ], after 80.0 s, SECOND holds epoch 2;
}
