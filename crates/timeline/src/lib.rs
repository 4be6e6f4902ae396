//! Typed events with a hybrid logical clock, and their merging over processes.
