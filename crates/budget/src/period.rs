//! Budget periods, in UTC.

use jiff::{Timestamp as Instant, ToSpan as _, civil::DateTime, tz::TimeZone};
use world::{contract, time::Timestamp};

/// One period of a budget.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Period {
    /// Start of the period, inclusive.
    pub start: Timestamp,
    /// End of the period, exclusive: start of the next one.
    pub end: Timestamp,
    /// Name of the period in keys: `2026`, `2026-12` or `2026-12-31`.
    pub name: String,
}

impl Period {
    /// Returns the period of the given kind that contains `now`.
    #[must_use]
    pub fn at(now: Timestamp, kind: contract::Period) -> Self {
        let date = to_date_time(now).date();
        let (start, end, name) = match kind {
            contract::Period::Day => (date, date.saturating_add(1.day()), date.strftime("%Y-%m-%d")),
            contract::Period::Month => {
                let start = date.first_of_month();
                (start, start.saturating_add(1.month()), date.strftime("%Y-%m"))
            }
            contract::Period::Year => {
                let start = date.first_of_year();
                (start, start.saturating_add(1.year()), date.strftime("%Y"))
            }
        };
        Self { name: name.to_string(), start: utc_timestamp(start.into()), end: utc_timestamp(end.into()) }
    }
}

/// Converts a timestamp to a UTC date and time.
fn to_date_time(at: Timestamp) -> DateTime {
    let millis = i64::try_from(at.0).unwrap_or(i64::MAX);
    let instant = Instant::from_millisecond(millis).unwrap_or(Instant::MAX);
    TimeZone::UTC.to_datetime(instant)
}

/// Converts a UTC date and time to a timestamp.
fn utc_timestamp(at: DateTime) -> Timestamp {
    let millis = TimeZone::UTC.to_timestamp(at).map_or(i64::MAX, Instant::as_millisecond);
    Timestamp(u64::try_from(millis).unwrap_or_default())
}
