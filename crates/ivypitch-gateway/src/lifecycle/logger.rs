//! Log lines on standard error, as text, logfmt or JSON.

use std::io::Write;
use std::sync::atomic::{AtomicU8, Ordering};

use env_logger::{Builder, Target, WriteStyle};
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record};

use super::clock::Clock;

const NANOS_PER_MS: u64 = 1_000_000;
/// The crates whose lines are written.
const MODULES: &str = "ivypitch";

/// How a line is written.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Format {
    /// Unix time, level, event and the event's `key=value` pairs.
    #[default]
    Text,
    /// The same as `key=value` pairs throughout.
    Logfmt,
    /// The same as one JSON object.
    Json,
}

impl Format {
    /// The format of this name in settings and arguments.
    pub fn from_name(name: &str) -> Option<Format> {
        match name {
            "text" => Some(Format::Text),
            "logfmt" => Some(Format::Logfmt),
            "json" => Some(Format::Json),
            _ => None,
        }
    }
}

/// The settings that name the format are read after the first lines may have been written.
static FORMAT: AtomicU8 = AtomicU8::new(Format::Text as u8);

/// The format of all lines from now on.
pub fn set_format(format: Format) {
    FORMAT.store(format as u8, Ordering::Relaxed);
}

fn format() -> Format {
    let stored = FORMAT.load(Ordering::Relaxed);
    let formats = [Format::Logfmt, Format::Json];
    let known = formats.into_iter().find(|&format| format as u8 == stored);
    known.unwrap_or_default()
}

/// Installs the logger, once for the process; a later call, or another logger in place already, leaves that one.
pub fn install(clock: Clock) {
    let installed = Builder::new()
        .filter_module(MODULES, LevelFilter::Info)
        .target(Target::Stderr)
        .write_style(WriteStyle::Never)
        .format(move |out, record| {
            let ms = clock.now() / NANOS_PER_MS;
            match format() {
                Format::Text => writeln!(out, "{}", text(ms, record)),
                Format::Logfmt => writeln!(out, "{}", logfmt(ms, record)),
                Format::Json => writeln!(out, "{}", json(ms, record)),
            }
        })
        .try_init();
    // Where another logger is in place already, as in tests, that one serves.
    drop(installed);
}

/// The key-value pairs of a record.
struct Pairs(Vec<(String, serde_json::Value)>);

impl Pairs {
    fn of(record: &Record) -> Pairs {
        let mut pairs = Pairs(Vec::new());
        // A pair that can't be read is left out; the message stands all the same.
        let _ = record.key_values().visit(&mut pairs);
        pairs
    }

    /// Each pair as ` key=value`.
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

fn text(ms: u64, record: &Record) -> String {
    let (level, event) = (record.level(), record.args());
    let pairs = Pairs::of(record).logfmt();
    format!("{}.{:03} {level} {event}{pairs}", ms / 1000, ms % 1000)
}

fn level_name(record: &Record) -> String {
    record.level().as_str().to_lowercase()
}

fn json(ms: u64, record: &Record) -> serde_json::Value {
    let mut line = serde_json::Map::new();
    line.insert("ts".into(), (ms as f64 / 1000.0).into());
    line.insert("level".into(), level_name(record).into());
    line.insert("msg".into(), record.args().to_string().into());
    line.extend(Pairs::of(record).0);
    serde_json::Value::Object(line)
}

fn logfmt(ms: u64, record: &Record) -> String {
    let level = level_name(record);
    let message = logfmt_value(&record.args().to_string());
    let seconds = format!("{}.{:03}", ms / 1000, ms % 1000);
    let pairs = Pairs::of(record).logfmt();
    format!("ts={seconds} level={level} msg={message}{pairs}")
}

/// The text itself, or in quotes where it would not end at its end.
fn logfmt_value(text: &str) -> String {
    let is_plain = |b: u8| b.is_ascii_graphic() && !matches!(b, b'"' | b'=' | b'\\');
    if !text.is_empty() && text.bytes().all(is_plain) {
        text.to_owned()
    } else {
        format!("{text:?}")
    }
}
