//! What each crate is told, made of the settings file's words.

use std::time::Duration;

use journal::Origin;
use settings::Settings;
use timeline::{Recorder, Source};
use world::instance::Instance;

use super::Error;

/// Longest wait for requests in flight when the settings set no bound.
const DRAIN_WITHIN: Duration = Duration::from_hours(1);
/// Share of the platform's writes that one instance's journal may use; the
/// rest is for configuration, grants and leases.
const JOURNAL_SHARE: f64 = 0.8;

pub(super) fn drain_within(settings: &Settings) -> Duration {
    match settings.timing.drain_ms {
        0 => DRAIN_WITHIN,
        span => Duration::from_millis(span),
    }
}

pub(super) fn recorder(settings: &Settings, me: &Instance) -> Recorder {
    let source = Source { instance: me.id.clone(), incarnation: me.incarnation };
    let capacity = timeline::Capacity { requests: settings.timeline.requests, others: settings.timeline.others };
    Recorder::open(source, capacity)
}

pub(super) fn platform(settings: &Settings) -> store::Settings {
    let at = &settings.platform;
    // Two processes must not draw the same nonces: the name alone would let a
    // restarted instance take its predecessor's write for its own.
    let writer = format!("{}-{}", settings.instance, uuid::Uuid::new_v4());
    store::Settings {
        writes_per_s: f64::from(at.writes_per_s),
        reads_per_s: f64::from(at.reads_per_s),
        call_timeout: Duration::from_millis(at.timeout_ms),
        ..store::Settings::new(at.address, writer)
    }
}

pub(super) fn peer(settings: &Settings, me: &Instance, recorder: &Recorder) -> peer::Settings {
    let key = peer::Key::new(settings.peers.key.expose());
    let bind = settings.listeners.peers.bind;
    let mut links = peer::Settings::new(me.clone(), bind, settings.peers.seeds.clone(), key);
    links.recorder = Some(recorder.clone());
    links
}

pub(super) fn config(settings: &Settings) -> config::Settings {
    config::Settings {
        domains: settings.domains.clone(),
        freshness: Duration::from_millis(settings.timing.freshness_ms),
        ..config::Settings::new(settings.instance.clone(), settings.domain.clone())
    }
}

pub(super) fn journal(settings: &Settings, origin: &Origin, recorder: &Recorder) -> journal::config::Config {
    journal::config::Config {
        segments_per_s: f64::from(settings.platform.writes_per_s) * JOURNAL_SHARE,
        recorder: Some(recorder.clone()),
        ..journal::config::Config::new(origin.clone(), settings.domain.clone())
    }
}

pub(super) fn budget(origin: Origin, recorder: &Recorder) -> budget::Config {
    budget::Config { recorder: Some(recorder.clone()), ..budget::Config::new(origin) }
}

pub(super) fn endpoint(settings: &Settings) -> endpoint::Settings {
    endpoint::Settings { rating: settings.ratings, ..endpoint::Settings::default() }
}

pub(super) fn control(settings: &Settings, me: &Instance) -> control::Settings {
    let mut control = control::Settings::new(me.id.clone(), me.incarnation);
    if settings.ratings.is_none() {
        // No rating will ever come: a roll-out that waits for some stands still.
        control.guard.min_rated = 0;
    }
    control
}

pub(super) fn entry(settings: &Settings) -> Result<entry::Settings, Error> {
    let keys = vec![settings.keys.sessions.expose().as_bytes().to_vec()];
    let keys = entry::session::Keys::new(keys).ok_or(Error::Secret("sessions.key"))?;
    let base = entry::Settings::new(settings.instance.clone(), settings.domain.clone(), keys);
    Ok(entry::Settings {
        max_body: settings.limits.body_bytes,
        max_headers: settings.limits.header_bytes,
        max_connections: settings.limits.connections,
        addresses: route::address::Policy { keep_ms: settings.timing.keep_ms, ..base.addresses },
        retry: route::retry::Policy {
            share: settings.retries.share,
            max_tries: settings.retries.attempts,
            ..base.retry
        },
        has_rating_service: settings.ratings.is_some(),
        ..base
    })
}
