//! The file's own form, before it is checked.
//!
//! Values keep their line ([`Spanned`]) so that a check can name it.

use serde::Deserialize;
use serde_saphyr::Spanned;
use world::yaml;

use crate::error::Fault;

/// The one closed set of words in the file is [`Source`]'s.
const SECRET_FORM: &str = "a secret is given as `{ file: PATH }` or `{ env: NAME }`, never in the settings themselves";

/// A value with its line.
pub(crate) type Field<T> = Spanned<T>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct File {
    pub(crate) instance: Field<String>,
    pub(crate) domain: Field<String>,
    #[serde(default)]
    pub(crate) domains: Vec<Field<String>>,
    pub(crate) listeners: Listeners,
    pub(crate) platform: Platform,
    pub(crate) peers: Peers,
    pub(crate) operators: Keyed,
    pub(crate) sessions: Keyed,
    pub(crate) ratings: Option<Ratings>,
    #[serde(default)]
    pub(crate) limits: Limits,
    #[serde(default)]
    pub(crate) timing: Timing,
    #[serde(default)]
    pub(crate) retries: Retries,
    #[serde(default)]
    pub(crate) timeline: Timeline,
    pub(crate) log: Option<Field<String>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Listeners {
    pub(crate) callers: Listener,
    pub(crate) peers: Listener,
    pub(crate) operators: Listener,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Listener {
    pub(crate) bind: Field<String>,
    pub(crate) advertise: Option<Field<String>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Platform {
    pub(crate) address: Field<String>,
    pub(crate) reads_per_s: Option<Field<u64>>,
    pub(crate) writes_per_s: Option<Field<u64>>,
    pub(crate) timeout_ms: Option<Field<u64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Peers {
    #[serde(default)]
    pub(crate) seeds: Vec<Field<String>>,
    pub(crate) key: Field<Source>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Keyed {
    pub(crate) key: Field<Source>,
}

/// Where a secret is; there is no form that holds the secret itself.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Source {
    File(String),
    Env(String),
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Ratings {
    pub(crate) address: Field<String>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Limits {
    pub(crate) body_bytes: Option<Field<u64>>,
    pub(crate) header_bytes: Option<Field<u64>>,
    pub(crate) connections: Option<Field<u64>>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
#[expect(clippy::struct_field_names, reason = "the file's fields name their unit")]
pub(crate) struct Timing {
    pub(crate) freshness_ms: Option<Field<u64>>,
    pub(crate) keep_ms: Option<Field<u64>>,
    pub(crate) drain_ms: Option<Field<u64>>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Retries {
    pub(crate) share: Option<Field<f64>>,
    pub(crate) attempts: Option<Field<u64>>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Timeline {
    pub(crate) requests: Option<Field<u64>>,
    pub(crate) others: Option<Field<u64>>,
}

/// Reads the file's form.
pub(crate) fn read(text: &str) -> Result<File, Fault> {
    yaml::read(text).map_err(fault)
}

fn fault(fault: yaml::Fault) -> Fault {
    match fault {
        yaml::Fault::UnknownField { line, field, nearest, known } => {
            Fault::UnknownField { line, field, nearest, known }
        }
        yaml::Fault::MissingField { line, field } => Fault::MissingField { line, field },
        yaml::Fault::UnknownWord { line, .. } => Fault::Syntax { line, message: SECRET_FORM.into() },
        yaml::Fault::Syntax { line, message } => Fault::Syntax { line, message },
    }
}
