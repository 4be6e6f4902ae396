//! Cells of the fault matrix that take a whole deployment.
//!
//! There is nothing but tests here: each starts the instances and stand-ins
//! of an example, plays traffic that dwells on one step, strikes it with one
//! or two faults, and holds what the callers got against the stand-ins' own
//! records. `docs/FAULTS.md` names each; `crates/faults` holds page and tests
//! together.
