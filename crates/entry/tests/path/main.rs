//! The callers' side end to end, against the stand-ins: what callers see, and
//! what the stand-ins' own records say.

mod client;
mod site;
mod whole;
