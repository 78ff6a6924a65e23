//! The text form of a schema.

use super::check::join_path;
use super::{Field, Kind};

/// Appends one line for each field, nested ones included, for `ivypitch check --fields`.
pub fn describe(fields: &'static [Field], path: &str, lines: &mut Vec<String>) {
    for field in fields {
        let path = join_path(path, field.key);
        let default = if field.default.is_empty() {
            "may be left out".to_owned()
        } else {
            format!("default {}", field.default)
        };
        let kind = kind_text(&field.kind);
        // Doc comments begin with a space.
        let about = field.about.trim_start();
        lines.push(format!("{path}: {kind}; {default}. {about}"));
        match field.kind {
            Kind::Record(fields) => describe(fields, &path, lines),
            Kind::Map(fields) => describe(fields, &join_path(&path, "NAME"), lines),
            _ => {}
        }
    }
}

fn kind_text(kind: &Kind) -> String {
    match kind {
        Kind::Bool => "true or false".to_owned(),
        Kind::Number { min, max } => format!("{min} to {max}"),
        Kind::Integer { min, max } => format!("whole, {min} to {max}"),
        Kind::OneOf(texts) => texts.join(" | "),
        Kind::Text { max_bytes } => format!("text of {max_bytes} bytes at most"),
        Kind::List { max_entries, .. } => format!("list of {max_entries} at most"),
        Kind::Record(_) => "record".to_owned(),
        Kind::Map(_) => "records by name".to_owned(),
    }
}
