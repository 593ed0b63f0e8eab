//! The end of a planned stop, which the daemon and both roles of the relay share.

use std::{pin::pin, time::Duration};

use tokio::time::timeout;

/// How a shutdown ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StopEnd {
    /// All requests were finished.
    Finished,
    /// What was still in flight had to be answered early.
    Answered,
    /// The time was up before the end.
    CutShort,
}

/// Waits for `shutdown`. If it takes longer than `answer_after`, calls `answer_rest`, which ends what is in
/// flight, and waits for `margin` more.
///
/// Load pattern: targets are still silent when the time for a planned stop is up.
pub(crate) async fn finish_in_time(
    shutdown: impl Future<Output = ()>,
    answer_after: Duration,
    margin: Duration,
    answer_rest: impl FnOnce(),
) -> StopEnd {
    let mut shutdown = pin!(shutdown);
    if timeout(answer_after, &mut shutdown).await.is_ok() {
        return StopEnd::Finished;
    }
    answer_rest();
    if timeout(margin, shutdown).await.is_ok() {
        StopEnd::Answered
    } else {
        StopEnd::CutShort
    }
}
