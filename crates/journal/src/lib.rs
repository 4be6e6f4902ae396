//! Claims, bills, sessions and budget grants, kept in the platform.
