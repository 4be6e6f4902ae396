//! Tests of which instance holds the lease under faults.

use std::time::Duration;

use control::lease::{self, Term};
use store::fake::{Client, Loss, Platform};
use tokio::sync::watch;
use world::instance::Incarnation;

use crate::support::{self, Pause, Process, seconds};

/// An instance that wants the lease.
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

    /// Returns the epoch under which it would give orders now, if any.
    fn epoch(&self) -> Option<u64> {
        self.terms.borrow().filter(|term| !term.remaining().is_zero()).map(|term| term.epoch)
    }
}

/// A fault, injected at a given time.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// Pauses an instance.
    Pause(usize),
    /// Resumes an instance.
    Resume(usize),
    /// Takes the platform down.
    Down,
    /// Brings the platform back.
    Up,
    /// Cuts an instance off from the platform.
    Disconnect(usize),
    /// Reconnects an instance to the platform.
    Reconnect(usize),
    /// Delays every response of the platform.
    Slow(Duration),
    /// Makes an instance's `n`th write from now fail.
    Lose(usize, u64, Loss),
    /// No fault: checks that no instance holds the lease at this time.
    CheckFree,
}

/// Expected holder at the end.
#[derive(Debug, Clone, Copy)]
enum End {
    Only(usize),
    Either,
}

/// The platform and the instances of one test.
struct Fixture {
    platform: Platform,
    holders: Vec<Holder>,
}

impl Fixture {
    /// Injects a fault, or performs the check of [`Fault::CheckFree`].
    fn inject(&self, fault: Fault) {
        match fault {
            Fault::Pause(number) => self.holders[number].pause.set(true),
            Fault::Resume(number) => self.holders[number].pause.set(false),
            Fault::Down => self.platform.set_down(true),
            Fault::Up => self.platform.set_down(false),
            Fault::Disconnect(number) => self.holders[number].client.set_down(true),
            Fault::Reconnect(number) => self.holders[number].client.set_down(false),
            Fault::Slow(by) => self.platform.set_slow(by),
            Fault::Lose(number, n, loss) => self.holders[number].client.lose(n, loss),
            Fault::CheckFree => {
                assert!(self.holders.iter().all(|holder| holder.epoch().is_none()), "an instance holds the lease");
            }
        }
    }
}

