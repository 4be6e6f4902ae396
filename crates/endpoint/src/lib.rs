//! The edge to model engines, plain services and the rating service.
