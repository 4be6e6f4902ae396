//! Configuration: one totally ordered log of changes, observed by every instance.
