//! Settings values with the line of the file that they were read from.

use serde_json::Value;

/// A value with its line in the file, if known.
#[derive(Clone, Debug)]
pub struct SourceValue {
    /// Line number in the file, starting at 1.
    pub line: Option<usize>,
    /// The value.
    pub kind: SourceValueKind,
}

/// A value without its line.
#[derive(Clone, Debug)]
pub enum SourceValueKind {
    /// No value.
    Null,
    /// `true` or `false`.
    Bool(bool),
    /// A number.
    Number(f64),
    /// A string.
    Text(String),
    /// A list.
    List(Vec<SourceValue>),
    /// A record with its fields in the order of the file.
    Record(Vec<(String, SourceValue)>),
}

impl SourceValue {
    /// Converts JSON to a value without lines.
    pub fn from_json(value: &Value) -> SourceValue {
        let kind = match value {
            Value::Null => SourceValueKind::Null,
            Value::Bool(flag) => SourceValueKind::Bool(*flag),
            Value::Number(number) => SourceValueKind::Number(number.as_f64().unwrap_or(f64::NAN)),
            Value::String(text) => SourceValueKind::Text(text.clone()),
            Value::Array(list) => {
                SourceValueKind::List(list.iter().map(SourceValue::from_json).collect())
            }
            Value::Object(fields) => {
                let fields = fields
                    .iter()
                    .map(|(key, value)| (key.clone(), SourceValue::from_json(value)));
                SourceValueKind::Record(fields.collect())
            }
        };
        SourceValue { line: None, kind }
    }

    /// Returns the line of the value at `path`, or of the nearest enclosing value that has a line.
    pub fn line_of(&self, path: &str) -> Option<usize> {
        let SourceValueKind::Record(fields) = &self.kind else {
            return self.line;
        };
        let line = fields.iter().find_map(|(key, value)| {
            let rest = path.strip_prefix(key.as_str())?;
            if rest.is_empty() {
                Some(value.line)
            } else {
                Some(value.line_of(rest.strip_prefix('.')?))
            }
        });
        line.flatten().or(self.line)
    }

    /// Describes the value for an error message.
    pub(super) fn describe(&self) -> String {
        match &self.kind {
            SourceValueKind::Null => "null".to_owned(),
            SourceValueKind::Bool(flag) => flag.to_string(),
            SourceValueKind::Number(number) => number.to_string(),
            SourceValueKind::Text(text) => format!("{text:?}"),
            SourceValueKind::List(_) => "a list".to_owned(),
            SourceValueKind::Record(_) => "a record".to_owned(),
        }
    }
}
