//! Leases, roll-outs and orders to engines.
