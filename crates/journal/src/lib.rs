//! Claims, bills, sessions and budget grants, kept in the platform.

pub mod bill;
pub mod clock;
pub mod error;
pub mod op;
pub mod placement;
pub mod record;
pub mod state;
pub mod wire;

pub use bill::Bill;
pub use clock::Clock;
pub use error::{Error, Reason};
pub use placement::Member;
