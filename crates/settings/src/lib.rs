//! The daemon's settings file, checked whole before anything starts.
