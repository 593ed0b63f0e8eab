//! Bytes from the peers' port: no panic, bounded memory, and the server goes on.

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
const SIZE: u64 = 600;
const PATIENCE: Duration = Duration::from_secs(5);
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";

/// A message with every shape that lengths are read for.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct SampleMessage {
    name: String,
    parts: Vec<Vec<u8>>,
    choice: Option<u64>,
}

/// Runs a property on fixed seeds only, so that each run gives the same verdict.
fn check(property: fn(&mut Unstructured<'_>) -> arbtest::arbitrary::Result<()>) {
    for seed in SEEDS {
        arbtest(property).seed(seed << 32 | SIZE).run();
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
    check(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        let _ = decode_message::<SampleMessage>(&bytes);
        let _ = decode_message::<Vec<u64>>(&bytes);
        Ok(())
    });
}

#[test]
fn a_message_survives_and_its_cut_forms_are_errors() {
    check(|u| {
        let message = arbitrary_message(u)?;
        let mut bytes = encode_message(&message).unwrap();
        assert_eq!(decode_message::<SampleMessage>(&bytes).unwrap(), message);
        let cut = u.choose_index(bytes.len())?;
        assert!(decode_message::<SampleMessage>(&bytes[..cut]).is_err());
        bytes.push(0);
        assert!(decode_message::<SampleMessage>(&bytes).is_err());
        Ok(())
    });
}

/// A length that the bytes don't hold must not be allocated.
#[test]
fn a_claimed_length_beyond_the_limit_is_an_error() {
    let over = u64::try_from(MESSAGE_MAX_BYTES).unwrap() + 1;
    for claimed in [over, u64::from(u32::MAX), u64::MAX] {
        let mut bytes = vec![253];
        bytes.extend_from_slice(&claimed.to_le_bytes());
        assert!(decode_message::<String>(&bytes).is_err());
        assert!(decode_message::<Vec<u64>>(&bytes).is_err());
    }
}

#[tokio::test]
async fn a_server_goes_on_after_connections_that_send_rubbish() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    let handler = |_from: SocketAddr, number: u32| (TrafficClass::Control, ready(number));
    let server = PeerServer::new(handler, Arc::default(), stop.clone());
    let task = tokio::spawn(server.serve(listener));
    for rubbish in rubbish_of_all_seeds() {
        let mut stream = TcpStream::connect(address).await.unwrap();
        // The server may close as soon as it has seen enough.
        let _ = stream.write_all(&rubbish).await;
        let _ = stream.shutdown().await;
        let _ = stream.read_to_end(&mut Vec::new()).await;
    }
    let client = PeerClient::<u32, u32>::new(Arc::default());
    let reply = client
        .call(address, TrafficClass::Query, &7, PATIENCE)
        .await;
    assert_eq!(reply.unwrap(), 7);
    client.close().await;
    stop.cancel();
    task.await.unwrap();
}

/// Arbitrary bytes, half of them behind a valid start of an HTTP/2 connection.
fn rubbish_of_all_seeds() -> Vec<Vec<u8>> {
    let collected = std::cell::RefCell::new(Vec::new());
    for seed in SEEDS {
        let property = |u: &mut Unstructured<'_>| {
            let mut bytes = Vec::new();
            if seed % 2 == 0 {
                bytes.extend_from_slice(HTTP2_PREFACE);
            }
            bytes.extend_from_slice(u.bytes(u.len())?);
            collected.borrow_mut().push(bytes);
            Ok(())
        };
        arbtest(property).seed(seed << 32 | SIZE).run();
    }
    collected.into_inner()
}
