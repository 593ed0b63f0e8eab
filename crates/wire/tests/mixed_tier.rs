//! A model of a tier whose VMs are replaced by either build, one after another in random order.
//!
//! VMs of this build run its client and server; those of the build before are stand-ins that serve and
//! call version 8 only. Tests with processes of both builds need a second build, which CI does not
//! have.

mod support;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use arbtest::{arbitrary::Unstructured, arbtest};
use bytes::Bytes;
use fulmarweir_base::RunVerdict;
use fulmarweir_wire::{
    PeerClient, PeerVersion, WireError, WireFault, decode_peer_message, encode_peer_message,
};
use support::{NoteMessage, OtherBuild, PATH_8, call, start_server};
use tokio::{net::TcpStream, task::JoinHandle};
use tokio_util::sync::CancellationToken;

const VMS: usize = 5;
const REPLACEMENTS: usize = 12;
const SEEDS: std::ops::Range<u64> = 0..12;
/// Calls that may fail after a replacement: the first one uses the connection to the process before.
const LOST_CALLS_MAX: usize = 3;
const RETRY_PAUSE: Duration = Duration::from_millis(2);

/// The process of a VM.
enum VmProcess {
    Old(OtherBuild),
    New {
        client: PeerClient<NoteMessage, NoteMessage>,
        stop: CancellationToken,
        task: JoinHandle<()>,
    },
}

impl VmProcess {
    fn start(address: SocketAddr, version: PeerVersion) -> (SocketAddr, Self) {
        if version == PeerVersion::V8 {
            let server = OtherBuild::start_at(address, PATH_8);
            return (server.address, Self::Old(server));
        }
        let (address, stop, task) = start_server(address, Arc::default());
        let client = PeerClient::new(Arc::default());
        (address, Self::New { client, stop, task })
    }

    fn version(&self) -> PeerVersion {
        match self {
            Self::Old(_) => PeerVersion::V8,
            Self::New { .. } => PeerVersion::V9,
        }
    }

    async fn stop(self) {
        match self {
            Self::Old(server) => server.stop().await,
            Self::New { client, stop, task } => {
                client.close().await;
                stop.cancel();
                // A process has ended, with its connections, before the next one takes its address.
                task.await.unwrap();
            }
        }
    }
}

/// Calls a VM as the build before does, on a connection of its own.
async fn call_in_version_8(address: SocketAddr, message: &NoteMessage) -> NoteMessage {
    let stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let (sender, connection) = h2::client::handshake(stream).await.unwrap();
    let driver = tokio::spawn(connection);
    let request = http::Request::post(format!("http://peer{PATH_8}"));
    let mut sender = sender.ready().await.unwrap();
    let (response, mut stream) = sender
        .send_request(request.body(()).unwrap(), false)
        .unwrap();
    let bytes = encode_peer_message(message, PeerVersion::V8).unwrap();
    stream.send_data(Bytes::from(bytes), true).unwrap();
    let mut body = response.await.unwrap().into_body();
    let mut reply = Vec::new();
    while let Some(chunk) = body.data().await {
        reply.extend_from_slice(&chunk.unwrap());
    }
    driver.abort();
    decode_peer_message(&reply, PeerVersion::V8).unwrap()
}

/// Calls a peer until it replies; only calls on the connection to a replaced process may fail.
async fn call_until_served(
    client: &PeerClient<NoteMessage, NoteMessage>,
    peer: SocketAddr,
    message: &NoteMessage,
) -> Result<NoteMessage, WireError> {
    let mut lost = 0;
    loop {
        match call(client, peer, message).await {
            Err(error) if error.fault == WireFault::Broken && lost < LOST_CALLS_MAX => {
                lost += 1;
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            result => return result,
        }
    }
}

/// Requires that each VM is served by all others in the form that both builds know, and that it knows
/// their versions.
async fn check_calls(vms: &[(SocketAddr, VmProcess)]) {
    let noted = NoteMessage::with_note("x");
    let plain = noted.clone().without_note();
    for (from, caller) in vms {
        for (to, peer) in vms.iter().filter(|(to, _)| to != from) {
            let VmProcess::New { client, .. } = caller else {
                assert_eq!(call_in_version_8(*to, &noted).await, plain);
                continue;
            };
            let reply = call_until_served(client, *to, &noted).await;
            let added = call_until_served(client, *to, &NoteMessage::Added(3)).await;
            if peer.version() == PeerVersion::V9 {
                assert_eq!(reply.unwrap(), noted);
                assert_eq!(added.unwrap(), NoteMessage::Added(3));
            } else {
                assert_eq!(reply.unwrap(), plain);
                let error = added.unwrap_err();
                assert_eq!(error.fault, WireFault::Protocol);
                assert_eq!(error.verdict, RunVerdict::NotRun);
            }
            assert_eq!(client.version_of(*to), Some(peer.version()));
        }
    }
}

/// Replaces random VMs by random builds, and checks all calls after each replacement.
async fn replace_in_turn(choices: Vec<(usize, PeerVersion)>) {
    let any = "127.0.0.1:0".parse().unwrap();
    let start = |_| VmProcess::start(any, PeerVersion::V8);
    let mut vms: Vec<(SocketAddr, VmProcess)> = (0..VMS).map(start).collect();
    for (index, version) in choices {
        let (address, process) = vms.remove(index);
        process.stop().await;
        vms.insert(index, VmProcess::start(address, version));
        check_calls(&vms).await;
    }
    for (_, process) in vms {
        process.stop().await;
    }
}

fn draw_choices(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<Vec<(usize, PeerVersion)>> {
    let draw = |_| {
        let version = *u.choose(&[PeerVersion::V8, PeerVersion::V9])?;
        Ok((u.choose_index(VMS)?, version))
    };
    (0..REPLACEMENTS).map(draw).collect()
}

/// Guards against an order of replacements, halfway or back, after which some VM does not understand
/// another one or takes it for one of the other build.
#[test]
fn vms_are_replaced_by_either_build_in_any_order() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    for seed in SEEDS {
        arbtest(|u| {
            runtime.block_on(replace_in_turn(draw_choices(u)?));
            Ok(())
        })
        .seed(seed << 32 | 256)
        .run();
    }
}

/// Guards against an upgrade in the order of the operations manual, and the way back, that one random
/// order in a few does not meet.
#[tokio::test]
async fn all_vms_are_upgraded_and_taken_back_in_turn() {
    let up = (0..VMS).map(|index| (index, PeerVersion::V9));
    let down = (0..VMS).map(|index| (index, PeerVersion::V8));
    replace_in_turn(up.chain(down).collect()).await;
}
