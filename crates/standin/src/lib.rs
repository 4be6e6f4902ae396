//! Stand-ins for the outside systems: small fakes that speak the forms of
//! docs/design/outside-protocols.md on a real socket.
//!
//! Each module is one system. `bind` starts it and returns a handle; the
//! stand-in ends when its last handle is dropped. A handle turns faults on
//! and off ([`fault`]) and gives out the stand-in's own records, so that a
//! test can check what happened against somebody else's books. The same
//! switches are set over HTTP by `POST /switch`.
//!
//! They are served by bare `hyper`: an answer lost after its effect is the
//! fault that matters most, and needs a connection that ends unanswered.
//!
//! State stands behind one lock per stand-in that is never held across an
//! await, so that records are read without a running task.

pub mod answer;
pub mod engine;
pub mod fault;
pub mod objects;
pub mod rating;
mod server;
pub mod service;
