//! Log lines on standard error: Unix time, level, text.

use std::io::Write;

use log::{LevelFilter, Log, Metadata, Record};

use super::clock::Clock;

struct Logger(Clock);

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.target().starts_with("ivypitch")
    }

    fn log(&self, record: &Record) {
        if self.enabled(record.metadata()) {
            let ms = self.0.now() / 1_000_000;
            let line = format!("{}.{:03} {} {}\n", ms / 1000, ms % 1000, record.level(), record.args());
            let _ = std::io::stderr().lock().write_all(line.as_bytes());
        }
    }

    fn flush(&self) {}
}

pub fn install(clock: Clock) {
    if log::set_boxed_logger(Box::new(Logger(clock))).is_ok() {
        log::set_max_level(LevelFilter::Info);
    }
}
