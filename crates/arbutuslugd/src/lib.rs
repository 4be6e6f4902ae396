//! The daemon: one per entry instance.
