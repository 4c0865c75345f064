//! What an answer says about the requests that its target takes.

use hyper::header::{HeaderMap, HeaderName};

/// Notice of a limit in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitNotice {
    /// It names no limit.
    #[default]
    Unlimited,
    /// The target takes this many requests a second from all callers together.
    PerSecond(f64),
    /// The limit cannot be read.
    Malformed,
}

/// Error of a limit that cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedLimit;

impl LimitNotice {
    /// Returns the requests a second that the target takes; `None` if it names no limit.
    ///
    /// # Errors
    ///
    /// Fails if the limit cannot be read.
    pub fn per_second(self) -> Result<Option<f64>, MalformedLimit> {
        match self {
            LimitNotice::Unlimited => Ok(None),
            LimitNotice::PerSecond(limit) => Ok(Some(limit)),
            LimitNotice::Malformed => Err(MalformedLimit),
        }
    }
}

/// Decodes the limit in a header: one decimal number without a sign or an exponent.
pub fn decode(headers: &HeaderMap, name: &HeaderName) -> LimitNotice {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return LimitNotice::Unlimited };
    let text = value.to_str().unwrap_or_default().trim();
    let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    match text.parse::<f64>() {
        Ok(limit) if is_decimal && limit.is_finite() && values.next().is_none() => {
            LimitNotice::PerSecond(limit)
        }
        _ => LimitNotice::Malformed,
    }
}
