//! Evaluates an operator's settings file, in Nickel with merged records or in plain JSON.
//!
//! The result is a plain value with line numbers; types, units, bounds and defaults belong to
//! [`ivypitch_config::schema`]. Only the short-lived command `ivypitch check` uses this crate,
//! because the evaluator takes some ten megabytes of memory.

#![warn(missing_docs, clippy::too_many_lines, clippy::unwrap_used)]

use std::path::Path;

use ivypitch_config::schema::{Problem, SettingsError, SourceValue, SourceValueKind};
use nickel_lang_core::error::report::{ColorOpt, report_as_str};
use nickel_lang_core::eval::cache::CacheImpl;
use nickel_lang_core::eval::value::{NickelValue, ValueContentRef};
use nickel_lang_core::files::Files;
use nickel_lang_core::position::{PosTable, TermPos};
use nickel_lang_core::program::{Program, ProgramBuilder};

/// A larger file is not a settings file.
const MAX_FILE_BYTES: u64 = 1 << 20;
/// No valid settings file nests more deeply.
const MAX_DEPTH: usize = 32;

type Errors = Vec<SettingsError>;

/// Reads and evaluates a file: plain JSON if its extension is `json`, else Nickel.
///
/// # Errors
///
/// All errors that prevent the file from being evaluated to a plain value.
pub fn read(path: &Path) -> Result<SourceValue, Errors> {
    let bytes = std::fs::metadata(path).map_err(unreadable_file)?.len();
    if bytes > MAX_FILE_BYTES {
        let max_bytes = MAX_FILE_BYTES;
        let problem = Problem::TooLarge { bytes, max_bytes };
        return Err(vec![SettingsError::new("", problem)]);
    }
    let text = std::fs::read_to_string(path).map_err(unreadable_file)?;
    if path
        .extension()
        .is_some_and(|extension| extension == "json")
    {
        return read_json(&text);
    }
    let program = ProgramBuilder::new()
        .add_path(path)
        .build::<CacheImpl>()
        .map_err(unreadable_file)?;
    evaluate(program)
}

fn unreadable_file(cause: impl ToString) -> Errors {
    vec![SettingsError::unreadable(cause)]
}

fn read_json(text: &str) -> Result<SourceValue, Errors> {
    match serde_json::from_str(text) {
        Ok(value) => Ok(SourceValue::from_json(&value)),
        Err(error) => {
            let line = Some(error.line());
            Err(vec![SettingsError::unreadable(error).at_line(line)])
        }
    }
}

fn evaluate(mut program: Program<CacheImpl>) -> Result<SourceValue, Errors> {
    match program.eval_full_for_export() {
        Ok(value) => {
            let files = program.files();
            let converter = Converter {
                files: &files,
                positions: program.pos_table(),
            };
            converter.convert(&value, TermPos::None, "", 0)
        }
        Err(error) => {
            let report = report_as_str(&mut program.files(), error, ColorOpt::Never);
            Err(unreadable_file(report.trim()))
        }
    }
}

/// Converts evaluated values, with line numbers from the positions of the program.
struct Converter<'a> {
    files: &'a Files,
    positions: &'a PosTable,
}

impl Converter<'_> {
    /// Converts the value at `path`. `key_position` is the position of its key, if it has one.
    fn convert(
        &self,
        value: &NickelValue,
        key_position: TermPos,
        path: &str,
        depth: usize,
    ) -> Result<SourceValue, Errors> {
        let line = self
            .line_of(key_position)
            .or_else(|| self.line_of(value.pos(self.positions)));
        let error = |problem| vec![SettingsError::new(path, problem).at_line(line)];
        if depth > MAX_DEPTH {
            return Err(error(Problem::TooDeep));
        }
        let kind = match value.content_ref() {
            ValueContentRef::Null => SourceValueKind::Null,
            ValueContentRef::Bool(flag) => SourceValueKind::Bool(flag),
            ValueContentRef::Number(_) => {
                let json = serde_json::to_value(value).ok();
                let number = json.and_then(|number| number.as_f64());
                SourceValueKind::Number(number.ok_or_else(|| error(Problem::UnusableNumber))?)
            }
            ValueContentRef::String(text) => SourceValueKind::Text(text.to_string()),
            ValueContentRef::EnumVariant(tag) if tag.arg.is_none() => {
                SourceValueKind::Text(tag.tag.to_string())
            }
            ValueContentRef::Array(list) => {
                let entries = list.iter().enumerate().map(|(position, entry)| {
                    let path = format!("{path}[{position}]");
                    self.convert(entry, TermPos::None, &path, depth + 1)
                });
                SourceValueKind::List(collect_all(entries)?)
            }
            ValueContentRef::Record(record) => {
                let fields = record.into_opt().into_iter().flat_map(|data| &data.fields);
                let fields_with_value =
                    fields.filter_map(|(key, field)| Some((key, field.value.as_ref()?)));
                let converted = fields_with_value.map(|(key, value)| {
                    let separator = if path.is_empty() { "" } else { "." };
                    let path = format!("{path}{separator}{}", key.label());
                    let field_value = self.convert(value, key.pos, &path, depth + 1)?;
                    Ok((key.label().to_owned(), field_value))
                });
                SourceValueKind::Record(collect_all(converted)?)
            }
            _ => return Err(error(Problem::NotAValue)),
        };
        Ok(SourceValue { line, kind })
    }

    fn line_of(&self, position: TermPos) -> Option<usize> {
        let span = position
            .into_opt()
            .filter(|span| !self.files.is_stdlib(span.src_id))?;
        let text_before = self
            .files
            .source(span.src_id)
            .get(..span.start.0 as usize)?;
        let newlines = text_before.bytes().filter(|&byte| byte == b'\n').count();
        Some(newlines + 1)
    }
}

/// Returns all values, or the errors of all results if there are any.
fn collect_all<T>(results: impl Iterator<Item = Result<T, Errors>>) -> Result<Vec<T>, Errors> {
    let mut values = Vec::new();
    let mut errors = Vec::new();
    for result in results {
        match result {
            Ok(value) => values.push(value),
            Err(result_errors) => errors.extend(result_errors),
        }
    }
    if errors.is_empty() {
        Ok(values)
    } else {
        Err(errors)
    }
}
