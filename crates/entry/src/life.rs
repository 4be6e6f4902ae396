//! One request's life, as a state machine without I/O.
//!
//! The driver carries out a [`Command`], and tells what came of it as an
//! [`Event`]; [`Life::step`] is the one place where it is decided what
//! follows. The promises that need an order of steps are kept here, and its
//! tests draw events at random to see that they hold whatever happens:
//!
//! - A request that must not be repeated is dispatched only under a claim, and
//!   never again once a byte may have arrived.
//! - `ran: no` is said only while every dispatch was certainly refused.
//! - The last frame goes out only after the bill is held.

use world::request::Repeat;

pub use timeline::Ran;

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum State {
    /// Waits for its turn.
    Admitting,
    /// Waits for its durable claim.
    Claiming,
    /// Waits for the version and its price to be settled.
    Choosing,
    /// Waits for an endpoint to take it.
    Dispatching,
    /// Waits for leave to dispatch again.
    Retrying,
    /// An endpoint works on it.
    Running,
    /// Its broken stream is taken up at its endpoint.
    Resuming,
    /// Waits for its rating.
    Rating,
    /// Waits until its bill is held.
    Billing,
    /// Its answer is whole and billed.
    Answered,
    /// It has failed; the caller is told whether it ran.
    Failed,
    /// Its caller is gone and it was stopped.
    Abandoned,
    /// Another run of it has answered in its place.
    Superseded,
}

impl State {
    /// Whether nothing follows.
    #[must_use]
    pub fn is_end(self) -> bool {
        matches!(self, Self::Answered | Self::Failed | Self::Abandoned | Self::Superseded)
    }
}

/// What has happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Event {
    /// Its turn has come.
    Admitted,
    /// Its claim is durable.
    Claimed,
    /// It was claimed before, and its caller has that run's answer.
    Superseded,
    /// The versions to try are settled and paid for: so many steps.
    Chosen {
        /// Steps of the cascade, at least 1.
        steps: u8,
    },
    /// A step before the first byte of a dispatch was refused.
    Declined,
    /// The endpoint took it.
    Started,
    /// The endpoint certainly ran nothing.
    Refused {
        /// Whether a byte of the dispatch may have arrived there.
        arrived: bool,
    },
    /// The dispatch ended and may have run.
    Lost,
    /// Leave to dispatch again.
    Again,
    /// No leave to dispatch again.
    GiveUp,
    /// The first frame arrived.
    Frame,
    /// The stream ended early.
    Broke,
    /// The stream goes on where it broke.
    Resumed,
    /// The stream cannot be taken up.
    Gone,
    /// Another endpoint's answer does not begin with what was sent already.
    Diverged,
    /// The answer is whole.
    Whole,
    /// The rating says the answer is good enough, or there is no rating.
    Kept,
    /// The rating says a dearer version must answer.
    Rejected,
    /// The bill is held.
    Billed,
    /// The bill could not be held.
    Unbilled,
    /// Nobody waits for the answer any more.
    CallerGone,
    /// The deadline has passed.
    TimeUp,
    /// A fault of ours.
    Fault,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Command {
    /// Wait for its turn.
    Admit,
    /// Make its claim durable.
    Claim,
    /// Settle versions and reserve their price.
    Choose,
    /// Send it to an endpoint.
    Dispatch,
    /// Ask for leave to dispatch again.
    Retry,
    /// Read the answer.
    Read,
    /// Take the stream up at its endpoint.
    Resume,
    /// Have the answer rated.
    Rate,
    /// Have the bill held.
    Bill,
    /// Send the last frame.
    Deliver,
    /// Tell the caller that there is no whole answer.
    Fail {
        /// Whether it ran; `No` is a promise.
        ran: Ran,
    },
    /// Cancel what runs; there is nobody to tell.
    Abandon,
    /// Nothing; another run has answered.
    Retire,
}

/// An event that cannot follow; a fault of the driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Illegal {
    /// Where the request stood.
    pub state: State,
    /// What was said to have happened.
    pub event: Event,
}

impl std::fmt::Display for Illegal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?} cannot follow in state {:?}; report it with the request's key", self.event, self.state)
    }
}

impl std::error::Error for Illegal {}

/// One request's life so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Life {
    repeat: Repeat,
    state: State,
    ran: Ran,
    steps_left: u8,
    dispatches: u32,
}

impl Life {
    /// A request whose head and customer are known, and what to do first.
    #[must_use]
    pub fn begin(repeat: Repeat) -> (Self, Command) {
        let life = Self { repeat, state: State::Admitting, ran: Ran::No, steps_left: 0, dispatches: 0 };
        (life, Command::Admit)
    }

    /// Notes that an earlier try under the same key ran, or may have.
    pub fn ran_before(&mut self, ran: Ran) {
        if self.ran == Ran::No {
            self.ran = ran;
        }
    }

    /// Where it stands.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether it ran.
    #[must_use]
    pub fn ran(&self) -> Ran {
        self.ran
    }

    /// Dispatches so far.
    #[must_use]
    pub fn dispatches(&self) -> u32 {
        self.dispatches
    }

    /// Whether a later step of the cascade is left, so that the present
    /// answer is rated before any of it is shown.
    #[must_use]
    pub fn may_escalate(&self) -> bool {
        self.steps_left > 0
    }

