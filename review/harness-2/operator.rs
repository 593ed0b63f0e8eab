//! The operator, who sends configurations.

use std::{
    net::SocketAddr,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::http;

/// Sends a configuration to any daemon until it is acknowledged.
pub fn configure(controls: &[SocketAddr], document: &str, timeout: Duration) -> bool {
    let end = Instant::now() + timeout;
    while Instant::now() < end {
        for control in controls {
            let headers = [
                ("Host", control.to_string()),
                ("Content-Type", "application/json".to_owned()),
            ];
            let request = http::encode(
                "PUT /fulmarweir/config HTTP/1.1",
                &headers,
                document.as_bytes(),
            );
            let reply = http::call(*control, &request, Duration::from_secs(4));
            if matches!(&reply, Ok(Some(reply)) if reply.status() == 200) {
                return true;
            }
        }
        sleep(Duration::from_millis(200));
    }
    false
}

pub const LIMITS: &str = "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}";
