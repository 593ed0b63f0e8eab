//! Typed messages between daemons over HTTP/2 streams.
