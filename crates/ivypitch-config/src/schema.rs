//! Typed records: what fields a record has, of what type, unit, default and bounds; and the check of a value
//! against them, which finds all faults at once and fills in what is not stated.

use std::fmt;

use serde_json::{Map, Value};

/// A value with the line that it stands in, where that is known.
#[derive(Clone, Debug)]
pub struct Node {
    pub line: Option<usize>,
    pub value: Plain,
}

#[derive(Clone, Debug)]
pub enum Plain {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Node>),
    Record(Vec<(String, Node)>),
}

impl Node {
    pub fn of_json(value: &Value) -> Node {
        let value = match value {
            Value::Null => Plain::Null,
            Value::Bool(b) => Plain::Bool(*b),
            Value::Number(n) => Plain::Number(n.as_f64().unwrap_or(f64::NAN)),
            Value::String(s) => Plain::Text(s.clone()),
            Value::Array(list) => Plain::List(list.iter().map(Node::of_json).collect()),
            Value::Object(map) => Plain::Record(
                map.iter()
                    .map(|(name, v)| (name.clone(), Node::of_json(v)))
                    .collect(),
            ),
        };
        Node { line: None, value }
    }

    /// The line of what a path names, or of the nearest thing around it that has one.
    pub fn line_of(&self, path: &str) -> Option<usize> {
        let Plain::Record(fields) = &self.value else {
            return self.line;
        };
        let inner = fields.iter().find_map(|(name, node)| {
            let rest = path.strip_prefix(name.as_str())?;
            if rest.is_empty() {
                Some(node.line)
            } else {
                Some(node.line_of(rest.strip_prefix('.')?))
            }
        });
        inner.flatten().or(self.line)
    }

    fn says(&self) -> String {
        match &self.value {
            Plain::Null => "null".into(),
            Plain::Bool(b) => b.to_string(),
            Plain::Number(n) => n.to_string(),
            Plain::Text(s) => format!("{s:?}"),
            Plain::List(_) => "a list".into(),
            Plain::Record(_) => "a record".into(),
        }
    }
}

/// One thing that is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    pub line: Option<usize>,
    pub path: String,
    pub what: String,
}

impl Fault {
    pub fn new(path: impl Into<String>, what: impl Into<String>) -> Fault {
        Fault {
            line: None,
            path: path.into(),
            what: what.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.what)
    }
}

