//! Finds the table group that a statement reads or writes.

const STAGING_SCHEMA: &[u8] = b"staging";

#[derive(Debug)]
enum Token<'a> {
    Name(&'a [u8]),
    Dot,
    Other,
}

/// Returns the number after the last underscore in the name of the first schema that has one,
/// outside strings and comments; the schema `staging` is ignored. `None` if the statement names no
/// table group.
pub fn find_table_group(statement: &[u8]) -> Option<u32> {
    let mut rest = statement;
    // The last name, if a dot after it would make it a schema.
    let mut name: Option<&[u8]> = None;
    // A name that follows a dot is a table or a column.
    let mut is_after_dot = false;
    while let Some(token) = next_token(&mut rest) {
        match token {
            Token::Name(text) => {
                name = (!is_after_dot).then_some(text);
                is_after_dot = false;
            }
            Token::Dot => {
                if let Some(group) = name.take().and_then(group_of_schema) {
                    return Some(group);
                }
                is_after_dot = true;
            }
            Token::Other => {
                name = None;
                is_after_dot = false;
            }
        }
    }
    None
}

fn group_of_schema(name: &[u8]) -> Option<u32> {
    if name.eq_ignore_ascii_case(STAGING_SCHEMA) {
        return None;
    }
    let digits = &name[name.iter().rposition(|&b| b == b'_')? + 1..];
    let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(digits)
        .ok()
        .filter(|_| is_number)?
        .parse()
        .ok()
}

/// Removes the next token from the front of `rest`; `None` at the end.
fn next_token<'a>(rest: &mut &'a [u8]) -> Option<Token<'a>> {
    loop {
        let text = *rest;
        let &first = text.first()?;
        let (skip, token) = match first {
            b if b.is_ascii_whitespace() => (1, None),
            b'#' => (line_length(text), None),
            b'-' if starts_line_comment(text) => (line_length(text), None),
            b'/' if text.starts_with(b"/*") => {
                let end = text[2..].windows(2).position(|w| w == b"*/");
                (end.map_or(text.len(), |at| 2 + at + 2), None)
            }
            b'\'' | b'"' => {
                let (_, length) = scan_quoted(text, Escapes::Backslash);
                (length, Some(Token::Other))
            }
            b'`' => {
                let (inner, length) = scan_quoted(text, Escapes::None);
                (length, Some(Token::Name(inner)))
            }
            b'.' => (1, Some(Token::Dot)),
            b if is_name_byte(b) => {
                let length = text.iter().take_while(|&&b| is_name_byte(b)).count();
                (length, Some(Token::Name(&text[..length])))
            }
            _ => (1, Some(Token::Other)),
        };
        *rest = &text[skip..];
        if token.is_some() {
            return token;
        }
    }
}

/// Two minus signs begin a comment only if whitespace or a control character follows.
fn starts_line_comment(text: &[u8]) -> bool {
    let after = text.get(2);
    text.starts_with(b"--") && after.is_none_or(|b| b.is_ascii_whitespace() || b.is_ascii_control())
}

fn is_name_byte(b: u8) -> bool {
    b.is_ascii_alphanumeric() || b == b'_' || b == b'$' || b >= 0x80
}

fn line_length(text: &[u8]) -> usize {
    text.iter()
        .position(|&b| b == b'\n')
        .map_or(text.len(), |at| at + 1)
}

/// Escapes that quoted text may contain in addition to doubled quotes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Escapes {
    None,
    /// A backslash before any character.
    Backslash,
}

/// Returns the content of the quoted text that `text` starts with, and its length with both quotes.
/// Doubled and escaped quotes are part of the content.
fn scan_quoted(text: &[u8], escapes: Escapes) -> (&[u8], usize) {
    let quote = text[0];
    let mut position = 1;
    while position < text.len() {
        let is_doubled = text[position] == quote && text.get(position + 1) == Some(&quote);
        let is_escaped = escapes == Escapes::Backslash && text[position] == b'\\';
        if is_doubled || is_escaped {
            position += 2;
        } else if text[position] == quote {
            return (&text[1..position], position + 1);
        } else {
            position += 1;
        }
    }
    (&text[1..], text.len())
}
