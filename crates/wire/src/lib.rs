//! Typed messages between daemons, carried as bincode in HTTP/2 streams.
//!
//! Each call is one stream: the request body is one encoded message, the
//! response body the encoded reply. The path contains the protocol version. A
//! daemon serves two versions, and calls peers of the older one in that form.
//! Dropping a call resets its stream, which cancels the work at the peer.
//!
//! ```
//! use fulmarweir_wire::{decode_message, encode_message};
//!
//! let bytes = encode_message(&(7_u32, "seven".to_owned())).unwrap();
//! let back: (u32, String) = decode_message(&bytes).unwrap();
//! assert_eq!(back, (7, "seven".to_owned()));
//! ```

mod body;
mod client;
mod codec;
mod error;
mod message;
mod peer_versions;
mod served_versions;
mod server;
mod traffic;

pub use client::PeerClient;
pub use codec::{MESSAGE_MAX_BYTES, decode_message, encode_message};
pub use error::{WireError, WireFault};
pub use message::{
    ExtensionFields, PeerMessage, PeerVersion, decode_peer_message, encode_peer_message,
};
pub use served_versions::{ServedVersions, UnknownVersionCalls};
pub use server::PeerServer;
pub use traffic::{TrafficClass, TrafficMeter, TrafficTotals};
