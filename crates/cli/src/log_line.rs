//! Parsing of a daemon's log lines, which are in logfmt.

use serde_json::{Value, json};

/// A log line with its key-value pairs in their order on the line.
#[derive(Clone, Debug)]
pub(crate) struct LogLine {
    /// Unix time in seconds.
    pub(crate) time_s: f64,
    pub(crate) pairs: Vec<(String, String)>,
}

impl LogLine {
    /// Parses a line. Returns `None` if it is not a line of a daemon's log.
    ///
    /// Text before the time, such as a name added by a log collector, is ignored.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let start = text.find("ts=")?;
        let pairs = parse_pairs(&text[start..]);
        let find = |name: &str| pairs.iter().find(|(key, _)| key == name);
        let time_s = find("ts")?.1.parse().ok()?;
        find("event")?;
        Some(Self { time_s, pairs })
    }

    /// Returns the value of a key.
    pub(crate) fn get(&self, name: &str) -> Option<&str> {
        let pair = self.pairs.iter().find(|(key, _)| key == name);
        pair.map(|(_, value)| value.as_str())
    }

    /// Returns the name of the VM that wrote the line.
    pub(crate) fn vm(&self) -> &str {
        self.get("vm").unwrap_or("unnamed")
    }

    /// Returns the name of the logged event.
    pub(crate) fn event(&self) -> &str {
        self.get("event").unwrap_or_default()
    }

    /// Returns all key-value pairs as a JSON object, with the time as a number.
    pub(crate) fn to_json(&self) -> Value {
        let pairs = self.pairs.iter();
        let fields = pairs.map(|(key, value)| (key.clone(), Value::from(value.clone())));
        let mut line = Value::Object(fields.collect());
        line["ts"] = json!(self.time_s);
        line
    }
}

fn parse_pairs(mut text: &str) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    loop {
        text = text.trim_start();
        let Some(key_end) = text.find(['=', ' ']) else {
            return pairs;
        };
        let key = &text[..key_end];
        let Some(after) = text[key_end..].strip_prefix('=') else {
            text = &text[key_end..];
            continue;
        };
        let (value, rest) = if let Some(quoted) = after.strip_prefix('"') {
            parse_quoted(quoted)
        } else {
            let end = after.find(' ').unwrap_or(after.len());
            (after[..end].to_owned(), &after[end..])
        };
        pairs.push((key.to_owned(), value));
        text = rest;
    }
}

/// Parses a value up to its closing quote, or to the end of a truncated line. Returns the value and
/// the rest of the line.
fn parse_quoted(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((index, char)) = chars.next() {
        match char {
            '"' => return (value, &text[index + 1..]),
            '\\' => match chars.next() {
                Some((_, 'n')) => value.push('\n'),
                Some((_, 't')) => value.push('\t'),
                Some((_, other)) => value.push(other),
                None => {}
            },
            other => value.push(other),
        }
    }
    (value, "")
}
