//! Mild faults at every stand-in, so that retries and resumes are used.

use standin::{engine, fault::Odds, objects, rating, service};

use crate::site::Site;

/// Share of calls that a fault strikes.
const SHARE: f64 = 0.02;
/// Events of a stream before it breaks.
const BREAK_AFTER: u64 = 2;

/// Turns the faults on.
pub(crate) fn begin(site: &Site) {
    let odds = Odds::share(SHARE);
    site.objects.switch(objects::Switch::LoseAnswers(odds));
    site.objects.switch(objects::Switch::LoseCalls(odds));
    site.rating.switch(rating::Switch::Lose(odds));
    for engine in site.engines.values() {
        engine.switch(engine::Switch::Refuse(odds));
        engine.switch(engine::Switch::LoseAnswers(odds));
        engine.switch(engine::Switch::BreakStreams { after: BREAK_AFTER, odds });
        engine.switch(engine::Switch::Forget(Odds::share(0.5)));
        engine.switch(engine::Switch::Duplicate(odds));
        engine.switch(engine::Switch::Foreign(odds));
    }
    for service in site.services.values() {
        service.switch(service::Switch::Refuse(odds));
        service.switch(service::Switch::BreakBefore(odds));
        service.switch(service::Switch::BreakAfter(odds));
    }
}

/// Turns every fault off.
pub(crate) fn end(site: &Site) {
    site.objects.switch(objects::Switch::Up);
    site.rating.switch(rating::Switch::Up);
    site.engines.values().for_each(|engine| engine.switch(engine::Switch::Up));
    site.services.values().for_each(|service| service.switch(service::Switch::Up));
}
