//! Reads request bodies up to a limit.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BodyFault {
    /// The body is larger than the limit.
    TooLarge,
    /// The body ended before it was complete.
    Broken,
}

/// Reads a complete body of at most `limit` bytes.
pub(super) async fn read_body(mut body: Incoming, limit: usize) -> Result<Bytes, BodyFault> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyFault::Broken)?;
        if let Ok(data) = frame.into_data() {
            if bytes.len() + data.len() > limit {
                return Err(BodyFault::TooLarge);
            }
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.freeze())
}
