//! Typed messages between daemons, carried as bincode in HTTP/2 streams.
//!
//! A request is one stream: its body is one encoded message, the response body
//! is the encoded reply. The path holds the protocol version, so daemons of
//! incompatible versions refuse each other before they decode anything.
//! Dropping a call resets its stream, which cancels the work at the other end.
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
mod server;
mod traffic;

pub use client::PeerClient;
pub use codec::{MESSAGE_MAX_BYTES, decode_message, encode_message};
pub use error::{WireError, WireFault};
pub use server::PeerServer;
pub use traffic::{TrafficClass, TrafficMeter, TrafficTotals};

/// Path that names the protocol and its version.
pub(crate) const PROTOCOL_PATH: &str = "/fulmarweir/peer/3";
