//! What every instance has in force.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use futures::{StreamExt, stream};
use operator::{Member, Progress, Status, wire};
use peer::Topic;
use prost::Message;
use world::{
    instance::{self, Instance, State},
    time::millis,
};

use super::Handles;

/// Longest wait for one instance's answer.
const ANSWER: Duration = Duration::from_secs(1);

/// Instances asked at a time.
const ASKED: usize = 32;

/// Answers another instance's question on the operators' topic; nothing for
/// one that this build does not know.
#[must_use]
pub fn answer(handles: &Handles, question: &[u8]) -> Bytes {
    let asked = wire::PeerQuestion::decode(question).ok().and_then(|question| question.what);
    let what = asked.map(|wire::peer_question::What::Standing(_)| {
        let me = handles.peer.members().borrow().me.clone();
        wire::peer_answer::What::Standing((&standing(handles, &me)).into())
    });
    wire::PeerAnswer { what }.encode_to_vec().into()
}

/// Every instance's standing.
pub(super) async fn status(handles: &Handles) -> Status {
    let instances = View::default().refresh(handles, 0).await;
    let answered_by = handles.recorder.source().instance.clone();
    let known = instances.iter().filter_map(|member| member.generation).max();
    let own = handles.config.status().generation;
    Status { generation: known.unwrap_or(0).max(own), answered_by, instances }
}

/// What is known of every instance, asked anew only where it matters.
#[derive(Debug, Default)]
pub(super) struct View {
    known: BTreeMap<instance::Id, Member>,
}

impl View {
    /// How far a generation has come. An instance that has reached it is not
    /// asked again: its generation never goes back within a run.
    pub(super) async fn progress(&mut self, handles: &Handles, generation: u64) -> Progress {
        let instances = self.refresh(handles, generation).await;
        let done = instances.iter().all(|member| !member.lags(generation));
        Progress { generation, instances, done }
    }

    async fn refresh(&mut self, handles: &Handles, generation: u64) -> Vec<Member> {
        let members = handles.peer.members().borrow().clone();
        let mut asked = Vec::new();
        for instance in members.all().cloned() {
            let known = self.known.remove(&instance.id).filter(|known| {
                let same_run = known.incarnation == instance.incarnation;
                generation > 0 && same_run && !known.lags(generation)
            });
            let me = instance.id == members.me.id;
            let handles = handles.clone();
            asked.push(async move {
                match known {
                    Some(known) => Member { state: instance.state, ..known },
                    None if me => standing(&handles, &instance),
                    None => ask(&handles, &instance).await,
                }
            });
        }
        let mut instances: Vec<Member> = stream::iter(asked).buffer_unordered(ASKED).collect().await;
        instances.sort_by(|a, b| a.id.cmp(&b.id));
        self.known = instances.iter().map(|member| (member.id.clone(), member.clone())).collect();
        instances
    }
}

/// This instance's own standing.
fn standing(handles: &Handles, me: &Instance) -> Member {
    let status = handles.config.status();
    let age = status.age.map_or(u64::MAX, millis);
    Member {
        generation: Some(status.generation),
        fresh: status.fresh,
        age_ms: age,
        in_flight: handles.duty.borrow().in_flight,
        silent: None,
        ..unknown(me)
    }
}

async fn ask(handles: &Handles, instance: &Instance) -> Member {
    if instance.state == State::Gone {
        return unknown(instance);
    }
    let question = wire::PeerQuestion { what: Some(wire::peer_question::What::Standing(wire::StatusRequest {})) };
    let body = question.encode_to_vec().into();
    let told = match handles.peer.call(&instance.id, Topic::Operator, body, ANSWER).await {
        Ok(answer) => read(&answer),
        Err(error) => Err(error.to_string()),
    };
    match told {
        // Its own word on all but its state: others may know it better.
        Ok(member) if member.id == instance.id => Member { state: instance.state, ..member },
        Ok(member) => Member { silent: Some(format!("{} answered in its place", member.id)), ..unknown(instance) },
        Err(cause) => Member { silent: Some(cause), ..unknown(instance) },
    }
}

fn read(answer: &[u8]) -> Result<Member, String> {
    let answer = wire::PeerAnswer::decode(answer).map_err(|error| error.to_string())?;
    let Some(wire::peer_answer::What::Standing(standing)) = answer.what else {
        return Err("its build does not know the question; upgrade it".into());
    };
    Member::try_from(standing).map_err(|malformed| malformed.to_string())
}

fn unknown(instance: &Instance) -> Member {
    Member {
        id: instance.id.clone(),
        incarnation: instance.incarnation,
        domain: instance.domain.clone(),
        state: instance.state,
        generation: None,
        fresh: false,
        age_ms: 0,
        in_flight: 0,
        operators: instance.operators,
        silent: None,
    }
}
