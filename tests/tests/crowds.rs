//! Tests of real daemons whose callers, targets and operators send parts of requests and stay, or do not read
//! their answers. Each one must live within the memory and the descriptors of its machine, and go on serving
//! others.

use std::{
    fs,
    future::poll_fn,
    io::Write,
    net::{SocketAddr, TcpStream},
    os::unix::fs::PermissionsExt,
    path::Path,
    time::Duration,
};

use bytes::Bytes;
use fulmarweir_bench::{StandIn, Tier};
use fulmarweir_tests::{
    SERVICE, TestCaller, service_config, single_centre_settings, start_targets,
};
use rustix::net::{
    AddressFamily, SocketType, connect, socket, sockopt::set_socket_recv_buffer_size,
};
use tokio::{
    sync::{Mutex, MutexGuard},
    task::JoinHandle,
    time::{sleep, timeout},
};

/// Memory of the smallest VM of the users, in KiB.
const MEMORY_KIB: u64 = 160 << 10;
/// Most descriptors of a process in the test of descriptors, and how many of them must stay free for others.
const DESCRIPTORS_MAX: usize = 256;
const DESCRIPTORS_FREE: usize = 32;
const CROWD: usize = 300;
/// The default limit of a body.
const BODY_BYTES: usize = 1 << 20;
/// How many bytes before their end bodies stop.
const MISSING_BYTES: usize = 10;
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
const POLL_PERIOD: Duration = Duration::from_millis(20);
const POLLS_MAX: usize = 1_000;
const SETTLE_SAMPLES: usize = 100;
/// Receive buffer of a reader that does not read, in bytes. The kernel raises it to its minimum.
const SMALL_BUFFER_BYTES: usize = 4_096;

static MEASURING: Mutex<()> = Mutex::const_new(());

/// A daemon that serves one search.
struct CrowdedDaemon {
    tier: Tier,
    caller: TestCaller,
    _targets: Vec<StandIn>,
    _turn: MutexGuard<'static, ()>,
}

impl CrowdedDaemon {
    async fn start(descriptors_max: Option<usize>) -> Self {
        let turn = MEASURING.lock().await;
        let mut settings = single_centre_settings(1);
        if let Some(descriptors) = descriptors_max {
            settings.program = limited_program(&settings.program, descriptors).into();
        }
        let tier = Tier::start(&settings).await.unwrap();
        let text = service_config("search", "prefer = coverage\n");
        tier.submit_config(&text, 0).await.unwrap();
        let targets = start_targets(&tier, 41, 1, 1).await;
        let caller = TestCaller::default();
        caller
            .wait_full_coverage(tier.daemons()[0].callers(), 1)
            .await;
        Self {
            tier,
            caller,
            _targets: targets,
            _turn: turn,
        }
    }

    fn resident_kib(&self) -> u64 {
        self.tier.daemons()[0].usage().rss_kib
    }

    /// Waits until a caller and an operator are answered, on new connections.
    async fn expect_answers(&self) {
        let daemon = &self.tier.daemons()[0];
        self.caller.wait_full_coverage(daemon.callers(), 1).await;
        for _ in 0..POLLS_MAX {
            if self.tier.metrics(daemon).await.contains("fulmarweir_") {
                return;
            }
            sleep(POLL_PERIOD).await;
        }
        panic!("no metrics are served");
    }

    /// Checks that others are served while `crowd` stays, and the memory of the daemon.
    async fn withstand<T>(&self, crowd: JoinHandle<Vec<T>>) {
        let mut most = 0;
        while !crowd.is_finished() {
            most = most.max(self.resident_kib());
            sleep(Duration::from_millis(5)).await;
        }
        let crowd = crowd.await.unwrap();
        self.expect_answers().await;
        // What was sent is read and kept meanwhile.
        for _ in 0..SETTLE_SAMPLES {
            most = most.max(self.resident_kib());
            sleep(POLL_PERIOD).await;
        }
        println!("{} connected, {} MB", crowd.len(), most >> 10);
        assert!(most > 0, "the daemon lives");
        assert!(most < MEMORY_KIB, "{most} KiB");
    }
}

