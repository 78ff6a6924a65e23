//! Errors of a settings file, with the line and path of each.

use std::fmt;

use thiserror::Error;

/// One error of a settings file.
///
/// Errors are ordered by line, then by path.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub struct SettingsError {
    /// Line in the file, if known.
    pub line: Option<usize>,
    /// Path of the field, with its keys separated by dots; empty for an error of the whole file.
    pub path: String,
    /// The problem with the value.
    pub problem: Problem,
}

/// A problem with a settings value.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum Problem {
    /// The file cannot be read, or is neither valid Nickel nor valid JSON.
    #[error("{0}")]
    Unreadable(String),
    /// The file exceeds the maximum size.
    #[error("file has {bytes} bytes; the maximum is {max_bytes}")]
    TooLarge {
        /// Size of the file.
        bytes: u64,
        /// Maximum size.
        max_bytes: u64,
    },
    /// Records or lists exceed the maximum nesting depth.
    #[error("records or lists are nested too deeply")]
    TooDeep,
    /// The file evaluates to a function, a type or another value that is not plain data.
    #[error("expected a value, found a function or type")]
    NotAValue,
    /// A number without a finite value.
    #[error("number is not finite")]
    UnusableNumber,
    /// The record has no field of this name.
    #[error("unknown field{}", .suggestion.map_or(String::new(), |key| format!("; did you mean {key}?")))]
    UnknownField {
        /// The field with the most similar key, if it differs by at most two edits.
        suggestion: Option<&'static str>,
    },
    /// A value of the wrong type.
    #[error("expected {expected}, found {found}")]
    WrongType {
        /// Description of the value.
        found: String,
        /// The expected type.
        expected: &'static str,
    },
    /// A number outside its bounds.
    #[error("{value} is out of range; expected {min} to {max}")]
    OutOfRange {
        /// The number, formatted.
        value: String,
        /// Minimum, formatted.
        min: String,
        /// Maximum, formatted.
        max: String,
    },
    /// A number with a fraction where an integer is expected.
    #[error("{0} is not an integer")]
    NotAnInteger(String),
    /// A value that is not one of the allowed strings.
    #[error("expected one of {}; found {found}", .allowed.join(", "))]
    NotOneOf {
        /// Description of the value.
        found: String,
        /// The allowed strings.
        allowed: &'static [&'static str],
    },
    /// A string that exceeds its maximum length.
    #[error("string exceeds {max_bytes} bytes")]
    TooLong {
        /// Maximum length in bytes.
        max_bytes: usize,
    },
    /// A list that exceeds its maximum number of entries.
    #[error("list exceeds {max_entries} entries")]
    TooManyEntries {
        /// Maximum number of entries.
        max_entries: usize,
    },
    /// A name that is not in the platform's settings.
    #[error("the deployment has no {kind} of that name; it has {}", list_or_none(.known))]
    UnknownName {
        /// The kind of object that the name stands for.
        kind: &'static str,
        /// The names in the platform's settings.
        known: Vec<String>,
    },
    /// Teams are configured for a deployment without workloads.
    #[error("the deployment has no workloads")]
    NoWorkloads,
    /// A required value is missing.
    #[error("required field is missing")]
    Missing,
    /// A value that must be unique appears twice.
    #[error("{0} is listed twice")]
    Duplicate(String),
    /// A string that is not a socket address.
    #[error("{0:?} is not an IP address and port")]
    NotAnAddress(String),
    /// The number of voters is even, so that half of them are not a majority.
    #[error("must be odd, because half of an even number of voters is not a majority")]
    EvenVoterCount,
    /// The member list does not contain this gateway.
    #[error("this gateway's name, {0:?}, is not in the list")]
    GatewayNotListed(String),
}

impl SettingsError {
    /// Creates an error without a line.
    pub fn new(path: impl Into<String>, problem: Problem) -> SettingsError {
        SettingsError {
            line: None,
            path: path.into(),
            problem,
        }
    }

    /// Creates an error of the whole file from an error of another library.
    pub fn unreadable(cause: impl ToString) -> SettingsError {
        SettingsError::new("", Problem::Unreadable(cause.to_string()))
    }

    /// Returns the error with this line.
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
