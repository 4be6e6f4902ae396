//! The callers' side end to end, against the stand-ins: what callers see, and
//! what the stand-ins' own records say.

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
