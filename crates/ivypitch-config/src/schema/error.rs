//! Errors of a settings file, each with its place.

use std::fmt;

use thiserror::Error;

/// One error of a settings file.
///
/// Errors are ordered by line, then by path.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub struct SettingsError {
    /// Line in the file, where known.
    pub line: Option<usize>,
    /// Path of the field, its keys separated by dots; empty for the file as a whole.
    pub path: String,
    /// What is wrong there.
    pub problem: Problem,
}

/// What is wrong with a settings value.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum Problem {
    /// The file cannot be read, or is neither valid Nickel nor valid JSON.
    #[error("{0}")]
    Unreadable(String),
    /// The file is larger than any settings file.
    #[error("{bytes} bytes; a settings file has {max_bytes} at most")]
    TooLarge {
        /// Its size.
        bytes: u64,
        /// The largest size.
        max_bytes: u64,
    },
    /// Records or lists nest more deeply than in any valid file.
    #[error("records nest too deeply")]
    TooDeep,
    /// The file's program gives something that is no plain value.
    #[error("a function or type where a value is wanted")]
    NotAValue,
    /// A number that has no finite value.
    #[error("a number that can't be used")]
    UnusableNumber,
    /// The record has no such field.
    #[error("no field of that name{}", .nearest.map_or(String::new(), |key| format!("; is {key} meant?")))]
    UnknownField {
        /// A field whose key differs in one or two letters.
        nearest: Option<&'static str>,
    },
    /// A value of another type.
    #[error("{found} where {expected} is wanted")]
    WrongType {
        /// What stands there.
        found: String,
        /// What is wanted.
        expected: &'static str,
    },
    /// A number outside its bounds, as texts.
    #[error("{value} is not within {min} to {max}")]
    OutOfRange {
        /// The number.
        value: String,
        /// The smallest one allowed.
        min: String,
        /// The largest one allowed.
        max: String,
    },
    /// A fraction where a whole number is wanted.
    #[error("{0} is no whole number")]
    NotWhole(String),
    /// A value that is none of the allowed texts.
    #[error("{found} is none of {}", .allowed.join(", "))]
    NotOneOf {
        /// What stands there.
        found: String,
        /// What is allowed.
        allowed: &'static [&'static str],
    },
    /// A text longer than its bound.
    #[error("longer than {max_bytes} bytes")]
    TooLong {
        /// The bound.
        max_bytes: usize,
    },
    /// A list with more entries than its bound.
    #[error("more than {max_entries} entries")]
    TooManyEntries {
        /// The bound.
        max_entries: usize,
    },
    /// A name that the platform's settings do not have.
    #[error("the deployment has no {what} of that name; it has {}", list_or_none(.known))]
    UnknownName {
        /// What is named.
        what: &'static str,
        /// The names that there are.
        known: Vec<String>,
    },
    /// Teams are configured for a deployment without workloads.
    #[error("the deployment has no workloads")]
    NoWorkloads,
    /// A required value is missing.
    #[error("is missing")]
    Missing,
    /// A value that must be unique appears twice.
    #[error("{0} stands twice")]
    Duplicate(String),
    /// A text that is no socket address.
    #[error("{0:?} is no address and port")]
    NotAnAddress(String),
    /// The number of voters is even, so half of them are no majority.
    #[error("is to be odd, or a half is no majority")]
    EvenVoterCount,
    /// The member list does not name this gateway.
    #[error("none of them is called {0:?}, as this gateway is")]
    GatewayNotListed(String),
}

impl SettingsError {
    /// An error without a line.
    pub fn new(path: impl Into<String>, problem: Problem) -> SettingsError {
        SettingsError {
            line: None,
            path: path.into(),
            problem,
        }
    }

    /// An error of the file as a whole that another library reported.
    pub fn unreadable(cause: impl ToString) -> SettingsError {
        SettingsError::new("", Problem::Unreadable(cause.to_string()))
    }

    /// The same error with a line.
    pub fn at_line(self, line: Option<usize>) -> SettingsError {
        SettingsError { line, ..self }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        if let Some(line) = self.line {
            write!(formatter, "line {line}: ")?;
        }
        if !self.path.is_empty() {
            write!(formatter, "{}: ", self.path)?;
        }
        self.problem.fmt(formatter)
    }
}

fn list_or_none(names: &[String]) -> String {
    if names.is_empty() {
        "none".to_owned()
    } else {
        names.join(", ")
    }
}
