//! Reads the gateway's log lines in its text format: `TIME LEVEL EVENT key=value key=value`.

/// The value of a field, without the quotes around one with spaces.
pub fn field<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let marker = format!(" {key}=");
    let start = line.find(&marker)? + marker.len();
    let rest = &line[start..];
    match rest.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next(),
        None => rest.split(' ').next(),
    }
}

/// Whether a line reports the event with exactly these values, among other fields.
pub fn is_event(line: &str, event: &str, fields: &[(&str, &str)]) -> bool {
    let reports_event = line
        .split_once(&format!(" {event}"))
        .is_some_and(|(_, rest)| rest.is_empty() || rest.starts_with(' '));
    reports_event
        && fields
            .iter()
            .all(|&(key, value)| field(line, key) == Some(value))
}
