//! Starts a daemon as a child process and sends raw HTTP to its ports.

#![allow(dead_code, reason = "each test file uses a part")]

use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU8, Ordering},
    thread::{JoinHandle, sleep},
    time::{Duration, Instant},
};

const PEER_PORT: u16 = 7003;
const REPLY_TIMEOUT: Duration = Duration::from_secs(20);
const BODY_SHOWN_BYTES: usize = 200;
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// A configuration with one service of each kind.
pub(crate) const SERVICES: &str = "\
[service pitches]
kind = search
deadline-ms = 2000
[service ledger]
kind = act
deadline-ms = 2000
";

/// A daemon without peers, with one service of each kind. It is killed when dropped.
pub(crate) struct TestDaemon {
    pub(crate) callers: SocketAddr,
    pub(crate) targets: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) peers: SocketAddr,
    child: Child,
    log_reader: Option<JoinHandle<()>>,
    folder: PathBuf,
}

/// Returns a loopback address that no other daemon listens on, not even one of a concurrent test
/// run.
fn own_address() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [low, high, ..] = std::process::id().to_le_bytes();
    let last = NEXT.fetch_add(1, Ordering::SeqCst);
    Ipv4Addr::new(127, 64 | (high & 63), low, last).into()
}

impl TestDaemon {
    /// Starts a daemon and puts [`SERVICES`] in force.
    pub(crate) fn start() -> Self {
        let address = own_address();
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("lone-{address}"));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        let settings = format!(
            "[vm]\nname = vm-1\ndata-centre = dc-1\nregion = r-1\ndata-folder = {folder}/data\n\
             [listen]\ncallers = {address}:0\ntargets = {address}:0\noperators = {address}:0\n\
             peers = {address}:{PEER_PORT}\n[peers]\nvoters = vm-1 {address}:{PEER_PORT}\n\
             [shutdown]\nsettle-ms = 0\ndrain-max-ms = 1000\n",
            folder = folder.display(),
        );
        let file = folder.join("vm.ini");
        fs::write(&file, settings).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_fulmarweird"))
            .arg("--settings")
            .arg(&file)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let line = listening_line(&mut log);
        let log_reader = std::thread::spawn(move || {
            // The pipe is drained, so that the daemon never blocks on writing its log.
            let _ = std::io::copy(&mut log, &mut std::io::sink());
        });
        let daemon = Self {
            callers: field(&line, "callers"),
            targets: field(&line, "targets"),
            operators: field(&line, "operators"),
            peers: SocketAddr::new(address, PEER_PORT),
            child,
            log_reader: Some(log_reader),
            folder,
        };
        daemon.submit_services();
        daemon
    }

    fn submit_services(&self) {
        let headers = "if-match: \"0\"\r\nchange-id: first\r\n";
        let started = Instant::now();
        loop {
            let reply = request(
                self.operators,
                "PUT /v1/config",
                headers,
                SERVICES.as_bytes(),
            );
            if reply.status == 200 {
                return;
            }
            assert!(started.elapsed() < REPLY_TIMEOUT, "{reply:?}");
            sleep(RETRY_PAUSE);
        }
    }

    /// Checks that the daemon still answers.
    pub(crate) fn assert_alive(&self) {
        let reply = request(self.operators, "GET /healthz", "", b"");
        assert_eq!(reply.status, 200, "{reply:?}");
    }
}

impl Drop for TestDaemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(reader) = self.log_reader.take() {
            let _ = reader.join();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn listening_line(log: &mut impl BufRead) -> String {
    let mut seen = String::new();
    loop {
        let mut line = String::new();
        let count = log.read_line(&mut line).unwrap();
        assert!(count > 0, "the daemon ended: {seen}");
        if line.contains("listening") {
            return line;
        }
        seen += &line;
    }
}

fn field(line: &str, name: &str) -> SocketAddr {
    let start = line.find(&format!("{name}=")).unwrap() + name.len() + 1;
    let value = line[start..].trim_start_matches('"');
    let end = value.find(['"', ' ', '\n']).unwrap_or(value.len());
    value[..end].parse().unwrap()
}

/// A raw response of the daemon.
#[derive(Debug)]
pub(crate) struct RawReply {
    /// Status code, or 0 if the connection was closed without one.
    pub(crate) status: u16,
    /// Head and body as text.
    pub(crate) text: String,
}

/// Sends one request on its own connection.
pub(crate) fn request(to: SocketAddr, line: &str, headers: &str, body: &[u8]) -> RawReply {
    let mut message = format!("{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n").into_bytes();
    message.extend_from_slice(headers.as_bytes());
    let length = format!("content-length: {}\r\n\r\n", body.len());
    message.extend_from_slice(length.as_bytes());
    message.extend_from_slice(body);
    let mut stream = connect(to);
    // The daemon may refuse the request and close the connection before it has read everything.
    let _ = stream.write_all(&message);
    read_reply(&mut stream)
}

/// Sends bytes that need not be HTTP, shuts down the sending side and waits until the daemon closes
/// the connection.
pub(crate) fn send_raw(to: SocketAddr, message: &[u8]) {
    let mut stream = connect(to);
    let _ = stream.write_all(message);
    let _ = stream.shutdown(Shutdown::Write);
    read_reply(&mut stream);
}

fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(REPLY_TIMEOUT)).unwrap();
    stream
}

fn read_reply(stream: &mut TcpStream) -> RawReply {
    let mut reply = Vec::new();
    let _ = stream.read_to_end(&mut reply);
    let text = String::from_utf8_lossy(&reply).into_owned();
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    RawReply {
        status: status.unwrap_or_default(),
        text,
    }
}

/// Collects responses that are not refusals of the form that callers rely on.
#[derive(Default)]
pub(crate) struct RefusalCheck {
    faults: Vec<String>,
}

impl RefusalCheck {
    /// Sends a request that must be refused as not run with `status`.
    pub(crate) fn refused(
        &mut self,
        to: SocketAddr,
        line: &str,
        headers: &str,
        body: &[u8],
        status: u16,
    ) {
        let reply = request(to, line, headers, body);
        let names_verdict = reply.text.contains("fulmarweir-run: not-run")
            && reply.text.contains(r#""run":"not-run""#);
        if reply.status != status || !names_verdict {
            let shown = String::from_utf8_lossy(&body[..body.len().min(BODY_SHOWN_BYTES)]);
            let fault = format!("{line} {headers:?} {shown} -> {status} expected, {reply:?}");
            self.faults.push(fault);
        }
    }

    /// Asserts that there were no faults.
    #[track_caller]
    pub(crate) fn finish(self) {
        assert!(self.faults.is_empty(), "{}", self.faults.join("\n"));
    }
}
