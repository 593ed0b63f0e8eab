//! Invalid bytes from peers must cause neither a panic nor unbounded memory use, and must not stop
//! the server.

use std::{future::ready, net::SocketAddr, sync::Arc, time::Duration};

use arbtest::{arbitrary::Unstructured, arbtest};
use fulmarweir_wire::{
    MESSAGE_MAX_BYTES, PeerClient, PeerServer, TrafficClass, decode_message, encode_message,
};
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use tokio_util::sync::CancellationToken;

const SEEDS: std::ops::Range<u64> = 0..60;
/// Size of the random input, which arbtest reads from the low 32 bits of a seed.
const INPUT_MAX_BYTES: u64 = 600;
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";

/// A message with each kind of field whose length or tag is decoded.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct SampleMessage {
    name: String,
    parts: Vec<Vec<u8>>,
    choice: Option<u64>,
}

/// Checks a property with fixed seeds, so that every run gives the same result.
fn check_property(property: fn(&mut Unstructured<'_>) -> arbtest::arbitrary::Result<()>) {
    for seed in SEEDS {
        arbtest(property).seed(seed << 32 | INPUT_MAX_BYTES).run();
    }
}

fn arbitrary_message(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<SampleMessage> {
    Ok(SampleMessage {
        name: u.arbitrary()?,
        parts: u.arbitrary()?,
        choice: u.arbitrary()?,
    })
}

#[test]
fn arbitrary_bytes_are_a_message_or_an_error() {
    check_property(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        let _ = decode_message::<SampleMessage>(&bytes);
        let _ = decode_message::<Vec<u64>>(&bytes);
        Ok(())
    });
}

#[test]
fn a_message_round_trips_and_its_truncations_are_errors() {
    check_property(|u| {
        let message = arbitrary_message(u)?;
        let mut bytes = encode_message(&message).unwrap();
        assert_eq!(decode_message::<SampleMessage>(&bytes).unwrap(), message);
        let cut_len = u.choose_index(bytes.len())?;
        assert!(decode_message::<SampleMessage>(&bytes[..cut_len]).is_err());
        bytes.push(0);
        assert!(decode_message::<SampleMessage>(&bytes).is_err());
        Ok(())
    });
}

/// A length prefix that exceeds the data must not cause an allocation of that length.
#[test]
fn a_length_prefix_beyond_the_limit_is_an_error() {
    let over = u64::try_from(MESSAGE_MAX_BYTES).unwrap() + 1;
    for claimed_len in [over, u64::from(u32::MAX), u64::MAX] {
        let mut bytes = vec![253];
        bytes.extend_from_slice(&claimed_len.to_le_bytes());
        assert!(decode_message::<String>(&bytes).is_err());
        assert!(decode_message::<Vec<u64>>(&bytes).is_err());
    }
}

#[tokio::test]
async fn a_server_keeps_serving_after_connections_that_send_invalid_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    let handler = |_from: SocketAddr, number: u32| (TrafficClass::Control, ready(number));
    let server = PeerServer::new(handler, Arc::default(), stop.clone());
    let task = tokio::spawn(server.serve(listener));
    for invalid_bytes in invalid_inputs() {
        let mut stream = TcpStream::connect(address).await.unwrap();
        // The server may close the connection before all bytes are written.
        let _ = stream.write_all(&invalid_bytes).await;
        let _ = stream.shutdown().await;
        let _ = stream.read_to_end(&mut Vec::new()).await;
    }
    let client = PeerClient::<u32, u32>::new(Arc::default());
    let reply = client
        .call(address, TrafficClass::Query, &7, CALL_TIMEOUT)
        .await;
    assert_eq!(reply.unwrap(), 7);
    client.close().await;
    stop.cancel();
    task.await.unwrap();
}

/// Returns arbitrary bytes for each seed, half of them after a valid HTTP/2 connection preface.
fn invalid_inputs() -> Vec<Vec<u8>> {
    let inputs = std::cell::RefCell::new(Vec::new());
    for seed in SEEDS {
        let property = |u: &mut Unstructured<'_>| {
            let mut bytes = Vec::new();
            if seed % 2 == 0 {
                bytes.extend_from_slice(HTTP2_PREFACE);
            }
            bytes.extend_from_slice(u.bytes(u.len())?);
            inputs.borrow_mut().push(bytes);
            Ok(())
        };
        arbtest(property).seed(seed << 32 | INPUT_MAX_BYTES).run();
    }
    inputs.into_inner()
}
