//! Tests calls between builds of different protocol versions, and the form of messages.

mod support;

use std::{
    collections::VecDeque, future::ready, net::SocketAddr, ops::Range, sync::Arc, time::Duration,
};

use arbtest::arbtest;
use bytes::Bytes;
use fulmarweir_base::RunVerdict;
use fulmarweir_wire::{
    PeerClient, PeerMessage, PeerServer, PeerVersion, TrafficClass, TrafficMeter, WireError,
    WireFault, decode_message, decode_peer_message, encode_message, encode_peer_message,
};
use http::StatusCode;
use support::{NOTE_FIELD, NoteMessage, OtherBuild, PATH_8, PATH_9, call, listen_at, start_server};
use tokio_util::sync::CancellationToken;

/// A number that no message reads.
const LATER_FIELD: u32 = 6;
const SEEDS: Range<u64> = 0..400;

/// Guards against an upgrade during which the first VM replaced cannot call the others.
#[tokio::test]
async fn a_call_falls_back_to_version_8_and_the_connection_keeps_it() {
    let peer = OtherBuild::start(PATH_8);
    let client = PeerClient::new(Arc::default());
    assert_eq!(client.version_of(peer.address), None);
    for _ in 0..2 {
        // The old build does not know the field, so it does not come back.
        let reply = call(&client, peer.address, &NoteMessage::with_note("x")).await;
        let expected = NoteMessage::Plain {
            body: vec![1, 2],
            note: None,
        };
        assert_eq!(reply.unwrap(), expected);
    }
    assert_eq!(peer.take_paths(), [PATH_9, PATH_8, PATH_8]);
    assert_eq!(client.version_of(peer.address), Some(PeerVersion::V8));
    client.close().await;
    peer.stop().await;
}

/// Guards against a refusal that arrives while a large body is being sent, and is then reported as a
/// broken stream whose call may have run.
#[tokio::test]
async fn a_call_with_a_large_body_falls_back_too() {
    let peer = OtherBuild::start(PATH_8);
    for len in [60_000, 70_000, 1_100_000, 6_000_000] {
        let client = PeerClient::new(Arc::default());
        let message = NoteMessage::plain(len);
        let reply = call(&client, peer.address, &message).await;
        assert_eq!(reply.as_ref().map(|reply| *reply == message), Ok(true));
        assert_eq!(peer.take_paths(), [PATH_9, PATH_8], "{len} bytes");
        client.close().await;
    }
    peer.stop().await;
}

/// Guards against calls that fail because another call on the same connection has fallen back first.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn calls_that_start_together_on_a_new_connection_all_fall_back() {
    const CALLS: usize = 100;
    for _ in 0..10 {
        let peer = OtherBuild::start(PATH_8);
        let client = PeerClient::new(Arc::default());
        let message = NoteMessage::plain(300);
        let calls = (0..CALLS).map(|_| {
            let (client, message, address) = (client.clone(), message.clone(), peer.address);
            tokio::spawn(async move { call(&client, address, &message).await })
        });
        for reply in futures::future::join_all(calls).await {
            assert_eq!(reply.unwrap().unwrap(), message);
        }
        let paths = peer.take_paths();
        let served = paths.iter().filter(|path| *path == PATH_8).count();
        assert_eq!(served, CALLS);
        assert!(paths.len() <= 2 * CALLS, "{} calls", paths.len());
        client.close().await;
        peer.stop().await;
    }
}

