//! Processes that can be paused, and handles that several tests use.

use std::{
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll, Waker},
    time::Duration,
};

use store::fake::{Client, Platform};
use timeline::{Capacity, Recorder, Source};
use tokio::time::sleep;
use world::instance::{Id, Incarnation};

/// Pauses and resumes a process, as a hypervisor or heavy swapping would.
#[derive(Debug, Clone, Default)]
pub struct Pause(Arc<Mutex<PauseState>>);

#[derive(Debug, Default)]
struct PauseState {
    on: bool,
    waker: Option<Waker>,
}

impl Pause {
    pub fn set(&self, on: bool) {
        let mut state = self.0.lock().unwrap();
        state.on = on;
        if let Some(waker) = state.waker.take().filter(|_| !on) {
            waker.wake();
        }
    }
}

/// A process's future, which is not polled while paused.
pub struct Process<F> {
    pause: Pause,
    work: Pin<Box<F>>,
}

impl<F: Future> Process<F> {
    pub fn new(pause: Pause, work: F) -> Self {
        Self { pause, work: Box::pin(work) }
    }
}

impl<F: Future> Future for Process<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<F::Output> {
        {
            let mut state = self.pause.0.lock().unwrap();
            if state.on {
                state.waker = Some(context.waker().clone());
                return Poll::Pending;
            }
        }
        self.work.as_mut().poll(context)
    }
}

pub fn instance(number: usize) -> Id {
    Id::parse(&format!("i{number}")).unwrap()
}

pub fn recorder(number: usize) -> Recorder {
    Recorder::open(Source { instance: instance(number), incarnation: Incarnation(1) }, Capacity::default())
}

/// Returns an instance's connection to the platform and the store handle over
/// it.
pub fn platform(platform: &Platform, number: usize) -> (Client, store::Handle) {
    let client = platform.client();
    let settings = store::Settings::fake(format!("i{number}"), 7);
    (client.clone(), store::open_with(settings, Arc::new(client)))
}

pub async fn seconds(seconds: f64) {
    sleep(Duration::from_secs_f64(seconds)).await;
}
