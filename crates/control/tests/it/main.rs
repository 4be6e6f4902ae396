//! Control's failure tests, on a paused clock with seeded faults.

mod lease;
mod orders;
mod support;
