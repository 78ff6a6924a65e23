//! Reads the gateway's log lines: `TIME LEVEL EVENT key=value key=value` in the text format, or JSON objects.

/// The value of a field, without the quotes around it.
pub fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let after = |marker: String| line.split_once(&marker).map(|(_, rest)| rest);
    let value = after(format!(" {key}=")).or_else(|| after(format!("\"{key}\":")))?;
    match value.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next(),
        None => value.split([' ', ',', '}']).next(),
    }
}

/// Whether a line in the text format reports the event with exactly these values, among other fields.
pub fn is_event(line: &str, event: &str, fields: &[(&str, &str)]) -> bool {
    let reports_event = line
        .split_once(&format!(" {event}"))
        .is_some_and(|(_, rest)| rest.is_empty() || rest.starts_with([' ', ':']));
    reports_event
        && fields
            .iter()
            .all(|&(key, value)| field(line, key) == Some(value))
}
