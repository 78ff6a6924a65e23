//! The words of a step, and the values written as `name=value` among them.

use ivypitch_types::{MILLISECOND, Nanos};

pub struct Fields<'a>(pub Vec<&'a str>);

impl Fields<'_> {
    pub fn text(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
    }

    pub fn number(&self, name: &str, default: f64) -> f64 {
        self.text(name)
            .map_or(default, |value| value.parse().expect(name))
    }

    pub fn millis(&self, name: &str, default: f64) -> Nanos {
        (self.number(name, default) * MILLISECOND as f64) as Nanos
    }

    pub fn list<T: std::str::FromStr<Err: std::fmt::Debug>>(&self, name: &str) -> Option<Vec<T>> {
        self.text(name)
            .map(|value| value.split(',').map(|n| n.parse().expect(name)).collect())
    }

    /// Whether the step contains `name=yes`.
    pub fn flag(&self, name: &str) -> bool {
        match self.text(name) {
            None => false,
            Some("yes") => true,
            Some(other) => panic!("{name}={other}"),
        }
    }
}

/// Parses `yes` or `no`.
pub fn parse_yes_or_no(word: &str) -> bool {
    match word {
        "yes" => true,
        "no" => false,
        other => panic!("neither yes nor no: {other}"),
    }
}
