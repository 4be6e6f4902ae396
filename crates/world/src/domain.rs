//! Failure domains: places that fail as one.

crate::name::name!(
    /// A failure domain.
    Domain
);