pub enum Kind {
    Bool,
    Number {
        least: f64,
        most: f64,
    },
    Whole {
        least: u64,
        most: u64,
    },
    OneOf(&'static [&'static str]),
    Text {
        longest: usize,
    },
    Record(&'static [Field]),
    /// Records of one kind under names that the file chooses.
    Named(&'static [Field]),
    List {
        of: &'static Kind,
        most: usize,
    },
}

pub struct Field {
    /// The unit is the name's last word.
    pub name: &'static str,
    pub kind: Kind,
    /// As JSON; empty: may be left out, and is then not there.
    pub default: &'static str,
    pub about: &'static str,
}

/// The whole record with its defaults, or all that is wrong with it.
pub fn check(fields: &'static [Field], node: &Node) -> Result<Value, Vec<Fault>> {
    let mut faults = Vec::new();
    let value = record(fields, node, "", &mut faults);
    if faults.is_empty() {
        Ok(value)
    } else {
        Err(faults)
    }
}

fn fault(faults: &mut Vec<Fault>, node: &Node, path: &str, what: String) -> Value {
    faults.push(Fault {
        line: node.line,
        path: path.to_owned(),
        what,
    });
    Value::Null
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

fn record(fields: &'static [Field], node: &Node, path: &str, faults: &mut Vec<Fault>) -> Value {
    let Plain::Record(given) = &node.value else {
        return fault(
            faults,
            node,
            path,
            format!("{} where a record is wanted", node.says()),
        );
    };
    let mut whole = Map::new();
    for (name, value) in given {
        let path = join(path, name);
        match fields.iter().find(|field| field.name == name) {
            Some(field) => {
                drop(whole.insert(name.clone(), of_kind(&field.kind, value, &path, faults)))
            }
            None => {
                let near = nearest(name, fields)
                    .map_or(String::new(), |near| format!("; is {near} meant?"));
                fault(faults, value, &path, format!("no field of that name{near}"));
            }
        }
    }
    for field in fields
        .iter()
        .filter(|field| given.iter().all(|(name, _)| name != field.name))
    {
        if let Ok(default) = serde_json::from_str(field.default) {
            let filled = of_kind(
                &field.kind,
                &Node::of_json(&default),
                &join(path, field.name),
                faults,
            );
            whole.insert(field.name.to_owned(), filled);
        }
    }
    Value::Object(whole)
}

fn of_kind(kind: &'static Kind, node: &Node, path: &str, faults: &mut Vec<Fault>) -> Value {
    match (kind, &node.value) {
        (Kind::Bool, Plain::Bool(b)) => Value::Bool(*b),
        (Kind::Number { least, most }, Plain::Number(n)) => match n {
            n if (least..=most).contains(&n) => Value::from(*n),
            n => fault(
                faults,
                node,
                path,
                format!("{n} is not within {least} to {most}"),
            ),
        },
        (Kind::Whole { least, most }, Plain::Number(n)) => match n {
            n if n.fract() != 0.0 || !n.is_finite() => {
                fault(faults, node, path, format!("{n} is no whole number"))
            }
            n if (*least as f64..=*most as f64).contains(n) => Value::from(*n as u64),
            n => fault(
                faults,
                node,
                path,
                format!("{n} is not within {least} to {most}"),
            ),
        },
        (Kind::OneOf(words), Plain::Text(text)) if words.contains(&text.as_str()) => {
            Value::String(text.clone())
        }
        (Kind::OneOf(words), _) => fault(
            faults,
            node,
            path,
            format!("{} is none of {}", node.says(), words.join(", ")),
        ),
        (Kind::Text { longest }, Plain::Text(text)) if text.len() <= *longest => {
            Value::String(text.clone())
        }
        (Kind::Text { longest }, Plain::Text(_)) => {
            fault(faults, node, path, format!("longer than {longest} bytes"))
        }
        (Kind::Record(fields), _) => record(fields, node, path, faults),
        (Kind::Named(fields), Plain::Record(given)) => {
            let each = given.iter().map(|(name, value)| {
                (
                    name.clone(),
                    record(fields, value, &join(path, name), faults),
                )
            });
            Value::Object(each.collect())
        }
        (Kind::List { most, .. }, Plain::List(list)) if list.len() > *most => {
            fault(faults, node, path, format!("more than {most} entries"))
        }
        (Kind::List { of, .. }, Plain::List(list)) => {
            let each = list.iter().enumerate();
            Value::Array(
                each.map(|(i, value)| of_kind(of, value, &format!("{path}[{i}]"), faults))
                    .collect(),
            )
        }
        (kind, _) => {
            let wanted = match kind {
                Kind::Bool => "true or false",
                Kind::Number { .. } => "a number",
                Kind::Whole { .. } => "a whole number",
                Kind::Text { .. } => "a text",
                Kind::List { .. } => "a list",
                _ => "a record",
            };
            fault(
                faults,
                node,
                path,
                format!("{} where {wanted} is wanted", node.says()),
            )
        }
    }
}

/// The field whose name is at most two changes away.
fn nearest(name: &str, fields: &'static [Field]) -> Option<&'static str> {
    let distance = |field: &&Field| strsim::damerau_levenshtein(name, field.name);
    fields
        .iter()
        .min_by_key(distance)
        .filter(|field| distance(field) <= 2)
        .map(|field| field.name)
}

/// The fields as text, one line each, for `ivypitch check --fields`.
pub fn describe(fields: &'static [Field], path: &str, lines: &mut Vec<String>) {
    for field in fields {
        let path = join(path, field.name);
        let default = match field.default {
            "" => "may be left out".to_owned(),
            default => format!("default {default}"),
        };
        let (kind, inner): (String, Option<(&'static [Field], String)>) = match &field.kind {
            Kind::Bool => ("true or false".into(), None),
            Kind::Number { least, most } => (format!("{least} to {most}"), None),
            Kind::Whole { least, most } => (format!("whole, {least} to {most}"), None),
            Kind::OneOf(words) => (words.join(" | "), None),
            Kind::Text { longest } => (format!("text of {longest} bytes at most"), None),
            Kind::List { most, .. } => (format!("list of {most} at most"), None),
            Kind::Record(fields) => ("record".into(), Some((fields, path.clone()))),
            Kind::Named(fields) => (
                "records by name".into(),
                Some((fields, join(&path, "NAME"))),
            ),
        };
        lines.push(format!("{path}: {kind}; {default}. {}", field.about));
        if let Some((fields, path)) = inner {
            describe(fields, &path, lines);
        }
    }
}
