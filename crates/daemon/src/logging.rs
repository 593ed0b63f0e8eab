//! The logger of the process, which writes one logfmt line per event.

use std::{io, sync::Mutex};

use slog::{Drain, LevelFilter, Logger, o};
use slog_logfmt::Logfmt;

/// Maximum number of lines queued for writing; further lines are dropped and their number is
/// logged.
const LOG_QUEUE_LINES: usize = 8192;

/// Builds the logger of the daemon, which writes to standard error.
pub(crate) fn build_logger(level: slog::Level, vm: &str) -> Logger {
    build(io::stderr(), level, vm)
}

/// Builds the logger of a VM that relays requests, which writes to standard output.
pub(crate) fn build_relay_logger(level: slog::Level, vm: &str) -> Logger {
    build(io::stdout(), level, vm)
}

/// Builds a logger whose lines are written by a separate thread, so that logging never blocks a
/// request.
fn build(out: impl io::Write + Send + 'static, level: slog::Level, vm: &str) -> Logger {
    let lines = Logfmt::new(out).set_prefix(write_prefix).build();
    // A line that cannot be written, e.g. to a full disk, is lost. Later ones may succeed.
    let drain = Mutex::new(lines).ignore_res();
    let drain = slog_async::Async::new(drain)
        .chan_size(LOG_QUEUE_LINES)
        .build();
    let drain = LevelFilter::new(drain, level).fuse();
    Logger::root(drain, o!("vm" => vm.to_owned()))
}

fn write_prefix(out: &mut dyn io::Write, record: &slog::Record<'_>) -> slog::Result {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    let level = record.level().as_str().to_lowercase();
    write!(
        out,
        "ts={}.{:03} level={level} event={:?} ",
        now.as_secs(),
        now.subsec_millis(),
        record.msg().to_string()
    )?;
    Ok(())
}
