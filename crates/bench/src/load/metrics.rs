//! Reads single counters from the Prometheus text format of a daemon.

/// Returns the sum of all samples of `name` whose labels contain `label`.
///
/// The text format is line-based, so a sum does not require a full parser.
#[must_use]
pub fn metric_sum(text: &str, name: &str, label: &str) -> f64 {
    let samples = text.lines().filter_map(|line| sample(line, name, label));
    samples.sum()
}

fn sample(line: &str, name: &str, label: &str) -> Option<f64> {
    let rest = line.strip_prefix(name)?;
    let (labels, value) = match rest.strip_prefix('{') {
        Some(rest) => rest.split_once('}')?,
        None => ("", rest.strip_prefix(' ')?),
    };
    if !labels.contains(label) {
        return None;
    }
    value.split_ascii_whitespace().next()?.parse().ok()
}
