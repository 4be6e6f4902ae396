//! Stand-ins for the outside systems, and the trial.
