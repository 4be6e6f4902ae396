//! Tests of the relay under more load than its endpoints can serve: eight instances in front of
//! four small endpoints, and callers that do not wait for answers before they send more.
//!
//! They are a program of their own, since the loads of several tests would disturb each other.

#[path = "../it/caller.rs"]
#[expect(dead_code, reason = "shared with the other tests of the relay")]
mod caller;
mod fleet;
mod gate;
mod overload;
#[path = "../it/site.rs"]
#[expect(dead_code, reason = "shared with the other tests of the relay")]
mod site;
mod slots;
