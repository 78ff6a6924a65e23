//! Schemas of settings records: the fields of a record with type, unit, default and bounds.
//!
//! [`settings_record!`] declares a record once. It generates the struct that the program reads and
//! the field table that files are validated against and that `ivypitch check --fields` prints.
//! [`check()`] reports all errors of a file at once and fills in the defaults.

mod check;
mod describe;
mod error;
mod value;

pub use check::check;
pub use describe::describe;
pub use error::{Problem, SettingsError};
pub use value::{SourceValue, SourceValueKind};

/// The type of a field, with its bounds.
#[derive(Debug)]
pub enum Kind {
    /// `true` or `false`.
    Bool,
    /// A number within inclusive bounds.
    Number {
        /// Minimum value.
        min: f64,
        /// Maximum value.
        max: f64,
    },
    /// An integer within inclusive bounds.
    Integer {
        /// Minimum value.
        min: u64,
        /// Maximum value.
        max: u64,
    },
    /// One of these strings.
    OneOf(&'static [&'static str]),
    /// A string.
    Text {
        /// Maximum length in bytes.
        max_bytes: usize,
    },
    /// A record with these fields.
    Record(&'static [Field]),
    /// Records of one type, by names that the file chooses.
    Map(&'static [Field]),
    /// A list of values of one type.
    List {
        /// Type of the entries.
        entry_kind: &'static Kind,
        /// Maximum number of entries.
        max_entries: usize,
    },
}

/// One field of a record.
#[derive(Debug)]
pub struct Field {
    /// Key in the file. If the value has a unit, the key ends with it.
    pub key: &'static str,
    /// Type and bounds.
    pub kind: Kind,
    /// Default as JSON; empty for an optional field without a default.
    pub default: &'static str,
    /// Description for `ivypitch check --fields`.
    pub description: &'static str,
}

/// Declares a settings record: a struct that deserializes from a validated file, and its fields.
///
/// `ivypitch check --fields` prints the doc comment of a field as its description.
macro_rules! settings_record {
    (
        $(#[doc = $struct_doc:literal])*
        $visibility:vis struct $name:ident, $table:ident {
            $(
                #[doc = $description:literal]
                $key:literal => $field_visibility:vis $field:ident: $field_type:ty,
                $kind:expr, default $default:literal;
            )*
        }
    ) => {
        $(#[doc = $struct_doc])*
        #[derive(Clone, Debug, serde::Deserialize)]
        $visibility struct $name {
            $(
                #[doc = $description]
                #[serde(rename = $key)]
                $field_visibility $field: $field_type,
            )*
        }

        pub(super) const $table: &[$crate::schema::Field] = &[
            $(
                $crate::schema::Field {
                    key: $key,
                    kind: $kind,
                    default: $default,
                    description: $description,
                },
            )*
        ];
    };
}

pub(crate) use settings_record;
