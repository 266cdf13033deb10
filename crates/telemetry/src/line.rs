//! Formats and parses lines of `key=value` pairs.

use std::fmt::{self, Write};

/// A line of `key=value` pairs under construction.
///
/// A value is quoted when it is empty or contains anything but visible ASCII characters, or
/// one of `"`, `\` and `=`. In a quoted value `"`, `\` and control characters are escaped, so
/// that any value stays on one line and [`split`] can parse it.
#[derive(Debug, Default, Clone)]
pub struct Line(String);

impl Line {
    /// Creates an empty line.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends a pair. `key` may contain ASCII letters, digits, `_`, `-` and `.`; the value
    /// `unprintable` replaces one whose `Display` fails.
    pub fn pair(&mut self, key: &str, value: &dyn fmt::Display) {
        debug_assert!(is_key(key), "log key {key:?}");
        if !self.0.is_empty() {
            self.0.push(' ');
        }
        self.0.push_str(key);
        self.0.push('=');
        let start = self.0.len();
        if write!(self.0, "{value}").is_err() {
            self.0.truncate(start);
            self.0.push_str("unprintable");
        }
        if is_plain(&self.0[start..]) {
            return;
        }
        let raw = self.0.split_off(start);
        quote(&mut self.0, &raw);
    }

    /// Returns the line without a trailing newline.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Parses a line into its pairs; `None` when it is malformed.
#[must_use]
pub fn split(line: &str) -> Option<Vec<(String, String)>> {
    let mut pairs = Vec::new();
    let mut rest = line;
    while !rest.is_empty() {
        let (key, after) = rest.split_once('=')?;
        if !is_key(key) {
            return None;
        }
        let (value, after) = parse_value(after)?;
        pairs.push((key.to_owned(), value));
        rest = match after.strip_prefix(' ') {
            Some("") => return None,
            Some(next) => next,
            None if after.is_empty() => after,
            None => return None,
        };
    }
    Some(pairs)
}

fn is_key(key: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '_' | '-' | '.');
    !key.is_empty() && key.chars().all(allowed)
}

/// Whether a value can be written without quotes.
fn is_plain(value: &str) -> bool {
    let plain = |b: u8| b.is_ascii_graphic() && !matches!(b, b'"' | b'\\' | b'=');
    !value.is_empty() && value.bytes().all(plain)
}

fn quote(out: &mut String, raw: &str) {
    out.push('"');
    for c in raw.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            '\r' => out.push_str("\\r"),
            '\t' => out.push_str("\\t"),
            c if breaks_line(c) => push_code_point(out, c),
            c => out.push(c),
        }
    }
    out.push('"');
}

/// Control characters, and the separators that some viewers treat as line breaks.
fn breaks_line(c: char) -> bool {
    c.is_control() || matches!(c, '\u{2028}' | '\u{2029}')
}

fn push_code_point(out: &mut String, c: char) {
    write!(out, "\\u{{{:x}}}", u32::from(c)).expect("writing to a String can't fail");
}

fn parse_value(text: &str) -> Option<(String, &str)> {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        let (value, rest) = text.split_at(end);
        return is_plain(value).then(|| (value.to_owned(), rest));
    };
    let mut value = String::new();
    let mut chars = quoted.chars();
    loop {
        match chars.next()? {
            '"' => return Some((value, chars.as_str())),
            '\\' => value.push(parse_escape(&mut chars)?),
            c => value.push(c),
        }
    }
}

fn parse_escape(chars: &mut std::str::Chars<'_>) -> Option<char> {
    match chars.next()? {
        'n' => Some('\n'),
        'r' => Some('\r'),
        't' => Some('\t'),
        'u' => parse_code_point(chars),
        c @ ('"' | '\\') => Some(c),
        _ => None,
    }
}

fn parse_code_point(chars: &mut std::str::Chars<'_>) -> Option<char> {
    let (code, rest) = chars.as_str().strip_prefix('{')?.split_once('}')?;
    *chars = rest.chars();
    char::from_u32(u32::from_str_radix(code, 16).ok()?)
}