/// Runs two instances through faults at the given seconds. The second starts
/// one second after the first; faults before second 0 are injected before the
/// first has run. At no time may both hold the lease; at the end the given one
/// must hold it under the given epoch.
async fn check(faults: &[(f64, Fault)], end: f64, holder: End, epoch: u64) {
    let platform = Platform::open();
    let mut fixture = Fixture { platform: platform.clone(), holders: vec![Holder::spawn(&platform, 0)] };
    for (_, fault) in faults.iter().filter(|(at, _)| *at < 0.0) {
        fixture.inject(*fault);
    }
    seconds(1.0).await;
    fixture.holders.push(Holder::spawn(&platform, 1));
    let mut pending: Vec<_> = faults.iter().filter(|(at, _)| *at >= 0.0).collect();
    let mut now = 0.0;
    while now < end {
        while pending.first().is_some_and(|(at, _)| *at <= now) {
            fixture.inject(pending.remove(0).1);
        }
        let held: Vec<_> = fixture.holders.iter().filter_map(Holder::epoch).collect();
        assert!(held.len() <= 1, "two instances hold the lease at {now} s: {held:?}");
        seconds(0.1).await;
        now += 0.1;
    }
    let held: Vec<_> = fixture.holders.iter().map(Holder::epoch).collect();
    let other = |number: usize| held[1 - number].is_none();
    let as_expected = match holder {
        End::Only(number) => held[number] == Some(epoch) && other(number),
        End::Either => (0..2).any(|number| held[number] == Some(epoch) && other(number)),
    };
    assert!(as_expected, "epochs held: {held:?}, expected {holder:?} under epoch {epoch}");
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
    /// Without faults the first instance keeps the lease over many terms.
    no_faults: [], after 60.0 s, FIRST holds epoch 1;

    /// The holder is paused for 20 s and resumes; meanwhile the other instance
    /// has waited out the term and taken over. The resumed instance must see
    /// by its own clock that its term has ended.
    holder_paused_and_resumed: [(3.0, Fault::Pause(0)), (23.0, Fault::Resume(0))], after 40.0 s, SECOND holds epoch 2;

    /// A pause shorter than the term causes no take-over, because the
    /// successor counts from when it read the last renewal.
    short_pause: [(3.0, Fault::Pause(0)), (6.0, Fault::Resume(0))], after 40.0 s, FIRST holds epoch 1;

    /// Both are paused and the holder resumes last. What each has read is out
    /// of date: the first to resume must wait a whole term again before it
    /// takes the lease.
    both_paused: [
        (3.0, Fault::Pause(0)), (4.0, Fault::Pause(1)), (30.0, Fault::Resume(1)), (50.0, Fault::Resume(0)),
    ], after 70.0 s, SECOND holds epoch 2;

    /// The write that takes the free lease takes effect and its response is
    /// lost. Reading the lease back shows the own write, so the instance holds
    /// it without a wait.
    answer_lost_on_create: [(-1.0, Fault::Lose(0, 1, Loss::After))], after 20.0 s, FIRST holds epoch 1;

    /// The write that takes the free lease is lost before it takes effect: it
    /// is sent again.
    create_lost: [(-1.0, Fault::Lose(0, 1, Loss::Before))], after 20.0 s, FIRST holds epoch 1;

    /// A renewal takes effect and its response is lost; the next write is
    /// refused.
    answer_lost_on_renewal: [
        (3.0, Fault::Lose(0, 1, Loss::After)), (3.0, Fault::Lose(0, 2, Loss::Refused)),
    ], after 30.0 s, FIRST holds epoch 1;

    /// A renewal arrives after 4 s, long after the attempt timed out. The next
    /// renewal has taken effect by then, so the late one fails on its
    /// condition.
    late_renewal: [(3.0, Fault::Lose(0, 1, Loss::Late(Duration::from_secs(4))))], after 30.0 s, FIRST holds epoch 1;

    /// The holder is cut off from the platform, the other instance is not: its
    /// term ends by its own clock before the other takes over.
    holder_cut_off: [(3.0, Fault::Disconnect(0)), (40.0, Fault::Reconnect(0))], after 60.0 s, SECOND holds epoch 2;

    /// A take-over takes effect and its response is lost.
    answer_lost_on_take_over: [
        (3.0, Fault::Pause(0)), (3.0, Fault::Lose(1, 1, Loss::After)), (40.0, Fault::Resume(0)),
    ], after 60.0 s, SECOND holds epoch 2;

    /// The platform is down for 30 s: no instance may hold the lease past the
    /// term, and one takes it afterwards. Neither has read the last renewal,
    /// so both start to wait at their first read, and whichever reads first
    /// takes it.
    platform_down: [
        (3.0, Fault::Down), (9.0, Fault::CheckFree), (32.0, Fault::CheckFree), (33.0, Fault::Up),
    ], after 60.0 s, EITHER holds epoch 2;

    /// Every response takes 900 ms: renewals still fit into the term.
    platform_slow: [(3.0, Fault::Slow(Duration::from_millis(900)))], after 60.0 s, FIRST holds epoch 1;

    /// Two faults together: the holder is paused while the platform is down,
    /// and resumes during the outage.
    paused_in_an_outage: [
        (3.0, Fault::Pause(0)), (4.0, Fault::Down), (15.0, Fault::Resume(0)), (30.0, Fault::Up),
    ], after 60.0 s, SECOND holds epoch 2;

    /// Two faults together: the second instance takes over while the holder is
    /// paused, the response is lost, and it is cut off from reading the lease
    /// back.
    take_over_unknown: [
        (3.0, Fault::Pause(0)), (3.0, Fault::Lose(1, 1, Loss::After)), (11.0, Fault::Disconnect(1)),
        (20.0, Fault::Reconnect(1)), (60.0, Fault::Resume(0)),
    ], after 80.0 s, SECOND holds epoch 2;
}
