//! Tests of the relay between callers and endpoints, on real sockets, with a store in memory and
//! endpoints that fail on purpose.

mod answers;
mod behind;
mod caches;
mod caller;
mod crashes;
mod foreign;
mod large_pool;
mod leaving;
mod limits;
mod lost;
mod notices;
mod proofs;
mod requests;
mod restarts;
mod rollouts;
mod server;
mod site;
mod starting;
mod streams;
mod track;
