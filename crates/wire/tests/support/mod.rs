//! A stand-in for another build, a server of this one, and a message between them.

#![allow(dead_code, reason = "each test file uses a part")]

use std::{
    future::ready,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use fulmarweir_wire::{
    ExtensionFields, PeerClient, PeerMessage, PeerServer, PeerVersion, TrafficClass, TrafficMeter,
    WireError,
};
use http::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::{
    net::{TcpListener, TcpSocket},
    task::JoinHandle,
};
use tokio_util::sync::CancellationToken;

pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(5);
pub(crate) const PATH_8: &str = "/fulmarweir/peer/8";
pub(crate) const PATH_9: &str = "/fulmarweir/peer/9";
pub(crate) const NOTE_FIELD: u32 = 5;

/// A message with an optional field and a kind that version 8 does not have.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum NoteMessage {
    Plain {
        body: Vec<u8>,
        #[serde(skip)]
        note: Option<String>,
    },
    Added(u32),
}

impl NoteMessage {
    pub(crate) fn plain(len: usize) -> Self {
        // Bytes that do not compress, so that the message is as large on the wire.
        let mut state = 1_u32;
        let next = |_| {
            state = state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            (state >> 24) as u8
        };
        let body = (0..len).map(next).collect();
        Self::Plain { body, note: None }
    }

    /// Returns the message as a reader sees it that does not know the field.
    pub(crate) fn without_note(mut self) -> Self {
        if let Self::Plain { note, .. } = &mut self {
            *note = None;
        }
        self
    }

    pub(crate) fn with_note(note: &str) -> Self {
        Self::Plain {
            body: vec![1, 2],
            note: Some(note.to_owned()),
        }
    }
}

impl PeerMessage for NoteMessage {
    fn version_min(&self) -> PeerVersion {
        match self {
            Self::Plain { .. } => PeerVersion::V8,
            Self::Added(_) => PeerVersion::V9,
        }
    }

    fn extension(&self) -> ExtensionFields {
        let mut fields = ExtensionFields::default();
        if let Self::Plain {
            note: Some(note), ..
        } = self
        {
            fields.put(NOTE_FIELD, note);
        }
        fields
    }

    fn set_extension(&mut self, fields: &ExtensionFields) {
        if let Self::Plain { note, .. } = self {
            *note = fields.get(NOTE_FIELD);
        }
    }
}

/// A stand-in for another build, which serves one path, echoes its calls and refuses all others with
/// status 404 before it reads their bodies.
pub(crate) struct OtherBuild {
    pub(crate) address: SocketAddr,
    /// Paths of the calls, in order of arrival.
    paths: Arc<Mutex<Vec<String>>>,
    /// Closes the listener and all connections.
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl OtherBuild {
    pub(crate) fn start(served: &'static str) -> Self {
        Self::start_at("127.0.0.1:0".parse().unwrap(), served)
    }

    pub(crate) fn start_at(address: SocketAddr, served: &'static str) -> Self {
        let listener = listen_at(address);
        let address = listener.local_addr().unwrap();
        let paths = Arc::<Mutex<Vec<String>>>::default();
        let stop = CancellationToken::new();
        let (seen, stopped) = (Arc::clone(&paths), stop.clone());
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            loop {
                let accepted = tokio::select! {
                    () = stopped.cancelled() => return,
                    accepted = listener.accept() => accepted,
                };
                let (stream, _) = accepted.unwrap();
                connections.spawn(serve_connection(stream, served, Arc::clone(&seen)));
            }
        });
        Self {
            address,
            paths,
            stop,
            task,
        }
    }

    pub(crate) fn take_paths(&self) -> Vec<String> {
        std::mem::take(&mut self.paths.lock().unwrap())
    }

    pub(crate) async fn stop(self) {
        self.stop.cancel();
        self.task.await.unwrap();
    }
}

/// Listens at an address that a stopped server has just left.
pub(crate) fn listen_at(address: SocketAddr) -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind(address).unwrap();
    socket.listen(64).unwrap()
}

async fn serve_connection(
    stream: tokio::net::TcpStream,
    served: &'static str,
    paths: Arc<Mutex<Vec<String>>>,
) {
    stream.set_nodelay(true).unwrap();
    let mut connection = h2::server::handshake(stream).await.unwrap();
    let mut calls = tokio::task::JoinSet::new();
    while let Some(Ok((request, mut respond))) = connection.accept().await {
        let path = request.uri().path().to_owned();
        let is_served = path == served;
        paths.lock().unwrap().push(path);
        if !is_served {
            let refusal = Response::builder().status(StatusCode::NOT_FOUND);
            respond
                .send_response(refusal.body(()).unwrap(), true)
                .unwrap();
            continue;
        }
        calls.spawn(async move {
            let mut body = request.into_body();
            let mut message = Vec::new();
            while let Some(chunk) = body.data().await {
                let Ok(chunk) = chunk else { return };
                let _ = body.flow_control().release_capacity(chunk.len());
                message.extend_from_slice(&chunk);
            }
            let mut stream = respond.send_response(Response::new(()), false).unwrap();
            let _ = stream.send_data(Bytes::from(message), true);
        });
    }
}

pub(crate) async fn call(
    client: &PeerClient<NoteMessage, NoteMessage>,
    address: SocketAddr,
    message: &NoteMessage,
) -> Result<NoteMessage, WireError> {
    client
        .call(address, TrafficClass::Query, message, CALL_TIMEOUT)
        .await
}

/// Starts a server of this build that echoes its calls.
pub(crate) fn start_server(
    address: SocketAddr,
    meter: Arc<TrafficMeter>,
) -> (SocketAddr, CancellationToken, JoinHandle<()>) {
    let listener = listen_at(address);
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    let handler = |_from: SocketAddr, message: NoteMessage| (TrafficClass::Control, ready(message));
    let server = PeerServer::new(handler, meter, stop.clone());
    (address, stop, tokio::spawn(server.serve(listener)))
}
