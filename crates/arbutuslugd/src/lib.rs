//! The daemon: one per entry instance.

pub mod operators;
