//! Reader task of a link.

use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;
use tonic::Streaming;
use world::Millis;

use crate::{
    event::{Clock, Event},
    generated::{Frame, frame::Kind},
    link::{LinkId, Received},
    news::RateLimit,
    relay::Message,
};

/// Spawns a task that reads a link until it ends. Each reader waits until the
/// event queue has room for its next event, so that a flooding peer cannot crowd
/// out the others.
pub(crate) fn spawn_reader(
    mut incoming: Streaming<Frame>,
    link: LinkId,
    events: mpsc::Sender<Event>,
    clock: Clock,
    rate: u32,
) -> AbortOnDropHandle<()> {
    AbortOnDropHandle::new(tokio::spawn(async move {
        let mut rate_limit = RateLimit::new(rate, clock.now());
        while let Ok(Some(frame)) = incoming.message().await {
            let received = decode(frame, &mut rate_limit, clock.now());
            if events.send(Event::Received(link.clone(), received)).await.is_err() {
                return;
            }
        }
        // Fails only if the task has ended, and all links with it.
        let _ = events.send(Event::Closed(link)).await;
    }))
}

fn decode(frame: Frame, rate_limit: &mut RateLimit, now: Millis) -> Received {
    let message = match frame.kind {
        Some(Kind::Heartbeat(heartbeat)) => return Received::Heartbeat(heartbeat.into()),
        Some(Kind::News(_)) if !rate_limit.take(now) => {
            metrics::counter!("peer_news_dropped_total", "where" => "allowance").increment(1);
            return Received::Other;
        }
        Some(Kind::News(news)) => news.try_into().map(Message::News),
        Some(Kind::Have(name)) => name.try_into().map(Message::Have),
        Some(Kind::Want(name)) => name.try_into().map(Message::Want),
        Some(Kind::Prune(_)) => Ok(Message::Prune),
        Some(Kind::Greeting(_)) | None => return Received::Other,
    };
    message.map_or(Received::Other, Received::Message)
}
