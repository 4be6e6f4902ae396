//! The fault matrix: its page, its cells and the check between them.
//!
//! `docs/FAULTS.md` has a section per fault with one row per step. A cell
//! names the tests that cause the fault at the step, or says why the fault
//! cannot matter there. [`page::parse`] reads it, [`sources::tests`] lists the
//! tests that exist, and the tests of this crate hold the two together.

pub mod page;
pub mod sources;

/// Defines an enum whose variants are spelt in the page as given.
macro_rules! spelt {
    ($(#[$doc:meta])* $ty:ident { $($(#[$vdoc:meta])* $variant:ident = $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum $ty { $($(#[$vdoc])* $variant,)* }

        impl $ty {
            /// Every one, in the page's order.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// As the page spells it.
            #[must_use]
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }

            /// Reads the page's spelling.
            #[must_use]
            pub fn parse(text: &str) -> Option<Self> {
                Self::ALL.iter().copied().find(|item| item.as_str() == text)
            }
        }
    };
}

spelt! {
    /// What can fail.
    Fault {
        /// A version's answers turn bad while it serves.
        VersionBad = "version_bad",
        /// Every endpoint of a pool is full.
        PoolFull = "pool_full",
        /// A roll-out stops halfway.
        RolloutHalted = "rollout_halted",
        /// The platform answers nothing.
        PlatformDown = "platform_down",
        /// The platform answers late.
        PlatformSlow = "platform_slow",
        /// A write took effect and its answer is lost.
        AnswerLost = "answer_lost",
        /// A lease lapsed while its holder was paused.
        LeaseLapsed = "lease_lapsed",
        /// Two operators change one object.
        OperatorsRace = "operators_race",
        /// An instance goes without a word.
        InstanceLost = "instance_lost",
        /// An instance shuts down in order.
        InstanceLeaving = "instance_leaving",
        /// An endpoint goes without a word.
        EndpointLost = "endpoint_lost",
        /// The list says that an endpoint leaves.
        EndpointLeaving = "endpoint_leaving",
        /// Links between instances are cut.
        PeersCut = "peers_cut",
        /// Frames come late, twice, or out of order.
        AnswerLate = "answer_late",
        /// The rating service answers nothing.
        RatingDown = "rating_down",
        /// Cache events are lost.
        CacheEventsLost = "cache_events_lost",
        /// The caller hangs up.
        CallerGone = "caller_gone",
        /// The caller repeats its key at another instance.
        CallerRepeats = "caller_repeats",
    }
}

spelt! {
    /// Where it can fail.
    Step {
        /// A caller asks for addresses.
        Addresses = "addresses",
        /// Contract, budget and queue are checked.
        Admit = "admit",
        /// The key is claimed at its home.
        Claim = "claim",
        /// Version and endpoint are chosen.
        Choose = "choose",
        /// The endpoint runs it.
        Run = "run",
        /// The answer is rated.
        Rate = "rate",
        /// A dearer version runs it.
        Escalate = "escalate",
        /// The bill is recorded.
        Bill = "bill",
        /// The caller gets its last frame.
        LastFrame = "last_frame",
        /// An operator applies a change.
        Apply = "apply",
        /// An instance hears of a change.
        Observe = "observe",
        /// A change is in force everywhere.
        InForce = "in_force",
        /// Endpoints load a version.
        Load = "load",
        /// A version takes its share.
        Expose = "expose",
        /// A version replaces its predecessor.
        Promote = "promote",
        /// A version is stopped.
        Stop = "stop",
        /// An instance is granted budget.
        Grant = "grant",
        /// An instance returns its grant.
        Return = "return",
        /// An instance joins.
        Join = "join",
        /// An instance leaves.
        Leave = "leave",
    }
}
