//! Reads request bodies up to a limit, within the memory that all of them share.

use std::time::Duration;

use bytes::Bytes;
use fulmarweir_bounds::{BudgetExhausted, LeasedBuffer, MemoryBudget};
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

/// Most bytes that are read of a body whose request was refused, so that its sender reads the refusal, and for
/// how long, in milliseconds.
const REST_MAX_BYTES: usize = 1024 * 1024;
const REST_MAX_MS: u64 = 1_000;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyFault {
    /// The body is larger than the limit.
    TooLarge,
    /// The body ended before it was complete.
    Broken,
    /// The body did not arrive in time.
    TimedOut,
    /// There is no memory left for it, or it was too slow while others needed the memory.
    NoMemory,
}

impl From<BudgetExhausted> for BodyFault {
    fn from(BudgetExhausted: BudgetExhausted) -> Self {
        Self::NoMemory
    }
}

/// What bounds a body.
pub(crate) struct BodyBounds<'a> {
    pub(crate) max_bytes: usize,
    pub(crate) timeout: Duration,
    /// Memory of all bodies that are read or in use.
    pub(crate) memory: &'a MemoryBudget,
    /// Joins what reads the rest of refused bodies.
    pub(crate) tasks: &'a TaskTracker,
}

/// Reads a complete body. The rest of one that is refused is read and dropped in the background.
pub(crate) async fn read_body<B>(mut body: B, bounds: &BodyBounds<'_>) -> Result<Bytes, BodyFault>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    let result = match timeout(bounds.timeout, read_within(&mut body, bounds)).await {
        Ok(result) => result,
        Err(_) => Err(BodyFault::TimedOut),
    };
    if let Err(BodyFault::TooLarge | BodyFault::NoMemory | BodyFault::TimedOut) = result {
        drop_rest(body, bounds.tasks);
    }
    result
}

async fn read_within<B>(body: &mut B, bounds: &BodyBounds<'_>) -> Result<Bytes, BodyFault>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut buffer = LeasedBuffer::new(bounds.memory.start_transfer());
    loop {
        let frame = tokio::select! {
            biased;
            () = buffer.transfer().cancelled() => return Err(BodyFault::NoMemory),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else {
            return Ok(buffer.freeze());
        };
        let frame = frame.map_err(|_| BodyFault::Broken)?;
        if let Ok(data) = frame.into_data() {
            if buffer.len() + data.len() > bounds.max_bytes {
                return Err(BodyFault::TooLarge);
            }
            buffer.append(&data)?;
        }
    }
}

/// Reads the rest of a body whose request was refused. Otherwise the connection would be reset, and its sender
/// might not get to read the answer.
pub(crate) fn drop_rest<B>(mut body: B, tasks: &TaskTracker)
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    tasks.spawn(async move {
        let read = async {
            let mut left = REST_MAX_BYTES;
            while let Some(Ok(frame)) = body.frame().await
                && left > 0
            {
                let length = frame.data_ref().map_or(0, Bytes::len);
                left = left.saturating_sub(length);
            }
        };
        // A sender that does not send the rest has had time to read the answer.
        let _ = timeout(Duration::from_millis(REST_MAX_MS), read).await;
    });
}
