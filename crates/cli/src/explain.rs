//! The command `explain`: the timeline of a request, from the logs of all VMs.
//!
//! The log lines of the request are merged in time order. They are followed by
//! the beliefs of the VMs that wrote them, i.e. what these VMs knew about the
//! rest of the tier: for each VM and kind of event, the latest line up to the
//! last line of the request, with its age.

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

/// Events that show what a VM knows about the rest of the tier, or that its log has gaps.
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
/// Keys that all lines have, which are not printed with the other fields.
const COMMON_KEYS: [&str; 5] = ["ts", "level", "event", "vm", "request"];

/// The log lines of a request, with the beliefs of the VMs that wrote them.
struct RequestTimeline {
    request: String,
    lines: Vec<LogLine>,
    /// The latest line of each belief event, by VM and event.
    beliefs: BTreeMap<(String, String), LogLine>,
}

/// Builds the timeline of the request with the ID `request` from the log files `files`.
pub(crate) fn explain(request: &str, files: &[PathBuf]) -> Result<CommandReport> {
    let lines = request_lines(request, files)?;
    if lines.is_empty() {
        let message = format!(
            "no line names request {request:?}: it took another way in, or its line was left \
             out to bound the log (look for request-lines-left-out)"
        );
        return Err(ToolError::BadUsage(message));
    }
    let beliefs = latest_beliefs(&lines, files)?;
    let timeline = RequestTimeline {
        request: request.to_owned(),
        lines,
        beliefs,
    };
    Ok(CommandReport::new(timeline.to_text(), timeline.to_json()))
}

/// Returns the lines of the request in time order.
fn request_lines(request: &str, files: &[PathBuf]) -> Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for file in files {
        for_each_line(file, |line| {
            if line.get("request") == Some(request) {
                lines.push(line);
            }
        })?;
    }
    lines.sort_by(|a, b| a.time_s.total_cmp(&b.time_s));
    Ok(lines)
}

/// Returns the beliefs of the VMs that wrote `lines`, at the time of the last line.
fn latest_beliefs(
    lines: &[LogLine],
    files: &[PathBuf],
) -> Result<BTreeMap<(String, String), LogLine>> {
    let vms: BTreeSet<&str> = lines.iter().map(LogLine::vm).collect();
    let end_s = lines.last().map_or(f64::MAX, |line| line.time_s);
    let mut beliefs: BTreeMap<(String, String), LogLine> = BTreeMap::new();
    for file in files {
        for_each_line(file, |line| {
            let is_belief = BELIEF_EVENTS.contains(&line.event());
            if !is_belief || line.time_s > end_s || !vms.contains(line.vm()) {
                return;
            }
            let key = (line.vm().to_owned(), line.event().to_owned());
            let previous_s = beliefs
                .get(&key)
                .map_or(f64::MIN, |previous| previous.time_s);
            if line.time_s >= previous_s {
                beliefs.insert(key, line);
            }
        })?;
    }
    Ok(beliefs)
}

/// Calls `visit` for each log line of a file. Other text is ignored.
fn for_each_line(path: &Path, mut visit: impl FnMut(LogLine)) -> Result<()> {
    let read_error = |error: std::io::Error| {
        let message = format!("{}: {error}", path.display());
        ToolError::BadUsage(message)
    };
    let file = File::open(path).map_err(read_error)?;
    let mut reader = BufReader::new(file);
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        if reader.read_until(b'\n', &mut bytes).map_err(read_error)? == 0 {
            return Ok(());
        }
        // The last character may be incomplete if the process was killed while it wrote.
        let text = String::from_utf8_lossy(&bytes);
        if let Some(line) = LogLine::parse(text.trim_end()) {
            visit(line);
        }
    }
}

impl RequestTimeline {
    fn to_text(&self) -> String {
        let start_s = self.lines.first().map_or(0.0, |line| line.time_s);
        let end_s = self.lines.last().map_or(0.0, |line| line.time_s);
        let mut text = format!("request {}\n", printable(&self.request));
        // Writing to a string never fails.
        for line in &self.lines {
            let after_s = line.time_s - start_s;
            let (vm, event) = (printable(line.vm()), printable(line.event()));
            let _ = writeln!(
                text,
                "  +{after_s:.3} s  {vm}  {event}{}",
                fields_text(line)
            );
        }
        let _ = writeln!(text, "what these VMs believed at the end");
        for ((vm, event), line) in &self.beliefs {
            let age_s = end_s - line.time_s;
            let (vm, event) = (printable(vm), printable(event));
            let _ = writeln!(
                text,
                "  {age_s:.3} s old  {vm}  {event}{}",
                fields_text(line)
            );
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

/// Formats the key-value pairs of a line, without the common keys.
fn fields_text(line: &LogLine) -> String {
    let mut text = String::new();
    for (key, value) in &line.pairs {
        if !COMMON_KEYS.contains(&key.as_str()) {
            let _ = write!(text, "  {}={}", printable(key), printable(value));
        }
    }
    text
}
