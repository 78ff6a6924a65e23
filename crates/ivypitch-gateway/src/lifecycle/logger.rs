//! Writes log lines to standard error as text, logfmt or JSON.

use std::io::Write;
use std::sync::atomic::{AtomicU8, Ordering};

use env_logger::{Builder, Target, WriteStyle};
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record};

use super::clock::Clock;

const NANOS_PER_MS: u64 = 1_000_000;
/// Module prefix of the crates whose records are logged.
const MODULES: &str = "ivypitch";

/// Format of log lines.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Format {
    /// Unix time, level, event and its `key=value` pairs.
    #[default]
    Text,
    /// All parts as `key=value` pairs.
    Logfmt,
    /// All parts as one JSON object.
    Json,
}

impl Format {
    /// Returns the format with a name as in settings and arguments.
    pub fn from_name(name: &str) -> Option<Format> {
        match name {
            "text" => Some(Format::Text),
            "logfmt" => Some(Format::Logfmt),
            "json" => Some(Format::Json),
            _ => None,
        }
    }
}

/// A global because the settings that name the format are read after the logger is installed.
static FORMAT: AtomicU8 = AtomicU8::new(Format::Text as u8);

/// Sets the format of all later lines.
pub fn set_format(format: Format) {
    FORMAT.store(format as u8, Ordering::Relaxed);
}

fn format() -> Format {
    let stored = FORMAT.load(Ordering::Relaxed);
    let formats = [Format::Logfmt, Format::Json];
    let known = formats.into_iter().find(|&format| format as u8 == stored);
    known.unwrap_or_default()
}

/// Installs the logger once per process; a logger that is already installed stays.
pub fn install(clock: Clock) {
    let installed = Builder::new()
        .filter_module(MODULES, LevelFilter::Info)
        .target(Target::Stderr)
        .write_style(WriteStyle::Never)
        .format(move |out, record| {
            let ms = clock.now() / NANOS_PER_MS;
            match format() {
                Format::Text => writeln!(out, "{}", format_text(ms, record)),
                Format::Logfmt => writeln!(out, "{}", format_logfmt(ms, record)),
                Format::Json => writeln!(out, "{}", format_json(ms, record)),
            }
        })
        .try_init();
    // An error means that another logger is already installed, as in tests; it stays.
    drop(installed);
}

/// Key-value pairs of a log record.
struct Pairs(Vec<(String, serde_json::Value)>);

impl Pairs {
    fn from_record(record: &Record) -> Pairs {
        let mut pairs = Pairs(Vec::new());
        // A pair that cannot be read is omitted; the message is still logged.
        let _ = record.key_values().visit(&mut pairs);
        pairs
    }

    /// Formats each pair as ` key=value`.
    fn logfmt(&self) -> String {
        let mut text = String::new();
        for (key, value) in &self.0 {
            let key = key.replace(|c: char| !c.is_ascii_alphanumeric() && c != '_', "_");
            let value = match value.as_str() {
                Some(value) => logfmt_value(value),
                None => value.to_string(),
            };
            text.push_str(&format!(" {key}={value}"));
        }
        text
    }
}

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let plain = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(n), _, _) => n.into(),
            (_, Some(n), _) => n.into(),
            (_, _, Some(b)) => b.into(),
            _ => value.to_string().into(),
        };
        self.0.push((key.to_string(), plain));
        Ok(())
    }
}

fn format_text(ms: u64, record: &Record) -> String {
    let (level, event) = (record.level(), record.args());
    let pairs = Pairs::from_record(record).logfmt();
    format!("{}.{:03} {level} {event}{pairs}", ms / 1000, ms % 1000)
}

fn level_name(record: &Record) -> String {
    record.level().as_str().to_lowercase()
}

fn format_json(ms: u64, record: &Record) -> serde_json::Value {
    let mut line = serde_json::Map::new();
    line.insert("ts".into(), (ms as f64 / 1000.0).into());
    line.insert("level".into(), level_name(record).into());
    line.insert("msg".into(), record.args().to_string().into());
    line.extend(Pairs::from_record(record).0);
    serde_json::Value::Object(line)
}

fn format_logfmt(ms: u64, record: &Record) -> String {
    let level = level_name(record);
    let message = logfmt_value(&record.args().to_string());
    let seconds = format!("{}.{:03}", ms / 1000, ms % 1000);
    let pairs = Pairs::from_record(record).logfmt();
    format!("ts={seconds} level={level} msg={message}{pairs}")
}

/// Returns the text, quoted if it contains characters that would end or split the value.
fn logfmt_value(text: &str) -> String {
    let is_plain = |b: u8| b.is_ascii_graphic() && !matches!(b, b'"' | b'=' | b'\\');
    if !text.is_empty() && text.bytes().all(is_plain) {
        text.to_owned()
    } else {
        format!("{text:?}")
    }
}
