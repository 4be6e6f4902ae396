//! Asks whichever instance answers.

use std::{net::SocketAddr, time::Duration};

use operator::{Client, Error, Target};

use crate::exit::Failure;

/// The instances that the operator named.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fleet<'a> {
    targets: &'a [Target],
}

impl<'a> Fleet<'a> {
    pub(crate) fn new(targets: &'a [Target]) -> Self {
        Self { targets }
    }

    /// Connects to the first instance that answers.
    pub(crate) async fn connect(self) -> Result<Client, Error> {
        let mut last = None;
        for target in self.targets {
            match Client::connect(target).await {
                Ok(client) => return Ok(client),
                Err(error) => last = Some(error),
            }
        }
        Err(last.unwrap_or(Error::Refused { message: "no instance is named; give --address".into() }))
    }

    /// Asks a question that changes nothing; the next instance is asked when
    /// one is gone or loses the answer.
    pub(crate) async fn read<T>(self, ask: impl AsyncFn(&mut Client) -> Result<T, Error>) -> Result<T, Failure> {
        let mut last = None;
        for target in self.targets {
            let answer = match Client::connect(target).await {
                Ok(mut client) => ask(&mut client).await,
                Err(error) => Err(error),
            };
            match answer {
                Ok(answer) => return Ok(answer),
                Err(error @ (Error::Unreachable { .. } | Error::Lost { .. })) => last = Some(error),
                Err(error) => return Err(error.into()),
            }
        }
        let none = Error::Refused { message: "no instance is named; give --address".into() };
        Err(last.unwrap_or(none).into())
    }

    /// Whether no instance is named.
    pub(crate) fn is_empty(self) -> bool {
        self.targets.is_empty()
    }

    /// Time limit of one call.
    pub(crate) fn timeout(self) -> Duration {
        self.targets.first().map(|target| target.timeout).unwrap_or_default()
    }

    /// The same way in to another instance.
    pub(crate) fn target(self, address: SocketAddr) -> Option<Target> {
        self.targets.first().map(|target| Target { address, ..target.clone() })
    }
}