/// Guards against a VM that keeps calling in version 8 after its peer was upgraded, and against one that
/// is lost when its peer is downgraded. Calls in flight at the replacement may fail.
#[tokio::test]
async fn a_new_connection_starts_with_version_9_again() {
    let client = PeerClient::new(Arc::default());
    let mut peer = OtherBuild::start("/fulmarweir/peer/7");
    let address = peer.address;
    let message = NoteMessage::plain(10);
    let background = {
        let (client, message) = (client.clone(), message.clone());
        tokio::spawn(async move {
            loop {
                match call(&client, address, &message).await {
                    Ok(reply) => assert_eq!(reply, message),
                    Err(error) => {
                        let expected = [WireFault::Broken, WireFault::Connect, WireFault::Protocol];
                        assert!(expected.contains(&error.fault), "{error}");
                        tokio::time::sleep(Duration::from_millis(1)).await;
                    }
                }
            }
        })
    };
    for (served, version) in [
        (PATH_8, PeerVersion::V8),
        (PATH_9, PeerVersion::V9),
        (PATH_8, PeerVersion::V8),
        (PATH_9, PeerVersion::V9),
    ] {
        peer.stop().await;
        peer = OtherBuild::start_at(address, served);
        let mut failures = 0;
        while call(&client, address, &message).await.is_err() {
            failures += 1;
            assert!(failures < 100, "no call reaches the replaced peer");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(client.version_of(address), Some(version));
        tokio::time::sleep(Duration::from_millis(30)).await;
        let paths = peer.take_paths();
        assert_eq!(paths.first().map(String::as_str), Some(PATH_9));
        assert_eq!(paths.last().map(String::as_str), Some(served));
    }
    assert!(!background.is_finished(), "a call failed in another way");
    background.abort();
    client.close().await;
    peer.stop().await;
}

/// Guards against a new kind of request that reaches a build which would misread or reject it, and
/// against one that is taken as possibly run.
#[tokio::test]
async fn a_request_of_version_9_alone_is_not_sent_to_a_version_8_peer() {
    let peer = OtherBuild::start(PATH_8);
    let client = PeerClient::new(Arc::default());
    let not_run = WireError {
        fault: WireFault::Protocol,
        verdict: RunVerdict::NotRun,
    };
    // The version of the peer becomes known by the refusal.
    let first = call(&client, peer.address, &NoteMessage::Added(1)).await;
    assert_eq!(first, Err(not_run));
    assert_eq!(peer.take_paths(), [PATH_9]);
    let second = call(&client, peer.address, &NoteMessage::Added(2)).await;
    assert_eq!(second, Err(not_run));
    assert!(peer.take_paths().is_empty());
    let plain = NoteMessage::plain(3);
    assert_eq!(call(&client, peer.address, &plain).await, Ok(plain));
    assert_eq!(peer.take_paths(), [PATH_8]);
    client.close().await;
    peer.stop().await;
}

/// Guards against endless attempts at a peer that speaks neither version.
#[tokio::test]
async fn a_peer_of_neither_version_gets_one_call_in_each() {
    let peer = OtherBuild::start("/fulmarweir/peer/7");
    let client = PeerClient::new(Arc::default());
    let error = call(&client, peer.address, &NoteMessage::plain(3)).await;
    let error = error.unwrap_err();
    assert_eq!(error.fault, WireFault::Protocol);
    assert_eq!(error.verdict, RunVerdict::NotRun);
    assert_eq!(peer.take_paths(), [PATH_9, PATH_8]);
    assert_eq!(client.version_of(peer.address), None);
    client.close().await;
    peer.stop().await;
}

/// Guards against an old build that is served in a form that it cannot read, and against a call in an
/// unknown version that has an effect or passes unseen.
#[tokio::test]
async fn a_server_serves_both_versions_and_counts_unknown_ones() {
    let meter = Arc::new(TrafficMeter::default());
    let (address, stop, task) = start_server("127.0.0.1:0".parse().unwrap(), Arc::clone(&meter));
    let stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let own_address = stream.local_addr().unwrap();
    let (sender, connection) = h2::client::handshake(stream).await.unwrap();
    let driver = tokio::spawn(connection);
    let message = NoteMessage::with_note("x");
    let v8 = encode_peer_message(&message, PeerVersion::V8).unwrap();
    let v9 = encode_peer_message(&message, PeerVersion::V9).unwrap();
    let mut replies = VecDeque::new();
    for (path, body) in [
        (PATH_8, &v8),
        (PATH_9, &v9),
        ("/fulmarweir/peer/7", &v8),
        ("/fulmarweir/peer/10", &v9),
        ("/", &v8),
    ] {
        let request = http::Request::post(format!("http://peer{path}"));
        let mut sender = sender.clone().ready().await.unwrap();
        let (response, mut stream) = sender
            .send_request(request.body(()).unwrap(), false)
            .unwrap();
        stream.send_data(Bytes::from(body.clone()), true).unwrap();
        let response = response.await.unwrap();
        let status = response.status();
        let mut received = Vec::new();
        let mut body = response.into_body();
        while let Some(chunk) = body.data().await {
            received.extend_from_slice(&chunk.unwrap());
        }
        replies.push_back((status, received));
    }
    assert_eq!(replies.pop_front(), Some((StatusCode::OK, v8)));
    assert_eq!(replies.pop_front(), Some((StatusCode::OK, v9)));
    for refused in replies {
        assert_eq!(refused, (StatusCode::NOT_FOUND, Vec::new()));
    }
    let served = meter.served();
    assert_eq!(served.calls(PeerVersion::V8), 1);
    assert_eq!(served.calls(PeerVersion::V9), 1);
    let unknown = served.unknown();
    assert_eq!(unknown.count, 3);
    assert_eq!(unknown.last, Some((own_address, "/".to_owned())));
    driver.abort();
    stop.cancel();
    task.await.unwrap();
}

/// Guards against a call that has run and is reported as not run, since its reply could not be encoded in
/// the version of the call.
#[tokio::test]
async fn a_call_whose_reply_cannot_be_encoded_may_have_run() {
    let listener = listen_at("127.0.0.1:0".parse().unwrap());
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    let handler = |_from: SocketAddr, _message: NoteMessage| {
        let reply = vec![0; fulmarweir_wire::MESSAGE_MAX_BYTES + 1];
        let reply = NoteMessage::Plain {
            body: reply,
            note: None,
        };
        (TrafficClass::Control, ready(reply))
    };
    let server = PeerServer::new(handler, Arc::default(), stop.clone());
    let task = tokio::spawn(server.serve(listener));
    let client = PeerClient::new(Arc::default());
    let error = call(&client, address, &NoteMessage::plain(3)).await;
    let error = error.unwrap_err();
    assert_eq!(error.fault, WireFault::Codec);
    assert_eq!(error.verdict, RunVerdict::MayHaveRun);
    client.close().await;
    stop.cancel();
    task.await.unwrap();
}

/// Guards against a message of version 9 that a reader of the version 8 part cannot find, and
/// against a cost of more than one byte where no field is set.
#[test]
fn a_version_9_message_is_that_of_version_8_followed_by_its_fields() {
    let message = NoteMessage::plain(20);
    let v8 = encode_peer_message(&message, PeerVersion::V8).unwrap();
    let v9 = encode_peer_message(&message, PeerVersion::V9).unwrap();
    assert_eq!(v9[..v8.len()], v8);
    assert_eq!(v9[v8.len()..], [0]);
    let noted = NoteMessage::with_note("abc");
    let v8 = encode_peer_message(&noted, PeerVersion::V8).unwrap();
    let v9 = encode_peer_message(&noted, PeerVersion::V9).unwrap();
    assert_eq!(v9[..v8.len()], v8);
    // One field: its number, the length of its bytes, and the text with its own length.
    assert_eq!(v9[v8.len()..], [1, 5, 4, 3, b'a', b'b', b'c']);
    let back: NoteMessage = decode_peer_message(&v9, PeerVersion::V9).unwrap();
    assert_eq!(back, noted);
}

/// Guards against a later build whose optional fields make this build reject its messages.
#[test]
fn fields_with_unknown_numbers_are_skipped() {
    let message = NoteMessage::plain(4);
    let later: Vec<(u32, Vec<u8>)> = vec![
        (LATER_FIELD, vec![255, 255, 255]),
        (NOTE_FIELD, vec![1, b'n']),
        (u32::MAX, Vec::new()),
    ];
    let bytes = encode_message(&(&message, later)).unwrap();
    let back: NoteMessage = decode_peer_message(&bytes, PeerVersion::V9).unwrap();
    let NoteMessage::Plain { body, note } = back else {
        panic!("another message")
    };
    assert_eq!(body.len(), 4);
    assert_eq!(note.as_deref(), Some("n"));
}

/// Guards against a known field that cannot be read and is taken as absent.
#[test]
fn a_known_field_with_invalid_bytes_is_an_error() {
    for invalid in [vec![], vec![9, b'n'], vec![1, b'n', 0], vec![253; 9]] {
        let fields: Vec<(u32, Vec<u8>)> = vec![(NOTE_FIELD, invalid.clone())];
        let bytes = encode_message(&(NoteMessage::plain(4), fields)).unwrap();
        let decoded = decode_peer_message::<NoteMessage>(&bytes, PeerVersion::V9);
        let error = decoded.unwrap_err();
        assert_eq!(error.fault, WireFault::Codec, "{invalid:?}");
    }
}

/// Guards against a panic or a wrong message from bytes that were cut off or damaged.
#[test]
fn truncated_and_damaged_extensions_are_errors() {
    for seed in SEEDS {
        arbtest(|u| {
            let note: String = u.arbitrary()?;
            let bytes = encode_peer_message(&NoteMessage::with_note(&note), PeerVersion::V9);
            let bytes = bytes.unwrap();
            if bytes[0] == 0 {
                let cut_len = u.choose_index(bytes.len())?;
                let cut = decode_peer_message::<NoteMessage>(&bytes[..cut_len], PeerVersion::V9);
                assert!(cut.is_err());
                let mut longer = bytes.clone();
                longer.push(0);
                assert!(
                    decode_peer_message::<NoteMessage>(&longer, PeerVersion::V9).is_err(),
                    "bytes after the fields"
                );
            }
            let mut damaged = bytes;
            let position = u.choose_index(damaged.len())?;
            damaged[position] ^= u.int_in_range(1..=255)?;
            // Whatever is decoded is a message with its fields or an error.
            let _ = decode_peer_message::<NoteMessage>(&damaged, PeerVersion::V9);
            let random: Vec<u8> = u.arbitrary()?;
            let _ = decode_peer_message::<NoteMessage>(&random, PeerVersion::V9);
            Ok(())
        })
        .seed(seed << 32 | 512)
        .run();
    }
}

/// Guards against an allocation of a length that a damaged extension claims.
#[test]
fn a_claimed_number_of_fields_beyond_the_bytes_is_an_error() {
    for claimed in [u64::from(u32::MAX), u64::MAX, 1 << 40] {
        let message = encode_peer_message(&NoteMessage::plain(4), PeerVersion::V8).unwrap();
        let mut bytes = message.clone();
        bytes.push(253);
        bytes.extend_from_slice(&claimed.to_le_bytes());
        assert!(decode_peer_message::<NoteMessage>(&bytes, PeerVersion::V9).is_err());
    }
}

/// Guards against a version 8 message that is read as one of version 9 or the other way round.
#[test]
fn a_message_of_one_version_is_no_message_of_the_other() {
    let message = NoteMessage::with_note("x");
    let v8 = encode_peer_message(&message, PeerVersion::V8).unwrap();
    let v9 = encode_peer_message(&message, PeerVersion::V9).unwrap();
    assert!(decode_peer_message::<NoteMessage>(&v8, PeerVersion::V9).is_err());
    assert!(decode_peer_message::<NoteMessage>(&v9, PeerVersion::V8).is_err());
    assert_eq!(
        decode_message::<NoteMessage>(&v8).unwrap().version_min(),
        PeerVersion::V8
    );
}
