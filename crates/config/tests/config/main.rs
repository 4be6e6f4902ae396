//! Tests of the configuration on a fake platform with in-process peer links.

mod apply;
mod faults;
mod freshness;
mod interleaving;
mod log;
mod peers;
mod site;
