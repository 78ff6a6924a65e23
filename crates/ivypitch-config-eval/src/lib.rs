//! Evaluates an own settings file: records in Nickel, which merge, or plain JSON. What comes of it is a plain value
//! that knows its lines; types, units, bounds and defaults are `ivypitch_config::schema`'s. Only the short-lived
//! command `ivypitch check` uses this: the evaluator costs some ten megabytes.

use std::path::Path;

use ivypitch_config::schema::{Fault, Node, Plain};
use nickel_lang_core::error::report::{ColorOpt, report_as_str};
use nickel_lang_core::eval::cache::CacheImpl;
use nickel_lang_core::eval::value::{NickelValue, ValueContentRef};
use nickel_lang_core::files::Files;
use nickel_lang_core::position::{PosTable, TermPos};
use nickel_lang_core::program::{Program, ProgramBuilder};

/// A larger file is no settings file.
const LARGEST: u64 = 1 << 20;
/// Records nest no deeper than this in any that is right.
const DEEPEST: usize = 32;

/// The file's value, or what stands in the way of having one.
pub fn read(path: &Path) -> Result<Node, Vec<Fault>> {
    let fault = |what: String| vec![Fault::new("", what)];
    let size = std::fs::metadata(path)
        .map_err(|e| fault(e.to_string()))?
        .len();
    if size > LARGEST {
        return Err(fault(format!(
            "{size} bytes; a settings file has {LARGEST} at most"
        )));
    }
    let text = std::fs::read_to_string(path).map_err(|e| fault(e.to_string()))?;
    if path.extension().is_some_and(|ending| ending == "json") {
        let value: serde_json::Value =
            serde_json::from_str(&text).map_err(|e| vec![at_line(e.line(), e.to_string())])?;
        return Ok(Node::of_json(&value));
    }
    let program = ProgramBuilder::new().add_path(path).build::<CacheImpl>();
    evaluate(program.map_err(|e| fault(e.to_string()))?)
}

fn at_line(line: usize, what: String) -> Fault {
    Fault {
        line: Some(line),
        ..Fault::new("", what)
    }
}

fn evaluate(mut program: Program<CacheImpl>) -> Result<Node, Vec<Fault>> {
    match program.eval_full_for_export() {
        Ok(value) => {
            let (files, positions) = (program.files(), program.pos_table());
            node(&value, TermPos::None, &files, positions, "", 0)
        }
        Err(error) => {
            let report = report_as_str(&mut program.files(), error, ColorOpt::Never);
            Err(vec![Fault::new("", report.trim().to_owned())])
        }
    }
}

fn node(
    value: &NickelValue,
    named_at: TermPos,
    files: &Files,
    positions: &PosTable,
    path: &str,
    depth: usize,
) -> Result<Node, Vec<Fault>> {
    let line_of = |pos: TermPos| {
        let span = pos
            .into_opt()
            .filter(|span| !files.is_stdlib(span.src_id))?;
        let before = files.source(span.src_id).get(..span.start.0 as usize)?;
        Some(before.bytes().filter(|&b| b == b'\n').count() + 1)
    };
    let line = line_of(named_at).or_else(|| line_of(value.pos(positions)));
    let wrong = |what: &str| {
        vec![Fault {
            line,
            ..Fault::new(path, what)
        }]
    };
    if depth > DEEPEST {
        return Err(wrong("records nest too deeply"));
    }
    let plain = match value.content_ref() {
        ValueContentRef::Null => Plain::Null,
        ValueContentRef::Bool(b) => Plain::Bool(b),
        ValueContentRef::Number(_) => {
            let number = serde_json::to_value(value).ok().and_then(|n| n.as_f64());
            Plain::Number(number.ok_or_else(|| wrong("a number that can't be used"))?)
        }
        ValueContentRef::String(text) => Plain::Text(text.to_string()),
        ValueContentRef::EnumVariant(tag) if tag.arg.is_none() => Plain::Text(tag.tag.to_string()),
        ValueContentRef::Array(list) => {
            let each = list.iter().enumerate().map(|(i, v)| {
                node(
                    v,
                    TermPos::None,
                    files,
                    positions,
                    &format!("{path}[{i}]"),
                    depth + 1,
                )
            });
            Plain::List(gathered(each)?)
        }
        ValueContentRef::Record(record) => {
            let fields = record.into_opt().into_iter().flat_map(|data| &data.fields);
            let stated = fields.filter_map(|(name, field)| Some((name, field.value.as_ref()?)));
            let each = stated.map(|(name, value)| {
                let dot = if path.is_empty() { "" } else { "." };
                let inner_path = format!("{path}{dot}{}", name.label());
                let inner = node(value, name.pos, files, positions, &inner_path, depth + 1)?;
                Ok((name.label().to_owned(), inner))
            });
            Plain::Record(gathered(each)?)
        }
        _ => return Err(wrong("a function or type where a value is wanted")),
    };
    Ok(Node { line, value: plain })
}

/// All of them, or all faults of any.
fn gathered<T>(each: impl Iterator<Item = Result<T, Vec<Fault>>>) -> Result<Vec<T>, Vec<Fault>> {
    let (mut good, mut faults) = (Vec::new(), Vec::new());
    for one in each {
        match one {
            Ok(one) => good.push(one),
            Err(more) => faults.extend(more),
        }
    }
    if faults.is_empty() {
        Ok(good)
    } else {
        Err(faults)
    }
}
