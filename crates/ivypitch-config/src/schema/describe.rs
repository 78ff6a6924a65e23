//! Describes the fields of a schema as text.

use super::check::join_path;
use super::{Field, Kind};

/// Appends one line for each field, nested fields included, for `ivypitch check --fields`.
pub fn describe(fields: &'static [Field], path: &str, lines: &mut Vec<String>) {
    for field in fields {
        let path = join_path(path, field.key);
        let default = if field.default.is_empty() {
            "optional".to_owned()
        } else {
            format!("default {}", field.default)
        };
        let kind = describe_kind(&field.kind);
        // The literal of a doc comment begins with a space.
        let description = field.description.trim_start();
        lines.push(format!("{path}: {kind}; {default}. {description}"));
        match field.kind {
            Kind::Record(fields) => describe(fields, &path, lines),
            Kind::Map(fields) => describe(fields, &join_path(&path, "NAME"), lines),
            _ => {}
        }
    }
}

fn describe_kind(kind: &Kind) -> String {
    match kind {
        Kind::Bool => "true or false".to_owned(),
        Kind::Number { min, max } => format!("{min} to {max}"),
        Kind::Integer { min, max } => format!("integer, {min} to {max}"),
        Kind::OneOf(allowed) => allowed.join(" | "),
        Kind::Text { max_bytes } => format!("string of at most {max_bytes} bytes"),
        Kind::List { max_entries, .. } => format!("list of at most {max_entries}"),
        Kind::Record(_) => "record".to_owned(),
        Kind::Map(_) => "records by name".to_owned(),
    }
}
