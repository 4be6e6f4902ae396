//! What a message is about. The crate that owns a topic owns its wire types.

/// What a message is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Topic {
    /// Configuration changes and generations.
    Config,
    /// Claims, bills, grants: calls to a key's home.
    Journal,
    /// Requests in flight under a key, and their answers.
    Request,
    /// Sums over instances.
    Statistics,
    /// Versions that the guard stopped.
    Stop,
    /// Events for operators.
    Timeline,
    /// Operators' questions to the whole fleet.
    Operator,
    /// Load and cache reports.
    Load,
}

/// A topic of a build that this one does not know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unknown(pub u32);

impl Topic {
    /// Every topic.
    pub const ALL: [Self; 8] = [
        Self::Config,
        Self::Journal,
        Self::Request,
        Self::Statistics,
        Self::Stop,
        Self::Timeline,
        Self::Operator,
        Self::Load,
    ];

    /// Its number on the wire; never reused.
    #[must_use]
    pub fn number(self) -> u32 {
        match self {
            Self::Config => 1,
            Self::Journal => 2,
            Self::Request => 3,
            Self::Statistics => 4,
            Self::Stop => 5,
            Self::Timeline => 6,
            Self::Operator => 7,
            Self::Load => 8,
        }
    }
}

impl TryFrom<u32> for Topic {
    type Error = Unknown;

    fn try_from(number: u32) -> Result<Self, Unknown> {
        Self::ALL.into_iter().find(|topic| topic.number() == number).ok_or(Unknown(number))
    }
}
