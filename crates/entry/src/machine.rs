//! The state machine of one request, without I/O.
//!
//! The driver executes a [`Command`] and reports its result as an [`Event`]; only
//! [`Machine::step`] decides the next command. The guarantees that depend on the order
//! of steps are enforced here, and property tests check them under random events:
//!
//! - A request that must not be repeated is dispatched only under a claim, and
//!   never again once a byte may have arrived.
//! - `ran: no` is reported only if every dispatch was certainly refused.
//! - The last frame is sent only after the bill is stored.

use world::request::Repeat;

pub use timeline::Ran;

/// The state of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum State {
    /// Waiting in the admission queue.
    Admitting,
    /// Waiting for its claim to become durable.
    Claiming,
    /// Waiting for its versions to be chosen and their price to be reserved.
    Choosing,
    /// Waiting for an endpoint to accept it.
    Dispatching,
    /// Waiting for permission to dispatch again.
    Retrying,
    /// Running at an endpoint.
    Running,
    /// Waiting for its broken stream to be resumed at its endpoint.
    Resuming,
    /// Waiting for its answer to be rated.
    Rating,
    /// Waiting for its bill to be stored.
    Billing,
    /// Final: its answer is complete and billed.
    Answered,
    /// Final: it failed, and the problem states whether it ran.
    Failed,
    /// Final: it was stopped because its caller is gone.
    Abandoned,
    /// Final: its caller gets the outcome of another run, or a refusal.
    Superseded,
}

impl State {
    /// Returns whether the state is final.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Answered | Self::Failed | Self::Abandoned | Self::Superseded)
    }
}

/// An event reported by the driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Event {
    /// The admission queue admitted the request.
    Admitted,
    /// The claim is durable.
    Claimed,
    /// The key was claimed before, and the caller got that run's outcome or a refusal.
    Superseded,
    /// The versions are chosen and their price is reserved.
    Chosen {
        /// Number of cascade steps, at least 1.
        steps: u8,
    },
    /// A step before the first byte of a dispatch was refused.
    Declined,
    /// The endpoint accepted the request.
    Started,
    /// The endpoint certainly did not run the request.
    Refused {
        /// Whether a byte of the dispatch may have arrived there.
        arrived: bool,
    },
    /// The dispatch ended and may have run.
    Lost,
    /// Another dispatch is permitted.
    Again,
    /// No further dispatch is permitted.
    GiveUp,
    /// The first frame arrived.
    Frame,
    /// The stream ended early.
    Broke,
    /// The stream continues where it broke.
    Resumed,
    /// The stream cannot be resumed.
    Gone,
    /// Another endpoint's answer does not begin with the text already sent.
    Diverged,
    /// The answer is complete.
    Whole,
    /// The answer passed its rating and is sent.
    Kept,
    /// The next version of the cascade must answer.
    Rejected,
    /// The bill is stored.
    Billed,
    /// The bill could not be stored.
    Unbilled,
    /// No caller waits for the answer any more.
    CallerGone,
    /// The deadline has passed.
    TimeUp,
    /// An internal error of this instance.
    Fault,
}

/// The next action for the driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Command {
    /// Wait in the admission queue.
    Admit,
    /// Make the claim durable.
    Claim,
    /// Choose the versions and reserve their price.
    Choose,
    /// Send the request to an endpoint.
    Dispatch,
    /// Ask for permission to dispatch again.
    Retry,
    /// Read the answer.
    Read,
    /// Resume the stream at its endpoint.
    Resume,
    /// Get the answer rated.
    Rate,
    /// Store the bill.
    Bill,
    /// Send the last frame.
    Deliver,
    /// Report to the caller that there is no complete answer.
    Fail {
        /// Whether the request ran; `No` is a guarantee.
        ran: Ran,
    },
    /// Cancel the running dispatch; no caller is left to notify.
    Abandon,
    /// Do nothing; the caller already got its outcome.
    Retire,
}

/// An event that is not possible in the current state; a bug in the driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IllegalEvent {
    /// The state of the request.
    pub state: State,
    /// The event that was reported.
    pub event: Event,
}

impl std::fmt::Display for IllegalEvent {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?} cannot follow in state {:?}; report it with the request's key", self.event, self.state)
    }
}

impl std::error::Error for IllegalEvent {}

/// The state machine of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Machine {
    repeat: Repeat,
    state: State,
    ran: Ran,
    /// Number of cascade steps after the current one.
    steps_left: u8,
    dispatches: u32,
}

impl Machine {
    /// Creates the state machine of a request and returns it with the first command.
    #[must_use]
    pub fn begin(repeat: Repeat) -> (Self, Command) {
        let machine = Self { repeat, state: State::Admitting, ran: Ran::No, steps_left: 0, dispatches: 0 };
        (machine, Command::Admit)
    }

    /// Records that the request ran in an earlier call with the same key, or may have run.
    pub fn record_earlier_run(&mut self, ran: Ran) {
        if self.ran == Ran::No {
            self.ran = ran;
        }
    }

    /// Returns the current state.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns whether the request ran.
    #[must_use]
    pub fn ran(&self) -> Ran {
        self.ran
    }

    /// Returns the number of dispatches so far.
    #[must_use]
    pub fn dispatches(&self) -> u32 {
        self.dispatches
    }

    /// Returns whether a further step of the cascade is left, in which case the current
    /// answer is rated before any of it is sent.
    #[must_use]
    pub fn may_escalate(&self) -> bool {
        self.steps_left > 0
    }

