//! Configuration over a fake platform and in-process peer links.

mod apply;
mod faults;
mod freshness;
mod interleaving;
mod log;
mod peers;
mod site;
