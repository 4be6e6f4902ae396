//! Plays scripts against the instances, many callers at a time.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{sync::Semaphore, task::JoinSet};
use uuid::Builder;
use world::contract::Customer;

use crate::{
    caller::{self, Caller, End, Sent},
    plan::{Ask, Repeat, Script, Session},
};

/// Scripts played at a time.
const CALLERS: usize = 64;

/// A script that was played.
#[derive(Debug)]
pub(crate) struct Played {
    pub(crate) script: Script,
    /// Each ask's requests: the first, and its repeat if it has one.
    pub(crate) sent: Vec<Vec<Sent>>,
}

/// Everything played.
#[derive(Debug)]
pub(crate) struct Traffic {
    pub(crate) played: Vec<Played>,
    pub(crate) took: Duration,
}

/// Plays all scripts; `progress` hears how many are through.
pub(crate) async fn play(
    callers: &HashMap<Customer, Caller>,
    scripts: Vec<Script>,
    mut progress: impl FnMut(usize),
) -> Traffic {
    let start = Instant::now();
    let turns = Arc::new(Semaphore::new(CALLERS));
    let mut playing = JoinSet::new();
    for (place, script) in scripts.into_iter().enumerate() {
        let caller = callers[&script.customer].starting_at(place);
        let turns = turns.clone();
        playing.spawn(async move {
            let _turn = turns.acquire().await;
            play_script(caller, script).await
        });
    }
    let mut played = Vec::new();
    while let Some(done) = playing.join_next().await {
        played.push(done.expect("a caller does not panic"));
        progress(played.len());
    }
    Traffic { played, took: start.elapsed() }
}

async fn play_script(mut caller: Caller, script: Script) -> Played {
    let mut sent = Vec::new();
    let mut handle = None;
    for ask in &script.asks {
        let session = match &script.session {
            Session::None => None,
            Session::Handle => handle.clone(),
            Session::Named(name) => Some(name.clone()),
        };
        let requests = play_ask(&mut caller, ask, session.as_deref()).await;
        if let End::Whole(whole) = &requests[0].end {
            handle = whole.session.clone().or(handle);
        }
        sent.push(requests);
    }
    Played { script, sent }
}

async fn play_ask(caller: &mut Caller, ask: &Ask, session: Option<&str>) -> Vec<Sent> {
    let key = Builder::from_unix_timestamp_millis(caller::now().0, &ask.salt).into_uuid().to_string();
    let mut elsewhere = caller.elsewhere();
    match ask.repeat {
        Repeat::No => vec![caller.ask(ask, &key, session).await],
        Repeat::Later => vec![caller.ask(ask, &key, session).await, elsewhere.ask(ask, &key, session).await],
        Repeat::Together => {
            let (first, repeat) = tokio::join!(caller.ask(ask, &key, session), elsewhere.ask(ask, &key, session));
            vec![first, repeat]
        }
    }
}
