//! Validates a file's value against a schema.

use serde_json::{Map, Value};

use super::{Field, Kind, Problem, SettingsError, SourceValue, SourceValueKind};

/// Maximum edit distance at which an unknown key counts as a misspelling of a known one.
const MAX_TYPO_DISTANCE: usize = 2;

/// Validates a record against its fields and returns it with all defaults filled in.
///
/// # Errors
///
/// All errors of the record, including those of nested records.
pub fn check(fields: &'static [Field], record: &SourceValue) -> Result<Value, Vec<SettingsError>> {
    let mut checker = Checker { errors: Vec::new() };
    let value = checker.check_record(fields, record, "");
    if checker.errors.is_empty() {
        Ok(value)
    } else {
        Err(checker.errors)
    }
}

pub(super) fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}

struct Checker {
    errors: Vec<SettingsError>,
}

impl Checker {
    /// Records an error. The returned null is never used: a check with errors returns no value.
    fn report(&mut self, value: &SourceValue, path: &str, problem: Problem) -> Value {
        self.errors
            .push(SettingsError::new(path, problem).at_line(value.line));
        Value::Null
    }

    fn check_record(&mut self, fields: &'static [Field], value: &SourceValue, path: &str) -> Value {
        let SourceValueKind::Record(given) = &value.kind else {
            return self.report(value, path, wrong_type(value, "a record"));
        };
        let mut complete = Map::new();
        for (key, value) in given {
            let path = join_path(path, key);
            match fields.iter().find(|field| field.key == key) {
                Some(field) => {
                    let checked = self.check_value(&field.kind, value, &path);
                    complete.insert(key.clone(), checked);
                }
                None => {
                    let suggestion = suggest_key(key, fields);
                    self.report(value, &path, Problem::UnknownField { suggestion });
                }
            }
        }
        for field in fields {
            let is_given = given.iter().any(|(key, _)| key == field.key);
            if !is_given && let Ok(default) = serde_json::from_str(field.default) {
                let default = SourceValue::from_json(&default);
                let path = join_path(path, field.key);
                let checked = self.check_value(&field.kind, &default, &path);
                complete.insert(field.key.to_owned(), checked);
            }
        }
        Value::Object(complete)
    }

    fn check_value(&mut self, kind: &'static Kind, value: &SourceValue, path: &str) -> Value {
        match (kind, &value.kind) {
            (Kind::Bool, SourceValueKind::Bool(flag)) => Value::Bool(*flag),
            (Kind::Number { min, max }, SourceValueKind::Number(number)) => {
                if (min..=max).contains(&number) {
                    Value::from(*number)
                } else {
                    self.report(value, path, out_of_range(*number, min, max))
                }
            }
            (Kind::Integer { min, max }, SourceValueKind::Number(number)) => {
                if number.fract() != 0.0 || !number.is_finite() {
                    self.report(value, path, Problem::NotAnInteger(number.to_string()))
                } else if (*min as f64..=*max as f64).contains(number) {
                    Value::from(*number as u64)
                } else {
                    self.report(value, path, out_of_range(*number, min, max))
                }
            }
            (Kind::OneOf(allowed), _) => self.check_one_of(allowed, value, path),
            (Kind::Text { max_bytes }, SourceValueKind::Text(text)) => {
                if text.len() <= *max_bytes {
                    Value::String(text.clone())
                } else {
                    let max_bytes = *max_bytes;
                    self.report(value, path, Problem::TooLong { max_bytes })
                }
            }
            (Kind::Record(fields), _) => self.check_record(fields, value, path),
            (Kind::Map(fields), SourceValueKind::Record(given)) => {
                let mut records = Map::new();
                for (name, record) in given {
                    let checked = self.check_record(fields, record, &join_path(path, name));
                    records.insert(name.clone(), checked);
                }
                Value::Object(records)
            }
            (
                Kind::List {
                    entry_kind,
                    max_entries,
                },
                SourceValueKind::List(entries),
            ) => {
                if entries.len() > *max_entries {
                    let max_entries = *max_entries;
                    return self.report(value, path, Problem::TooManyEntries { max_entries });
                }
                let mut list = Vec::with_capacity(entries.len());
                for (position, entry) in entries.iter().enumerate() {
                    list.push(self.check_value(entry_kind, entry, &format!("{path}[{position}]")));
                }
                Value::Array(list)
            }
            (kind, _) => self.report(value, path, wrong_type(value, expected_type(kind))),
        }
    }

    fn check_one_of(
        &mut self,
        allowed: &'static [&'static str],
        value: &SourceValue,
        path: &str,
    ) -> Value {
        if let SourceValueKind::Text(text) = &value.kind
            && allowed.contains(&text.as_str())
        {
            return Value::String(text.clone());
        }
        let found = value.describe();
        self.report(value, path, Problem::NotOneOf { found, allowed })
    }
}

fn wrong_type(value: &SourceValue, expected: &'static str) -> Problem {
    Problem::WrongType {
        found: value.describe(),
        expected,
    }
}

fn out_of_range(value: f64, min: impl ToString, max: impl ToString) -> Problem {
    Problem::OutOfRange {
        value: value.to_string(),
        min: min.to_string(),
        max: max.to_string(),
    }
}

fn expected_type(kind: &Kind) -> &'static str {
    match kind {
        Kind::Bool => "true or false",
        Kind::Number { .. } => "a number",
        Kind::Integer { .. } => "an integer",
        Kind::Text { .. } => "a string",
        Kind::List { .. } => "a list",
        Kind::OneOf(_) | Kind::Record(_) | Kind::Map(_) => "a record",
    }
}

fn suggest_key(key: &str, fields: &'static [Field]) -> Option<&'static str> {
    let distance = |field: &&Field| strsim::damerau_levenshtein(key, field.key);
    fields
        .iter()
        .min_by_key(distance)
        .filter(|field| distance(field) <= MAX_TYPO_DISTANCE)
        .map(|field| field.key)
}
