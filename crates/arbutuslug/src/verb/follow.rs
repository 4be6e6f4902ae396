//! `timeline --follow`

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use operator::{Client, Error, Events, Seen};
use timeline::{
    Filter,
    follow::{Follow, Shown},
    merge::Gap,
};
use tokio::{sync::mpsc, task::JoinHandle, time::Instant};
use world::instance::{self, State};

use crate::{
    console::{Console, Format, json, yaml},
    describe,
    exit::Failure,
    fleet::Fleet,
    verb::timeline::line,
};

/// Interval between two looks for instances that are new or back.
const LOOK: Duration = Duration::from_secs(1);

/// Longest silence of an instance; each tells its clock twice a second.
const SILENCE: Duration = Duration::from_secs(5);

/// Messages waiting to be merged.
const INBOX: usize = 64;

/// What an instance's stream tells.
enum Told {
    Events(instance::Id, Events),
    Ended(instance::Id, String),
}

/// Shows events until nobody reads them.
pub(crate) async fn run(fleet: Fleet<'_>, filter: &Filter, console: &mut Console<'_>) -> Result<(), Failure> {
    let (inbox, mut told) = mpsc::channel(INBOX);
    let mut follower = Follower {
        fleet,
        filter,
        inbox,
        streams: BTreeMap::new(),
        seen: BTreeMap::new(),
        merge: Follow::default(),
        silent: BTreeSet::new(),
    };
    follower.look().await?;
    let mut look_at = Instant::now() + LOOK;
    loop {
        tokio::select! {
            Some(message) = told.recv() => follower.take(message, console)?,
            () = tokio::time::sleep_until(look_at) => {
                // Without an answer the streams there are go on.
                let _ = follower.look().await;
                look_at = Instant::now() + LOOK;
            }
        }
        for shown in follower.merge.ready() {
            show(&shown, console)?;
        }
    }
}

struct Follower<'a> {
    fleet: Fleet<'a>,
    filter: &'a Filter,
    inbox: mpsc::Sender<Told>,
    streams: BTreeMap<instance::Id, JoinHandle<()>>,
    seen: BTreeMap<instance::Id, Seen>,
    merge: Follow,
    /// Named as a gap and not heard since.
    silent: BTreeSet<instance::Id>,
}

impl Drop for Follower<'_> {
    fn drop(&mut self) {
        self.streams.values().for_each(JoinHandle::abort);
    }
}

impl Follower<'_> {
    /// Opens a stream to each instance that has none.
    async fn look(&mut self) -> Result<(), Failure> {
        let status = self.fleet.read(async |client| client.status().await).await?;
        for member in status.instances {
            if member.state == State::Gone || self.merge.follows(&member.id) {
                continue;
            }
            let Some(target) = self.fleet.target(member.operators) else { continue };
            let (id, filter, inbox) = (member.id.clone(), self.filter.clone(), self.inbox.clone());
            let seen = self.seen.get(&id).copied();
            let stream = tokio::spawn(async move {
                let cause = match stream(&id, &target, &filter, seen, &inbox).await {
                    Ok(cause) => cause,
                    Err(error) => error.to_string(),
                };
                let _ = inbox.send(Told::Ended(id, cause)).await;
            });
            self.merge.add(member.id.clone());
            self.streams.insert(member.id, stream);
        }
        Ok(())
    }

    fn take(&mut self, told: Told, console: &mut Console<'_>) -> Result<(), Failure> {
        match told {
            Told::Events(id, events) => {
                if self.silent.remove(&id) {
                    console.note(&format!("{id} answers again"));
                }
                for missing in events.page.gaps() {
                    gap(&missing, console)?;
                }
                let incarnation = events.page.source.incarnation;
                self.seen.insert(id.clone(), Seen { incarnation, number: events.page.last });
                self.merge.push(&id, events.page.records, events.now);
            }
            Told::Ended(instance, cause) => {
                self.merge.remove(&instance);
                self.streams.remove(&instance);
                // An instance that stays away is tried again and again, and
                // told once.
                if self.silent.insert(instance.clone()) {
                    gap(&Gap::Silent { instance, cause }, console)?;
                }
            }
        }
        Ok(())
    }
}

/// Hands one instance's events on; ends with the cause of its end.
async fn stream(
    id: &instance::Id,
    target: &operator::Target,
    filter: &Filter,
    seen: Option<Seen>,
    inbox: &mpsc::Sender<Told>,
) -> Result<String, Error> {
    let mut client = Client::connect(target).await?;
    let mut messages = client.follow(filter, seen.as_ref()).await?;
    loop {
        match tokio::time::timeout(SILENCE, messages.next()).await {
            Err(_) => return Ok(format!("silent for {} s", SILENCE.as_secs())),
            Ok(Ok(None)) => return Ok("it ended the stream".into()),
            Ok(Ok(Some(events))) => {
                if inbox.send(Told::Events(id.clone(), events)).await.is_err() {
                    return Ok("nobody reads".into());
                }
            }
            Ok(Err(error)) => return Err(error),
        }
    }
}

fn show(shown: &Shown, console: &mut Console<'_>) -> Result<(), Failure> {
    match console.format() {
        Format::Table if shown.late => console.print(&format!("{} (late)", line(&shown.record))),
        Format::Table => console.print(&line(&shown.record)),
        Format::Json => console.print(&json(&shown.record)?),
        Format::Yaml => console.print(&format!("---\n{}", yaml(&shown.record)?)),
    }
}

fn gap(gap: &Gap, console: &mut Console<'_>) -> Result<(), Failure> {
    console.note(&format!("gap: {}", describe::gap(gap)));
    match console.format() {
        Format::Table => Ok(()),
        Format::Json => console.print(&json(gap)?),
        Format::Yaml => console.print(&format!("---\n{}", yaml(gap)?)),
    }
}
