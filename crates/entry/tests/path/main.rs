//! End-to-end tests of the interface for callers, against stand-in engines and
//! services: they check what callers receive and what the stand-ins recorded.

mod bad_input;
mod breaks;
mod cascades;
mod client;
mod escalation;
mod gone;
mod leaving;
mod limits;
mod outage;
mod repeats;
mod sessions;
mod site;
mod whole;
