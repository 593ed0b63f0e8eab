//! Reads and writes whole bodies on HTTP/2 streams.

use std::sync::LazyLock;

use bytes::Bytes;
use fulmarweir_bounds::{LeasedBuffer, MemoryBudget};
use futures::future::poll_fn;
use h2::{RecvStream, SendStream};

use crate::codec::MESSAGE_MAX_BYTES;

/// Memory of all messages that this process receives or sends, in bytes. A call and its reply of the largest size fit
/// together.
const MESSAGES_MAX_BYTES: usize = 24 * 1024 * 1024;
/// Largest message that may use all of it, in bytes; larger ones leave a part free.
const SMALL_MESSAGE_BYTES: usize = 64 * 1024;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyFault {
    /// The stream broke, or the body exceeds [`MESSAGE_MAX_BYTES`].
    Broken,
    /// There is no memory left for it, or it was slow while others needed the memory.
    NoMemory,
}

static MESSAGE_MEMORY: LazyLock<MemoryBudget> =
    LazyLock::new(|| MemoryBudget::new(MESSAGES_MAX_BYTES, SMALL_MESSAGE_BYTES));

/// Returns the memory that the messages of all servers and clients of this process share.
pub(crate) fn message_memory() -> &'static MemoryBudget {
    &MESSAGE_MEMORY
}

/// Reads a whole body.
pub(crate) async fn read_body(
    stream: &mut RecvStream,
    memory: &MemoryBudget,
) -> Result<Bytes, BodyFault> {
    let mut body = LeasedBuffer::new(memory.start_transfer());
    loop {
        let chunk = tokio::select! {
            biased;
            () = body.transfer().cancelled() => return Err(BodyFault::NoMemory),
            chunk = stream.data() => chunk,
        };
        let Some(chunk) = chunk else {
            return Ok(body.freeze());
        };
        let chunk = chunk.map_err(|_| BodyFault::Broken)?;
        let released = stream.flow_control().release_capacity(chunk.len());
        if released.is_err() || body.len() + chunk.len() > MESSAGE_MAX_BYTES {
            return Err(BodyFault::Broken);
        }
        let appended = body.append(&chunk);
        appended.map_err(|_| BodyFault::NoMemory)?;
    }
}

/// Sends a body as the flow-control window allows and ends the stream; `None` if it breaks.
pub(crate) async fn write_body(stream: &mut SendStream<Bytes>, mut body: Bytes) -> Option<()> {
    while !body.is_empty() {
        stream.reserve_capacity(body.len());
        let granted = poll_fn(|cx| stream.poll_capacity(cx)).await?.ok()?;
        let chunk = body.split_to(granted.min(body.len()));
        stream.send_data(chunk, body.is_empty()).ok()?;
    }
    Some(())
}
