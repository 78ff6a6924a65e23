//! Schemas of settings records: which fields a record has, with type, unit, default and bounds.
//!
//! A record is declared once with [`settings_record!`], which makes the struct that the program reads and the field
//! table that files are checked against and `ivypitch check --fields` prints. A [`check()`] finds all errors of a file at
//! once and fills in what the file leaves out.

mod check;
mod describe;
mod error;
mod value;

pub use check::check;
pub use describe::describe;
pub use error::{Problem, SettingsError};
pub use value::{SourceValue, SourceValueKind};

/// The type of a field with its bounds.
#[derive(Debug)]
pub enum Kind {
    /// `true` or `false`.
    Bool,
    /// A number within bounds, both included.
    Number {
        /// The smallest value.
        min: f64,
        /// The largest value.
        max: f64,
    },
    /// A whole number within bounds, both included.
    Integer {
        /// The smallest value.
        min: u64,
        /// The largest value.
        max: u64,
    },
    /// One of these texts.
    OneOf(&'static [&'static str]),
    /// A text.
    Text {
        /// The largest length.
        max_bytes: usize,
    },
    /// A record with these fields.
    Record(&'static [Field]),
    /// Records of one type, under names that the file chooses.
    Map(&'static [Field]),
    /// A list of values of one type.
    List {
        /// The type of each entry.
        of: &'static Kind,
        /// The largest number of entries.
        max_entries: usize,
    },
}

/// One field of a record.
#[derive(Debug)]
pub struct Field {
    /// Its key in the file. Where a value has a unit, it is the key's last word.
    pub key: &'static str,
    /// Its type and bounds.
    pub kind: Kind,
    /// Its default as JSON; empty where the field is optional and has none.
    pub default: &'static str,
    /// What it means, for `ivypitch check --fields`.
    pub about: &'static str,
}

/// Declares a settings record: a struct that deserializes from a checked file, and the table of its fields.
///
/// The doc comment of a field is also the text that `ivypitch check --fields` prints for it.
macro_rules! settings_record {
    (
        $(#[doc = $struct_doc:literal])*
        $visibility:vis struct $name:ident, $table:ident {
            $(
                #[doc = $about:literal]
                $key:literal => $field_visibility:vis $field:ident: $field_type:ty,
                $kind:expr, default $default:literal;
            )*
        }
    ) => {
        $(#[doc = $struct_doc])*
        #[derive(Clone, Debug, serde::Deserialize)]
        $visibility struct $name {
            $(
                #[doc = $about]
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
                    about: $about,
                },
            )*
        ];
    };
}

pub(crate) use settings_record;
