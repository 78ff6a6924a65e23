//! Statements that the gateway answers itself; no engine sees them.

/// A longer statement is none of these.
const MAX_BYTES: usize = 64;
const STATEMENT_ID_DIGITS: usize = 16;

/// What a client wants to know about statements that wait.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ShowWaits {
    /// `SHOW QUEUE`: all of them.
    All,
    /// `SHOW WAIT 'id'`: the statement of this id.
    One(u64),
}

/// The connection id of a `KILL QUERY n`.
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
    let Some(mut words) = words_of_start(statement) else {
        return false;
    };
    let mut is = |word: &str| words.next().is_some_and(|w| w.eq_ignore_ascii_case(word));
    is("SHOW") && is("FLEET") && words.next().is_none()
}

/// Parses `SHOW QUEUE` and `SHOW WAIT 'id'`.
pub fn parse_show_waits(statement: &[u8]) -> Option<ShowWaits> {
    let mut words = words_of_start(statement)?;
    if !words.next()?.eq_ignore_ascii_case("SHOW") {
        return None;
    }
    let object = words.next()?;
    let show = if object.eq_ignore_ascii_case("QUEUE") {
        ShowWaits::All
    } else if object.eq_ignore_ascii_case("WAIT") {
        ShowWaits::One(statement_id(words.next()?)?)
    } else {
        return None;
    };
    words.next().is_none().then_some(show)
}

/// The words of the first [`MAX_BYTES`]; `None`: they are no text.
fn words_of_start(statement: &[u8]) -> Option<std::str::SplitAsciiWhitespace<'_>> {
    let start = statement.get(..MAX_BYTES).unwrap_or(statement);
    let text = std::str::from_utf8(start).ok()?;
    Some(
        text.trim_end_matches([';', ' ', '\n'])
            .split_ascii_whitespace(),
    )
}

/// 16 hex digits, perhaps in quotes.
fn statement_id(word: &str) -> Option<u64> {
    let digits = word.trim_matches(['\'', '"']);
    let is_id =
        digits.len() == STATEMENT_ID_DIGITS && digits.bytes().all(|b| b.is_ascii_hexdigit());
    if !is_id {
        return None;
    }
    u64::from_str_radix(digits, 16).ok()
}