    /// Whether it goes on when nobody waits for its answer.
    ///
    /// One that must not be repeated does so from its claim on: its outcome is
    /// what the caller asks for next, and a cancelled run has none. One whose
    /// answer is whole has run for its customer and is billed.
    #[must_use]
    pub fn outlives_caller(&self) -> bool {
        match self.state {
            State::Admitting => false,
            State::Billing => true,
            _ => self.repeat == Repeat::Never,
        }
    }

    /// Takes in an event and says what to do next.
    ///
    /// # Errors
    ///
    /// [`Illegal`] when the event cannot follow; the life is unchanged.
    pub fn step(&mut self, event: Event) -> Result<Command, Illegal> {
        match (self.state, event) {
            (state, _) if state.is_end() => Err(Illegal { state, event }),
            (_, Event::CallerGone) => self.caller_gone(),
            (_, Event::TimeUp | Event::Fault) => Ok(self.cut_short()),
            (State::Admitting | State::Claiming | State::Choosing | State::Dispatching, Event::Declined)
            | (State::Retrying, Event::GiveUp)
            | (State::Running, Event::Diverged)
            | (State::Billing, Event::Unbilled) => Ok(self.fail()),
            (State::Admitting, Event::Admitted) => Ok(self.admitted()),
            (State::Claiming, Event::Claimed) => Ok(self.go(State::Choosing, Command::Choose)),
            (State::Claiming, Event::Superseded) => Ok(self.go(State::Superseded, Command::Retire)),
            (State::Choosing, Event::Chosen { steps }) if steps > 0 => Ok(self.chosen(steps)),
            (State::Dispatching, Event::Started) => Ok(self.started()),
            (State::Dispatching, Event::Refused { arrived }) => Ok(self.refused(arrived)),
            (State::Dispatching | State::Running, Event::Lost) | (State::Resuming, Event::Gone) => Ok(self.lost()),
            (State::Retrying, Event::Again) => Ok(self.dispatch()),
            (State::Running, Event::Frame) => Ok(self.framed()),
            (State::Running, Event::Broke) => Ok(self.go(State::Resuming, Command::Resume)),
            (State::Resuming, Event::Resumed) => Ok(self.go(State::Running, Command::Read)),
            (State::Running, Event::Whole) => Ok(self.whole()),
            (State::Rating, Event::Kept) => Ok(self.go(State::Billing, Command::Bill)),
            (State::Rating, Event::Rejected) => Ok(self.escalated()),
            (State::Billing, Event::Billed) => Ok(self.go(State::Answered, Command::Deliver)),
            (state, event) => Err(Illegal { state, event }),
        }
    }

    fn go(&mut self, state: State, command: Command) -> Command {
        self.state = state;
        command
    }

    fn cut_short(&mut self) -> Command {
        // In `Dispatching` the request may be on its way: a deadline or fault
        // there says nothing about what the endpoint does with it.
        if self.state == State::Dispatching {
            self.may_have_run();
        }
        self.fail()
    }

    fn fail(&mut self) -> Command {
        self.go(State::Failed, Command::Fail { ran: self.ran })
    }

    fn caller_gone(&mut self) -> Result<Command, Illegal> {
        if self.outlives_caller() {
            return Err(Illegal { state: self.state, event: Event::CallerGone });
        }
        Ok(self.go(State::Abandoned, Command::Abandon))
    }

    fn admitted(&mut self) -> Command {
        match self.repeat {
            Repeat::Never => self.go(State::Claiming, Command::Claim),
            Repeat::Idempotent => self.go(State::Choosing, Command::Choose),
        }
    }

    fn chosen(&mut self, steps: u8) -> Command {
        self.steps_left = if self.repeat == Repeat::Never { 0 } else { steps - 1 };
        self.dispatch()
    }

    fn dispatch(&mut self) -> Command {
        self.dispatches += 1;
        self.go(State::Dispatching, Command::Dispatch)
    }

    fn started(&mut self) -> Command {
        self.may_have_run();
        self.go(State::Running, Command::Read)
    }

    fn refused(&mut self, arrived: bool) -> Command {
        // Where bytes have arrived, only the endpoint's word stands against a
        // second run. That word is enough to tell the caller "not run" and to
        // try elsewhere with a request that may be repeated; a deposit is not
        // staked on it.
        if self.repeat == Repeat::Never && arrived {
            return self.go(State::Failed, Command::Fail { ran: self.ran });
        }
        self.go(State::Retrying, Command::Retry)
    }

    fn lost(&mut self) -> Command {
        self.may_have_run();
        match self.repeat {
            Repeat::Never => self.go(State::Failed, Command::Fail { ran: self.ran }),
            Repeat::Idempotent => self.go(State::Retrying, Command::Retry),
        }
    }

    fn framed(&mut self) -> Command {
        self.ran = Ran::Yes;
        Command::Read
    }

    fn whole(&mut self) -> Command {
        self.ran = Ran::Yes;
        if self.may_escalate() {
            return self.go(State::Rating, Command::Rate);
        }
        self.go(State::Billing, Command::Bill)
    }

    fn escalated(&mut self) -> Command {
        if !self.may_escalate() {
            return self.go(State::Billing, Command::Bill);
        }
        self.steps_left -= 1;
        self.dispatch()
    }

    fn may_have_run(&mut self) {
        if self.ran == Ran::No {
            self.ran = Ran::Unknown;
        }
    }
}