    /// Returns whether the request continues when no caller waits for its answer.
    ///
    /// A request that must not be repeated continues from its claim on: the caller
    /// will ask for its outcome, and a cancelled run has none. A request whose answer
    /// is complete has done its work and is billed.
    #[must_use]
    pub fn outlives_caller(&self) -> bool {
        match self.state {
            State::Admitting => false,
            State::Billing => true,
            _ => self.repeat == Repeat::Never,
        }
    }

    /// Processes an event and returns the next command.
    ///
    /// # Errors
    ///
    /// [`IllegalEvent`] if the event is not possible in the current state, which then
    /// stays as it is.
    pub fn step(&mut self, event: Event) -> Result<Command, IllegalEvent> {
        match (self.state, event) {
            (state, _) if state.is_final() => Err(IllegalEvent { state, event }),
            (_, Event::CallerGone) => self.on_caller_gone(),
            (_, Event::TimeUp | Event::Fault) => Ok(self.interrupt()),
            (State::Admitting | State::Claiming | State::Choosing | State::Dispatching, Event::Declined)
            | (State::Retrying, Event::GiveUp)
            | (State::Running, Event::Diverged)
            | (State::Billing, Event::Unbilled) => Ok(self.fail()),
            (State::Admitting, Event::Admitted) => Ok(self.on_admitted()),
            (State::Claiming, Event::Claimed) => Ok(self.transition(State::Choosing, Command::Choose)),
            (State::Claiming, Event::Superseded) => Ok(self.transition(State::Superseded, Command::Retire)),
            (State::Choosing, Event::Chosen { steps }) if steps > 0 => Ok(self.on_chosen(steps)),
            (State::Dispatching, Event::Started) => Ok(self.on_started()),
            (State::Dispatching, Event::Refused { arrived }) => Ok(self.on_refused(arrived)),
            (State::Dispatching | State::Running, Event::Lost) | (State::Resuming, Event::Gone) => Ok(self.on_lost()),
            (State::Retrying, Event::Again) => Ok(self.dispatch()),
            (State::Running, Event::Frame) => Ok(self.on_first_frame()),
            (State::Running, Event::Broke) => Ok(self.transition(State::Resuming, Command::Resume)),
            (State::Resuming, Event::Resumed) => Ok(self.transition(State::Running, Command::Read)),
            (State::Running, Event::Whole) => Ok(self.on_whole()),
            (State::Rating, Event::Kept) => Ok(self.transition(State::Billing, Command::Bill)),
            (State::Rating, Event::Rejected) => Ok(self.on_rejected()),
            (State::Billing, Event::Billed) => Ok(self.transition(State::Answered, Command::Deliver)),
            (state, event) => Err(IllegalEvent { state, event }),
        }
    }

    fn transition(&mut self, state: State, command: Command) -> Command {
        self.state = state;
        command
    }

    /// Fails the request because of its deadline or an internal error.
    fn interrupt(&mut self) -> Command {
        // In `Dispatching` the request may already be in transit: after a deadline or
        // fault in this state, the endpoint may still run it.
        if self.state == State::Dispatching {
            self.mark_possibly_run();
        }
        self.fail()
    }

    fn fail(&mut self) -> Command {
        self.transition(State::Failed, Command::Fail { ran: self.ran })
    }

    fn on_caller_gone(&mut self) -> Result<Command, IllegalEvent> {
        if self.outlives_caller() {
            return Err(IllegalEvent { state: self.state, event: Event::CallerGone });
        }
        Ok(self.transition(State::Abandoned, Command::Abandon))
    }

    fn on_admitted(&mut self) -> Command {
        match self.repeat {
            Repeat::Never => self.transition(State::Claiming, Command::Claim),
            Repeat::Idempotent => self.transition(State::Choosing, Command::Choose),
        }
    }

    fn on_chosen(&mut self, steps: u8) -> Command {
        self.steps_left = if self.repeat == Repeat::Never { 0 } else { steps - 1 };
        self.dispatch()
    }

    fn dispatch(&mut self) -> Command {
        self.dispatches += 1;
        self.transition(State::Dispatching, Command::Dispatch)
    }

    fn on_started(&mut self) -> Command {
        self.mark_possibly_run();
        self.transition(State::Running, Command::Read)
    }

    fn on_refused(&mut self, arrived: bool) -> Command {
        // Once bytes have arrived, only the endpoint's own statement rules out that
        // the request ran. That is enough to report "not run" and to retry an
        // idempotent request elsewhere, but not to risk running a request twice that
        // must not be repeated.
        if self.repeat == Repeat::Never && arrived {
            return self.transition(State::Failed, Command::Fail { ran: self.ran });
        }
        self.transition(State::Retrying, Command::Retry)
    }

    fn on_lost(&mut self) -> Command {
        self.mark_possibly_run();
        match self.repeat {
            Repeat::Never => self.transition(State::Failed, Command::Fail { ran: self.ran }),
            Repeat::Idempotent => self.transition(State::Retrying, Command::Retry),
        }
    }

    fn on_first_frame(&mut self) -> Command {
        self.ran = Ran::Yes;
        Command::Read
    }

    fn on_whole(&mut self) -> Command {
        self.ran = Ran::Yes;
        if self.may_escalate() {
            return self.transition(State::Rating, Command::Rate);
        }
        self.transition(State::Billing, Command::Bill)
    }

    fn on_rejected(&mut self) -> Command {
        if !self.may_escalate() {
            return self.transition(State::Billing, Command::Bill);
        }
        self.steps_left -= 1;
        self.dispatch()
    }

    fn mark_possibly_run(&mut self) {
        if self.ran == Ran::No {
            self.ran = Ran::Unknown;
        }
    }
}
