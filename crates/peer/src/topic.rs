//! Message topics. The crate that owns a topic owns its wire types.

/// Topic of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Topic {
    /// Configuration changes and generations.
    Config,
    /// Calls to the home instance of a journal shard: claims, bills and grants.
    Journal,
    /// Requests in flight under an idempotency key, and their responses.
    Request,
    /// Sums aggregated over instances.
    Statistics,
    /// Model versions stopped by the guard of rollouts, because they did worse than
    /// their predecessors.
    Stop,
    /// Timeline events for operators.
    Timeline,
    /// Operators' queries to the whole fleet.
    Operator,
    /// Reports of load and caches.
    Load,
}

/// Number of a topic that this build does not know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unknown(pub u32);

impl Topic {
    /// All topics.
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

    /// Returns the number on the wire, which is never reused.
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
