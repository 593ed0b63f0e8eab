//! Reads and writes whole bodies on HTTP/2 streams.

use bytes::{Bytes, BytesMut};
use futures::future::poll_fn;
use h2::{RecvStream, SendStream};

use crate::codec::MESSAGE_MAX_BYTES;

/// Reads a whole body; `None` if the stream breaks or the body exceeds [`MESSAGE_MAX_BYTES`].
pub(crate) async fn read_body(stream: &mut RecvStream) -> Option<Bytes> {
    let mut body = BytesMut::new();
    while let Some(chunk) = stream.data().await {
        let chunk = chunk.ok()?;
        stream.flow_control().release_capacity(chunk.len()).ok()?;
        if body.len() + chunk.len() > MESSAGE_MAX_BYTES {
            return None;
        }
        body.extend_from_slice(&chunk);
    }
    Some(body.freeze())
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
