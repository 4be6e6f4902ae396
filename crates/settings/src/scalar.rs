//! Numbers as a settings file gives them.
//!
//! A file is often filled in from a template. Then a span may be a whole number or a fraction, and a number that
//! does not apply is empty or `false`. The parser takes all of these, so that the check can name the field and
//! the value of what it refuses.

use std::{fmt, ops::RangeInclusive, time::Duration};

use serde::{
    Deserialize, Deserializer,
    de::{IgnoredAny, MapAccess, SeqAccess, Visitor},
};

use crate::Fault;

/// Longest span, in seconds: a year.
pub(crate) const MAX_SPAN_S: f64 = 365.0 * 86_400.0;

/// Longest span, in milliseconds.
pub(crate) const MAX_SPAN_MS: f64 = MAX_SPAN_S * 1_000.0;

/// A number, or what stands in its place.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) enum Scalar {
    /// Missing, empty or `false`.
    #[default]
    Absent,
    Number(f64),
    /// Anything else, as an error message shows it.
    Other(String),
}

impl<'de> Deserialize<'de> for Scalar {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ScalarVisitor)
    }
}

struct ScalarVisitor;

impl<'de> Visitor<'de> for ScalarVisitor {
    type Value = Scalar;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a number")
    }

    fn visit_unit<E>(self) -> Result<Scalar, E> {
        Ok(Scalar::Absent)
    }

    fn visit_none<E>(self) -> Result<Scalar, E> {
        Ok(Scalar::Absent)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Scalar, D::Error> {
        Scalar::deserialize(deserializer)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Scalar, E> {
        Ok(if value { Scalar::Other(value.to_string()) } else { Scalar::Absent })
    }

    fn visit_f64<E>(self, value: f64) -> Result<Scalar, E> {
        Ok(Scalar::Number(value))
    }

    #[expect(clippy::cast_precision_loss, reason = "far above all ranges where it loses precision")]
    fn visit_u64<E>(self, value: u64) -> Result<Scalar, E> {
        Ok(Scalar::Number(value as f64))
    }

    #[expect(clippy::cast_precision_loss, reason = "far below all ranges where it loses precision")]
    fn visit_i64<E>(self, value: i64) -> Result<Scalar, E> {
        Ok(Scalar::Number(value as f64))
    }

    #[expect(clippy::cast_precision_loss, reason = "far above all ranges")]
    fn visit_u128<E>(self, value: u128) -> Result<Scalar, E> {
        Ok(Scalar::Number(value as f64))
    }

    #[expect(clippy::cast_precision_loss, reason = "far below all ranges")]
    fn visit_i128<E>(self, value: i128) -> Result<Scalar, E> {
        Ok(Scalar::Number(value as f64))
    }

    fn visit_str<E>(self, value: &str) -> Result<Scalar, E> {
        Ok(Scalar::Other(format!("\"{}\"", value.escape_debug())))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<Scalar, A::Error> {
        while entries.next_element::<IgnoredAny>()?.is_some() {}
        Ok(Scalar::Other("a list".into()))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Scalar, A::Error> {
        while entries.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
        Ok(Scalar::Other("a table".into()))
    }
}

/// A field whose number is checked.
pub(crate) struct Field {
    /// Name as operators write it.
    pub name: &'static str,
    pub range: RangeInclusive<f64>,
    pub unit: &'static str,
}

impl Field {
    /// Returns the number, or `None` if the field is absent or its value is added to `faults`.
    pub fn check(&self, scalar: &Scalar, faults: &mut Vec<Fault>) -> Option<f64> {
        let value = match scalar {
            Scalar::Absent => return None,
            // The range excludes what is not a number.
            Scalar::Number(number) if self.range.contains(number) => return Some(*number),
            Scalar::Number(number) => number.to_string(),
            Scalar::Other(text) => text.clone(),
        };
        faults.push(Fault::Range {
            line: 0,
            field: self.name,
            value,
            least: self.range.start().to_string(),
            most: self.range.end().to_string(),
            unit: self.unit,
        });
        None
    }
}

/// A span that is given in milliseconds.
pub(crate) fn millis(name: &'static str, least: f64, scalar: &Scalar, faults: &mut Vec<Fault>) -> Option<Duration> {
    let millis = Field { name, range: least..=MAX_SPAN_MS, unit: "milliseconds" }.check(scalar, faults)?;
    Some(Duration::from_secs_f64(millis / 1_000.0))
}

/// A span that is given in seconds.
pub(crate) fn seconds(
    name: &'static str,
    range: RangeInclusive<f64>,
    scalar: &Scalar,
    faults: &mut Vec<Fault>,
) -> Option<Duration> {
    Field { name, range, unit: "seconds" }.check(scalar, faults).map(Duration::from_secs_f64)
}
