//! `fulmarweir explain`: one account of a request from the logs of all VMs.
//!
//! The lines that name the request are joined in the order of their times. For
//! each VM that has one follows what it believed at the time: the latest of
//! each kind of event about its surroundings, with its age.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write as _,
    fs::File,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
};

use serde_json::{Value, json};

use crate::{
    failure::{Result, ToolError},
    log_line::LogLine,
    report::{CommandReport, printable},
};

/// Events that tell what a VM believes of its surroundings, or that its log has gaps.
const BELIEF_EVENTS: [&str; 15] = [
    "starting",
    "stopping",
    "config-in-force",
    "config-kept",
    "keepers-lost",
    "keepers-regained",
    "keeper-not-reached",
    "targets-changed",
    "brokers-changed",
    "broker-lost",
    "broker-usable",
    "settings-reloaded",
    "settings-not-reloaded",
    "voter-opened",
    "request-lines-left-out",
];
/// Keys that every line has, and that the account shows in places of their own.
const COMMON_KEYS: [&str; 5] = ["ts", "level", "event", "vm", "request"];

/// What the logs tell of one request.
struct RequestAccount {
    request: String,
    lines: Vec<LogLine>,
    /// The latest belief of each kind, by VM and event.
    beliefs: BTreeMap<(String, String), LogLine>,
}

/// Joins what `files` tell of the request with the id `request`.
pub(crate) fn explain(request: &str, files: &[PathBuf]) -> Result<CommandReport> {
    let lines = request_lines(request, files)?;
    if lines.is_empty() {
        let message = format!(
            "no line names request {request:?}: it took another way in, or its line was left \
             out to bound the log (look for request-lines-left-out)"
        );
        return Err(ToolError::BadUsage(message));
    }
    let beliefs = beliefs_at(&lines, files)?;
    let account = RequestAccount {
        request: request.to_owned(),
        lines,
        beliefs,
    };
    Ok(CommandReport::new(account.to_text(), account.to_json()))
}

/// The lines that name the request, in the order of their times.
fn request_lines(request: &str, files: &[PathBuf]) -> Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for file in files {
        each_line(file, |line| {
            if line.get("request") == Some(request) {
                lines.push(line);
            }
        })?;
    }
    lines.sort_by(|a, b| a.time_s.total_cmp(&b.time_s));
    Ok(lines)
}

/// What the VMs concerned believed when the last line was written.
fn beliefs_at(lines: &[LogLine], files: &[PathBuf]) -> Result<BTreeMap<(String, String), LogLine>> {
    let vms: BTreeSet<&str> = lines.iter().map(LogLine::vm).collect();
    let end_s = lines.last().map_or(f64::MAX, |line| line.time_s);
    let mut beliefs: BTreeMap<(String, String), LogLine> = BTreeMap::new();
    for file in files {
        each_line(file, |line| {
            let is_belief = BELIEF_EVENTS.contains(&line.event());
            if !is_belief || line.time_s > end_s || !vms.contains(line.vm()) {
                return;
            }
            let key = (line.vm().to_owned(), line.event().to_owned());
            let known = beliefs.get(&key).map_or(f64::MIN, |known| known.time_s);
            if line.time_s >= known {
                beliefs.insert(key, line);
            }
        })?;
    }
    Ok(beliefs)
}

/// Passes each log line of a file to `take`; other text is passed over.
fn each_line(path: &Path, mut take: impl FnMut(LogLine)) -> Result<()> {
    let fault = |error: std::io::Error| {
        let message = format!("{}: {error}", path.display());
        ToolError::BadUsage(message)
    };
    let file = File::open(path).map_err(fault)?;
    let mut reader = BufReader::new(file);
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        if reader.read_until(b'\n', &mut bytes).map_err(fault)? == 0 {
            return Ok(());
        }
        // A process that was killed may have left half a character behind.
        let text = String::from_utf8_lossy(&bytes);
        if let Some(line) = LogLine::parse(text.trim_end()) {
            take(line);
        }
    }
}

impl RequestAccount {
    fn to_text(&self) -> String {
        let start_s = self.lines.first().map_or(0.0, |line| line.time_s);
        let end_s = self.lines.last().map_or(0.0, |line| line.time_s);
        let mut text = format!("request {}\n", printable(&self.request));
        // Writing to a string does not fail.
        for line in &self.lines {
            let after_s = line.time_s - start_s;
            let (vm, event) = (printable(line.vm()), printable(line.event()));
            let _ = writeln!(text, "  +{after_s:.3} s  {vm}  {event}{}", pairs(line));
        }
        let _ = writeln!(text, "what these VMs believed at the end");
        for ((vm, event), line) in &self.beliefs {
            let age_s = end_s - line.time_s;
            let (vm, event) = (printable(vm), printable(event));
            let _ = writeln!(text, "  {age_s:.3} s old  {vm}  {event}{}", pairs(line));
        }
        text
    }

    fn to_json(&self) -> Value {
        let end_s = self.lines.last().map_or(0.0, |line| line.time_s);
        let lines: Vec<Value> = self.lines.iter().map(LogLine::to_json).collect();
        let beliefs = self.beliefs.values().map(|line| {
            let mut belief = line.to_json();
            belief["age_s"] = json!(end_s - line.time_s);
            belief
        });
        let beliefs: Vec<Value> = beliefs.collect();
        json!({ "request": self.request, "lines": lines, "beliefs": beliefs })
    }
}

/// The keys and values of a line that are its own.
fn pairs(line: &LogLine) -> String {
    let mut text = String::new();
    for (key, value) in &line.pairs {
        if !COMMON_KEYS.contains(&key.as_str()) {
            let _ = write!(text, "  {}={}", printable(key), printable(value));
        }
    }
    text
}
