//! An instance that shuts down while callers still send requests.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use relay::{
    Settings,
    catalog::{Kind, Route},
    dispatcher::Dispatcher,
    source::Endpoint,
};
use tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep};

use crate::{
    caller,
    server::{Action, LAST_CHUNK, Server, event, ok_response, stream_head},
    site::{Site, StoreContents, catalog, endpoint, route},
};

const RESUMABLE: Kind = Kind::Stream { resumable: true };

/// A caller with an outdated list of addresses sends a stream long after the instance began to
/// shut down, and the stream cannot end before the process does.
///
/// It would be cut off midway, so it is refused as not run, and the caller can send it to
/// another address at once. Short requests are served to the end.
#[tokio::test]
async fn late_stream_is_refused_and_short_request_served_during_shutdown() {
    let server = Server::start(vec![Action::Write(ok_response("ok"))]).await;
    let brief = relay::catalog::Route { timeout: Duration::from_millis(300), ..route("/a/", Kind::Idempotent) };
    let site = Site::start(vec![route("/s/", RESUMABLE), brief], &[server.address]).await;
    let at = site.front();
    let leaving = tokio::spawn(site.relay.shutdown());
    let refused = loop {
        let response = caller::call(at, "POST", "/s/x", "", "prompt").await;
        if response.status == 503 {
            break response;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert!(refused.header("retry-after").is_some(), "{refused:?}");
    assert_eq!(refused.header("connection"), Some("close"));
    let short = caller::call(at, "GET", "/a/x", "", "").await;
    assert_eq!((short.status, short.header("connection")), (200, Some("close")), "{short:?}");
    leaving.abort();
}

/// A stream that began before the shutdown runs to its end.
#[tokio::test]
async fn stream_in_progress_completes_before_the_shutdown_ends() {
    let parts = [vec![stream_head(90)], (1..=30).map(event).collect(), vec![LAST_CHUNK.into()]].concat();
    let server = Server::start(vec![Action::WriteSlowly(parts)]).await;
    let site = Site::start(vec![route("/s/", RESUMABLE)], &[server.address]).await;
    let at = site.front();
    let caller = tokio::spawn(async move { caller::call(at, "POST", "/s/x", "", "prompt").await });
    while server.requests().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    site.relay.shutdown().await;
    let response = caller.await.unwrap();
    assert!(response.complete && response.body.contains("d30"), "{response:?}");
}

/// Calls to the route, one after the other, until the instance is gone.
struct Late {
    /// When each request was sent after the start of the shutdown, and its status; 0 if there was no answer.
    answers: Vec<(Duration, u16)>,
    /// When the instance had shut down.
    took: Duration,
    /// Requests that reached the endpoint.
    runs: usize,
}

/// How callers connect.
#[derive(Debug, Clone, Copy)]
enum Channel {
    Kept,
    New,
}

/// Shuts an instance down whose endpoint takes `work` for each request, while callers go on sending. `change` is
/// applied to the running instance, `after` the start of its shutdown.
async fn leave(
    channel: Channel,
    work: Duration,
    timeout: Duration,
    grace: Duration,
    change: impl FnOnce(&Dispatcher) + Send + 'static,
    after: Duration,
) -> Late {
    let slow = Action::Pause(String::new(), work, ok_response("ok"));
    let server = Server::start(vec![slow]).await;
    let route = Route { timeout, attempts: 1, ..route("/a/", Kind::NonIdempotent) };
    let contents = StoreContents {
        catalog: Some(catalog(1, vec![route])),
        endpoints: vec![Endpoint { slots: 256, ..endpoint("e0", server.address) }],
        ..StoreContents::default()
    };
    let site = Site::start_with(contents, |settings| settings.grace = grace).await;
    let (at, dispatcher) = (site.front(), Arc::clone(site.relay.dispatcher()));
    if after.is_zero() {
        change(&dispatcher);
    } else {
        tokio::spawn(async move {
            sleep(after).await;
            change(&dispatcher);
        });
    }
    let started = Instant::now();
    let callers: Vec<_> = (0..12_u32)
        .map(|number| {
            tokio::spawn(async move {
                sleep(Duration::from_millis(37) * number).await;
                call_until_gone(at, channel, started).await
            })
        })
        .collect();
    site.relay.shutdown().await;
    let took = started.elapsed();
    let mut answers = Vec::new();
    for caller in callers {
        answers.extend(caller.await.unwrap());
    }
    Late { answers, took, runs: server.requests().len() }
}

/// Sends one request after the other until no connection is accepted.
async fn call_until_gone(at: SocketAddr, channel: Channel, started: Instant) -> Vec<(Duration, u16)> {
    let mut answers = Vec::new();
    let mut kept = None;
    loop {
        let stream = match kept.take() {
            Some(stream) => Ok(stream),
            None => TcpStream::connect(at).await,
        };
        let Ok(mut stream) = stream else { return answers };
        let sent = started.elapsed();
        if stream.write_all(caller::request("POST", "/a/x", "", "sheet").as_bytes()).await.is_err() {
            return answers;
        }
        let response = caller::read(&mut stream).await;
        answers.push((sent, response.status));
        if matches!(channel, Channel::Kept) && response.header("connection") != Some("close") {
            kept = Some(stream);
        }
        // A caller whose request was refused waits for a moment.
        sleep(Duration::from_millis(if response.status == 200 { 1 } else { 20 })).await;
    }
}

/// Requests that cross the end of the process may meet a closed connection.
const CROSSING: Duration = Duration::from_millis(200);

/// Checks that the instance left in time, and that nothing it took was lost.
fn check_late(late: &Late, grace: Duration) {
    assert!(late.took < grace, "the process would be killed: {:?}", late.took);
    let Late { answers, runs, .. } = late;
    let served = answers.iter().filter(|(_, status)| *status == 200).count();
    assert!(served > 0, "{answers:?}");
    assert_eq!(served, *runs, "requests that were passed on got no answer of the endpoint: {answers:?}");
    let is_right = |(sent, status): &(Duration, u16)| match status {
        200 | 503 => true,
        _ => *status == 0 && *sent + CROSSING > late.took,
    };
    assert!(answers.iter().all(is_right), "{:?} {answers:?}", late.took);
}

fn grace(grace: Duration) -> impl FnOnce(&Dispatcher) + Send + 'static {
    move |dispatcher| dispatcher.reload(&Settings { grace, ..dispatcher.settings.clone() })
}

macro_rules! late_requests {
    ($($(#[$doc:meta])* $name:ident: $work:expr, $timeout:expr, $grace:expr, $reloaded:expr, $after:expr;)*) => {$(
        $(#[$doc])*
        mod $name {
            use super::*;

            async fn check(channel: Channel) {
                let ms = Duration::from_millis;
                let late = leave(channel, ms($work), ms($timeout), ms($grace), grace(ms($reloaded)), ms($after)).await;
                check_late(&late, ms($reloaded));
            }

            #[tokio::test]
            async fn on_kept_connections() {
                check(Channel::Kept).await;
            }

            #[tokio::test]
            async fn on_new_connections() {
                check(Channel::New).await;
            }
        }
    )*};
}

late_requests! {
    /// Requests that cannot end in time would be passed on and cut off at the end.
    late_requests_to_slow_endpoints: 700, 900, 4_000, 4_000, 0;
    /// The time that the process needs to end is more than a tenth of a short grace period.
    late_requests_in_a_short_grace: 650, 700, 2_000, 2_000, 0;
    /// The platform would kill the process with all requests that it takes by the longer grace period.
    grace_that_was_shortened: 700, 900, 20_000, 4_000, 0;
    /// The same while it leaves already.
    grace_that_is_shortened_while_leaving: 700, 900, 20_000, 4_000, 500;
}

/// A longer grace period must not end requests that have the time.
#[tokio::test]
async fn grace_that_is_prolonged_while_leaving() {
    let ms = Duration::from_millis;
    let late = leave(Channel::New, ms(1_500), ms(2_000), ms(1_200), grace(ms(4_000)), ms(100)).await;
    check_late(&late, ms(4_000));
    assert!(late.answers.iter().any(|(_, status)| *status == 200), "{:?}", late.answers);
}

/// Callers have another address after some seconds of a long grace period. A request that may outlast the process would
/// be cut off.
#[tokio::test]
async fn late_request_in_a_long_grace_is_refused() {
    let server = Server::start(vec![Action::Hang(String::new())]).await;
    let site = Site::start_with(
        StoreContents {
            catalog: Some(catalog(1, vec![route("/a/", Kind::NonIdempotent)])),
            endpoints: vec![endpoint("e0", server.address)],
            ..StoreContents::default()
        },
        |settings| settings.grace = Duration::from_secs(15),
    )
    .await;
    let at = site.front();
    let leaving = tokio::spawn(site.relay.shutdown());
    sleep(Duration::from_millis(3_300)).await;
    let response = caller::call(at, "POST", "/a/x", "", "sheet").await;
    assert_eq!((response.status, server.requests().len()), (503, 0), "{response:?}");
    leaving.abort();
}

/// A request that was rejected late in the grace period would be sent to another endpoint and cut off there.
#[tokio::test]
async fn late_retry_is_refused() {
    let rejection = ok_response("").replace("200 X", "503 X").replace("x-signature: s", "x-not-run: 1");
    let rejected = Action::Pause(String::new(), Duration::from_millis(900), rejection);
    let server = Server::start(vec![rejected, Action::Hang(String::new())]).await;
    let site = Site::start_with(
        StoreContents {
            catalog: Some(catalog(1, vec![route("/a/", Kind::NonIdempotent)])),
            endpoints: vec![endpoint("e0", server.address)],
            ..StoreContents::default()
        },
        |settings| settings.grace = Duration::from_secs(2),
    )
    .await;
    let at = site.front();
    let leaving = tokio::spawn(site.relay.shutdown());
    let response = caller::call(at, "POST", "/a/x", "", "sheet").await;
    assert_eq!((response.status, server.requests().len()), (503, 1), "{response:?}");
    leaving.abort();
}
