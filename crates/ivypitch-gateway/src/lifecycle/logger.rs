//! Log lines on standard error: as text (Unix time, level, words), logfmt or JSON, with the record's key-values in
//! the last two.

use std::io::Write;
use std::sync::atomic::{AtomicU8, Ordering};

use env_logger::{Builder, Target, WriteStyle};
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record};

use super::clock::Clock;

#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Format {
    #[default]
    Text,
    Logfmt,
    Json,
}

impl Format {
    pub fn of(name: &str) -> Option<Format> {
        match name {
            "text" => Some(Format::Text),
            "logfmt" => Some(Format::Logfmt),
            "json" => Some(Format::Json),
            _ => None,
        }
    }
}

/// The own file that names the format is read after the first lines may have been written.
static FORMAT: AtomicU8 = AtomicU8::new(0);

pub fn set_format(format: Format) {
    FORMAT.store(format as u8, Ordering::Relaxed);
}

pub fn install(clock: Clock) {
    let installed = Builder::new()
        .filter_module("ivypitch", LevelFilter::Info)
        .target(Target::Stderr)
        .write_style(WriteStyle::Never)
        .format(move |out, record| {
            let ms = clock.now() / 1_000_000;
            match FORMAT.load(Ordering::Relaxed) {
                1 => writeln!(out, "{}", logfmt(ms, record)),
                2 => writeln!(out, "{}", json(ms, record)),
                _ => {
                    writeln!(
                        out,
                        "{}.{:03} {} {}",
                        ms / 1000,
                        ms % 1000,
                        record.level(),
                        record.args()
                    )
                }
            }
        })
        .try_init();
    // Where another logger is in place already, as in tests, that one serves.
    drop(installed);
}

struct Pairs(Vec<(String, serde_json::Value)>);

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

fn pairs(record: &Record) -> Vec<(String, serde_json::Value)> {
    let mut pairs = Pairs(Vec::new());
    // A pair that can't be read is left out; the words stand all the same.
    let _ = record.key_values().visit(&mut pairs);
    pairs.0
}

fn json(ms: u64, record: &Record) -> serde_json::Value {
    let mut line = serde_json::Map::new();
    line.insert("ts".into(), (ms as f64 / 1000.0).into());
    line.insert(
        "level".into(),
        record.level().as_str().to_lowercase().into(),
    );
    line.insert("msg".into(), record.args().to_string().into());
    line.extend(pairs(record));
    serde_json::Value::Object(line)
}

fn logfmt(ms: u64, record: &Record) -> String {
    let quoted = |text: &str| {
        let plain = |b: u8| b.is_ascii_graphic() && !matches!(b, b'"' | b'=' | b'\\');
        if !text.is_empty() && text.bytes().all(plain) {
            text.to_owned()
        } else {
            format!("{text:?}")
        }
    };
    let level = record.level().as_str().to_lowercase();
    let msg = quoted(&record.args().to_string());
    let mut line = format!("ts={}.{:03} level={level} msg={msg}", ms / 1000, ms % 1000);
    for (key, value) in pairs(record) {
        let value = value.as_str().map_or_else(|| value.to_string(), quoted);
        line += &format!(
            " {}={value}",
            key.replace(|c: char| !c.is_ascii_alphanumeric() && c != '_', "_")
        );
    }
    line
}