/// Returns a program that runs `program` with at most `descriptors`.
fn limited_program(program: &Path, descriptors: usize) -> String {
    let name = format!("fulmarweird-limited-{}", std::process::id());
    let path = std::env::temp_dir().join(name);
    let program = program.display();
    let script = format!("#!/bin/sh\nulimit -n {descriptors}\nexec {program} \"$@\"\n");
    fs::write(&path, script).unwrap();
    fs::set_permissions(&path, fs::Permissions::from_mode(0o755)).unwrap();
    path.display().to_string()
}

/// Opens connections to `address` and sends `request` on each.
fn open_crowd(address: SocketAddr, count: usize, request: Vec<u8>) -> JoinHandle<Vec<TcpStream>> {
    let open = move |_| {
        let mut stream = TcpStream::connect(address).ok()?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT)).unwrap();
        let _ = stream.write_all(&request);
        Some(stream)
    };
    tokio::task::spawn_blocking(move || (0..count).filter_map(open).collect())
}

/// Connects to `address` with a small receive buffer.
fn connect_slow_reader(address: SocketAddr) -> TcpStream {
    let stream = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    set_socket_recv_buffer_size(&stream, SMALL_BUFFER_BYTES).unwrap();
    connect(&stream, &address).unwrap();
    stream.into()
}

fn unfinished_request(method: &str, path: &str) -> Vec<u8> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: t\r\nif-match: \"1\"\r\nchange-id: crowd\r\n\
         content-length: {BODY_BYTES}\r\n\r\n"
    );
    let mut request = head.into_bytes();
    request.resize(request.len() + BODY_BYTES - MISSING_BYTES, b' ');
    request
}

#[tokio::test(flavor = "multi_thread")]
async fn searches_that_stop_short_do_not_use_up_a_daemon() {
    let daemon = CrowdedDaemon::start(None).await;
    let callers = daemon.tier.daemons()[0].callers();
    let request = unfinished_request("POST", &format!("/v1/search/{SERVICE}"));
    daemon.withstand(open_crowd(callers, CROWD, request)).await;
    daemon.tier.stop().await.unwrap();
}

