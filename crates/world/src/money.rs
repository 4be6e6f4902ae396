//! Amounts of money, exact.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Nano-units in one unit of a currency.
const NANOS: u64 = 1_000_000_000;
/// Digits after the point that an amount can hold.
const DECIMALS: usize = 9;
/// Tokens a price is quoted for.
const PRICED_TOKENS: u128 = 1_000_000;

/// An amount in nano-units of its currency; 10^-9 EUR, say.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Amount(pub u64);

impl Amount {
    /// Nothing.
    pub const ZERO: Self = Self(0);

    /// Parses a decimal text such as `1200.00`.
    ///
    /// # Errors
    ///
    /// [`Invalid`] for a sign, an exponent, more than nine decimals, or overflow.
    pub fn parse(text: &str) -> Result<Self, Invalid> {
        let invalid = || Invalid(text.chars().take(40).collect());
        let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
        let digits = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
        if !digits(whole) || !digits(fraction) || fraction.len() > DECIMALS {
            return Err(invalid());
        }
        let whole: u64 = whole.parse().map_err(|_| invalid())?;
        let nanos: u64 = format!("{fraction:0<DECIMALS$}").parse().map_err(|_| invalid())?;
        whole.checked_mul(NANOS).and_then(|w| w.checked_add(nanos)).map(Self).ok_or_else(invalid)
    }

    /// The sum, or nothing on overflow.
    #[must_use]
    pub fn checked_add(self, other: Self) -> Option<Self> {
        self.0.checked_add(other.0).map(Self)
    }

    /// The difference, zero at the least.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// The sum, capped.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for Amount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fraction = format!("{:09}", self.0 % NANOS);
        let fraction = fraction.trim_end_matches('0');
        write!(f, "{}.{fraction:0<2}", self.0 / NANOS)
    }
}

impl TryFrom<String> for Amount {
    type Error = Invalid;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        Self::parse(&text)
    }
}

impl From<Amount> for String {
    fn from(amount: Amount) -> Self {
        amount.to_string()
    }
}

/// A text that is no amount.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invalid(pub String);

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "`{}` is not an amount; write it as quoted decimals, \"12.50\", nine decimals at most",
            self.0.escape_debug()
        )
    }
}

impl std::error::Error for Invalid {}

/// An ISO 4217 code.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Currency([u8; 3]);

impl fmt::Display for Currency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{}", char::from(*b)))
    }
}

impl TryFrom<String> for Currency {
    type Error = String;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        match <[u8; 3]>::try_from(text.as_bytes()) {
            Ok(code) if code.iter().all(u8::is_ascii_uppercase) => Ok(Self(code)),
            _ => Err(format!("`{}` is not a currency; use a code such as EUR or PHP", text.escape_debug())),
        }
    }
}

impl From<Currency> for String {
    fn from(currency: Currency) -> Self {
        currency.to_string()
    }
}

/// What tokens cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Price {
    /// Per million prompt tokens.
    pub input: Amount,
    /// Per million generated tokens.
    pub output: Amount,
    /// Of both amounts.
    pub currency: Currency,
}

impl Price {
    /// Cost of a run, rounded up to a nano-unit.
    #[must_use]
    pub fn cost(&self, input_tokens: u64, output_tokens: u64) -> Amount {
        let input = u128::from(self.input.0) * u128::from(input_tokens);
        let output = u128::from(self.output.0) * u128::from(output_tokens);
        let nanos = (input + output).div_ceil(PRICED_TOKENS);
        Amount(u64::try_from(nanos).unwrap_or(u64::MAX))
    }
}
