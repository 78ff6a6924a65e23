//! Parses statements that the gateway answers itself, without an engine.

/// Only this many bytes of a `SHOW` statement are parsed.
const MAX_BYTES: usize = 64;
const STATEMENT_ID_DIGITS: usize = 16;

/// A query about waiting statements.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ShowWaits {
    /// `SHOW QUEUE`: all waiting statements.
    All,
    /// `SHOW WAIT 'id'`: the statement with this id.
    One(u64),
}

/// Parses `KILL QUERY n` and returns the connection id.
pub fn parse_kill_query(statement: &[u8]) -> Option<u32> {
    let mut words = statement
        .split(|b| b.is_ascii_whitespace() || *b == b';')
        .filter(|word| !word.is_empty());
    let (kill, query) = (words.next()?, words.next()?);
    if !kill.eq_ignore_ascii_case(b"KILL") || !query.eq_ignore_ascii_case(b"QUERY") {
        return None;
    }
    let id = std::str::from_utf8(words.next()?).ok()?.parse().ok()?;
    words.next().is_none().then_some(id)
}

/// Whether this is `SHOW FLEET`.
pub fn is_show_fleet(statement: &[u8]) -> bool {
    let Some(mut words) = split_start_into_words(statement) else {
        return false;
    };
    let mut next_is = |word: &str| {
        words
            .next()
            .is_some_and(|next| next.eq_ignore_ascii_case(word))
    };
    next_is("SHOW") && next_is("FLEET") && words.next().is_none()
}

/// Parses `SHOW QUEUE` and `SHOW WAIT 'id'`.
pub fn parse_show_waits(statement: &[u8]) -> Option<ShowWaits> {
    let mut words = split_start_into_words(statement)?;
    if !words.next()?.eq_ignore_ascii_case("SHOW") {
        return None;
    }
    let object = words.next()?;
    let show = if object.eq_ignore_ascii_case("QUEUE") {
        ShowWaits::All
    } else if object.eq_ignore_ascii_case("WAIT") {
        ShowWaits::One(parse_statement_id(words.next()?)?)
    } else {
        return None;
    };
    words.next().is_none().then_some(show)
}

/// Splits the first [`MAX_BYTES`] into words; `None` if they are not UTF-8.
fn split_start_into_words(statement: &[u8]) -> Option<std::str::SplitAsciiWhitespace<'_>> {
    let start = statement.get(..MAX_BYTES).unwrap_or(statement);
    let text = std::str::from_utf8(start).ok()?;
    Some(
        text.trim_end_matches([';', ' ', '\n'])
            .split_ascii_whitespace(),
    )
}

/// Parses a statement id of 16 hex digits, optionally in quotes.
fn parse_statement_id(word: &str) -> Option<u64> {
    let digits = word.trim_matches(['\'', '"']);
    let is_id =
        digits.len() == STATEMENT_ID_DIGITS && digits.bytes().all(|b| b.is_ascii_hexdigit());
    if !is_id {
        return None;
    }
    u64::from_str_radix(digits, 16).ok()
}