/// Guards against heads that are kept for as long as they do not end.
#[tokio::test(flavor = "multi_thread")]
async fn heads_that_do_not_end_do_not_use_up_a_daemon() {
    const CALLERS: usize = 600;
    const HEAD_BYTES: usize = 390_000;
    let daemon = CrowdedDaemon::start(None).await;
    let callers = daemon.tier.daemons()[0].callers();
    let mut request = b"GET / HTTP/1.1\r\nhost: t\r\nx-fill: ".to_vec();
    request.resize(HEAD_BYTES, b'a');
    daemon
        .withstand(open_crowd(callers, CALLERS, request))
        .await;
    daemon.tier.stop().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn acts_that_stop_short_do_not_use_up_a_daemon() {
    let daemon = CrowdedDaemon::start(None).await;
    let callers = daemon.tier.daemons()[0].callers();
    let request = unfinished_request("POST", &format!("/v1/act/{SERVICE}?key=k"));
    daemon.withstand(open_crowd(callers, CROWD, request)).await;
    daemon.tier.stop().await.unwrap();
}

/// Load pattern: callers with few connections send many requests at the same time on each.
#[tokio::test(flavor = "multi_thread")]
async fn streams_that_stop_short_do_not_use_up_a_daemon() {
    let daemon = CrowdedDaemon::start(None).await;
    let callers = daemon.tier.daemons()[0].callers();
    let crowd = tokio::spawn(async move {
        let mut streams = Vec::new();
        for _ in 0..CROWD / 50 {
            streams.extend(open_streams(callers, 50).await);
        }
        streams
    });
    daemon.withstand(crowd).await;
    daemon.tier.stop().await.unwrap();
}

async fn open_streams(address: SocketAddr, count: usize) -> Vec<h2::SendStream<Bytes>> {
    let stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = h2::client::handshake(stream).await.unwrap();
    tokio::spawn(connection);
    let mut streams = Vec::new();
    for _ in 0..count {
        let uri = format!("http://t/v1/search/{SERVICE}");
        let request = http::Request::post(uri).body(()).unwrap();
        let Ok(ready) = sender.ready().await else {
            return streams;
        };
        sender = ready;
        let Ok((_response, mut body)) = sender.send_request(request, false) else {
            return streams;
        };
        let _ = timeout(WRITE_TIMEOUT, send_unfinished(&mut body)).await;
        streams.push(body);
    }
    streams
}

async fn send_unfinished(body: &mut h2::SendStream<Bytes>) {
    let mut left = BODY_BYTES - MISSING_BYTES;
    while left > 0 {
        body.reserve_capacity(left);
        let Some(Ok(granted)) = poll_fn(|cx| body.poll_capacity(cx)).await else {
            return;
        };
        let part = Bytes::from(vec![b'a'; granted.min(left)]);
        left -= part.len();
        if body.send_data(part, false).is_err() {
            return;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn configurations_that_stop_short_do_not_use_up_a_daemon() {
    let daemon = CrowdedDaemon::start(None).await;
    let operators = daemon.tier.daemons()[0].operators();
    let request = unfinished_request("PUT", "/v1/config");
    daemon
        .withstand(open_crowd(operators, CROWD, request))
        .await;
    let text = service_config("search", "prefer = latency\n");
    daemon.tier.submit_config(&text, 1).await.unwrap();
    daemon.tier.stop().await.unwrap();
}

/// Load pattern: many readers ask for a large configuration and do not read it.
#[tokio::test(flavor = "multi_thread")]
async fn configurations_that_are_not_read_do_not_use_up_a_daemon() {
    const PIPELINED: usize = 8;
    let daemon = CrowdedDaemon::start(None).await;
    let mut text = service_config("search", "prefer = coverage\n");
    while text.len() < BODY_BYTES - 1_000 {
        text.push_str("; a comment that makes the configuration as long as it may be\n");
    }
    daemon.tier.submit_config(&text, 1).await.unwrap();
    let operators = daemon.tier.daemons()[0].operators();
    let crowd = tokio::task::spawn_blocking(move || {
        let ask = |_| {
            let mut stream = connect_slow_reader(operators);
            // The kernel keeps the first answers.
            let requests = "GET /v1/config HTTP/1.1\r\nhost: t\r\n\r\n".repeat(PIPELINED);
            let _ = stream.write_all(requests.as_bytes());
            stream
        };
        (0..CROWD).map(ask).collect()
    });
    daemon.withstand(crowd).await;
    daemon.tier.stop().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn open_connections_do_not_use_up_the_descriptors_of_a_daemon() {
    let daemon = CrowdedDaemon::start(Some(DESCRIPTORS_MAX)).await;
    let process = &daemon.tier.daemons()[0];
    let addresses = [
        process.callers(),
        process.targets(),
        process.operators(),
        process.peers(),
    ];
    for address in addresses {
        let beginning = b"GET / HTTP/1.1\r\nhost:".to_vec();
        let crowd = open_crowd(address, DESCRIPTORS_MAX * 3 / 2, beginning);
        let (mut open, mut samples) = (0, 0);
        while !crowd.is_finished() || samples < SETTLE_SAMPLES {
            open = open.max(process.usage().descriptors);
            samples += 1;
            sleep(POLL_PERIOD).await;
        }
        let crowd = crowd.await.unwrap();
        println!("{address}: {} connected, {open} open at most", crowd.len());
        let free = DESCRIPTORS_MAX.saturating_sub(open);
        assert!(
            free >= DESCRIPTORS_FREE,
            "{address}: {free} descriptors are free"
        );
        let answers = timeout(Duration::from_secs(20), daemon.expect_answers());
        answers.await.expect("others are answered");
    }
    daemon.tier.stop().await.unwrap();
}
