//! Stand-in searchers: they run requests, sign their answers and report to the keepers.

use std::{
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::SeqCst},
        Arc, Mutex,
    },
    thread::{self, sleep},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Message, Reader},
    record::Record,
};

/// A request that a searcher has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub service: String,
    pub server: String,
    pub at: Instant,
}

/// What all searchers have run.
#[derive(Default)]
pub struct Runs {
    pub list: Mutex<Vec<Run>>,
}

impl Runs {
    /// Services and searchers that have run a request.
    pub fn of(&self, request: &str) -> Vec<(String, String)> {
        let list = self.list.lock().unwrap();
        let runs = list.iter().filter(|run| run.request == request);
        runs.map(|run| (run.service.clone(), run.server.clone())).collect()
    }
}

/// One incarnation of a searcher.
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub work: Duration,
    pub born_ms: u64,
    pub seq: AtomicU64,
    /// Stops the heartbeats.
    pub silent: AtomicBool,
    /// Until when the searcher is cold.
    cold_until: Mutex<Option<Instant>>,
    /// Crashes if it gets more requests than this in a second while it is cold; 0 for never.
    pub crashes_above: AtomicU32,
    pub crashed: AtomicBool,
    started: Mutex<Vec<Instant>>,
    /// Says in all answers that the searcher leaves.
    pub leaving: AtomicBool,
    /// Leaves single runs out of the record.
    pub quiet: AtomicBool,
    running: AtomicU32,
    runs: Arc<Runs>,
    record: Arc<Record>,
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

impl Server {
    pub fn new(
        (id, service, zone): (&str, &str, &str),
        address: SocketAddr,
        (slots, work_ms): (u32, u64),
        runs: &Arc<Runs>,
        record: &Arc<Record>,
    ) -> Arc<Server> {
        Arc::new(Server {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            slots,
            work: Duration::from_millis(work_ms),
            born_ms: unix_ms(),
            seq: AtomicU64::new(0),
            silent: AtomicBool::new(false),
            cold_until: Mutex::new(None),
            crashes_above: AtomicU32::new(0),
            crashed: AtomicBool::new(false),
            started: Mutex::default(),
            leaving: AtomicBool::new(false),
            quiet: AtomicBool::new(false),
            running: AtomicU32::new(0),
            runs: Arc::clone(runs),
            record: Arc::clone(record),
        })
    }

    /// Listens and answers until the process ends.
    pub fn serve(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.address).expect("the address of a searcher is free");
        let server = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve_connection(stream));
            }
        });
    }

    /// Sends heartbeats to the keepers, the first of which is preferred.
    pub fn beat(self: &Arc<Self>, keepers: Vec<SocketAddr>) {
        let server = Arc::clone(self);
        thread::spawn(move || {
            let mut at = 0;
            loop {
                if !server.silent.load(SeqCst) && !server.beat_once(keepers[at], "ready") {
                    at = (at + 1) % keepers.len();
                    sleep(Duration::from_millis(100));
                    continue;
                }
                sleep(Duration::from_millis(1_200));
            }
        });
    }

    /// Sends one heartbeat; returns whether it was acknowledged.
    pub fn beat_once(&self, keeper: SocketAddr, state: &str) -> bool {
        let seq = self.seq.fetch_add(1, SeqCst) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"{state}\",\"warmupLeftMs\":{},\"seq\":{seq},\"born\":{}}}",
            self.service, self.address, self.zone, self.slots, self.cold_ms(), self.born_ms
        );
        let path = format!("/fulmarweir/instances/{}", self.id);
        let headers = [("host", "control"), ("content-type", "application/json")];
        let limit = Duration::from_secs(1);
        let answer = http::call(keeper, "PUT", &path, &headers, body.as_bytes(), limit);
        answer.is_ok_and(|answer| (200..300).contains(&answer.status()))
    }

    /// Makes the searcher cold for a time.
    pub fn turn_cold(&self, time: Duration) {
        *self.cold_until.lock().unwrap() = Some(Instant::now() + time);
    }

    /// Crashes if this searcher is cold and has got too many requests in the last second.
    fn crash_if_overrun(&self) {
        let most = self.crashes_above.load(SeqCst) as usize;
        if most == 0 || self.cold_ms() == 0 {
            return;
        }
        let now = Instant::now();
        let mut started = self.started.lock().unwrap();
        started.retain(|at| now.duration_since(*at) < Duration::from_secs(1));
        started.push(now);
        if started.len() > most {
            self.silent.store(true, SeqCst);
            self.crashed.store(true, SeqCst);
        }
    }

    fn cold_ms(&self) -> u128 {
        let until = *self.cold_until.lock().unwrap();
        until.map_or(0, |until| until.saturating_duration_since(Instant::now()).as_millis())
    }

    /// Tells a keeper that this searcher leaves; returns whether that was acknowledged.
    pub fn withdraw(&self, keeper: SocketAddr) -> bool {
        self.leaving.store(true, SeqCst);
        let path = format!("/fulmarweir/instances/{}", self.id);
        let limit = Duration::from_secs(1);
        let answer = http::call(keeper, "DELETE", &path, &[("host", "control")], &[], limit);
        answer.is_ok_and(|answer| (200..300).contains(&answer.status()))
    }

    fn serve_connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.next() {
            if self.crashed.load(SeqCst) {
                return;
            }
            let answer = self.answer(&request);
            // What ran as the searcher crashed has no answer.
            if self.crashed.load(SeqCst) {
                return;
            }
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let answer = self.answer_plain(request);
        if !self.leaving.load(SeqCst) {
            return answer;
        }
        // The header goes right after the status line.
        let line_end = answer.windows(2).position(|w| w == b"\r\n").map_or(0, |at| at + 2);
        [&answer[..line_end], b"server-leaving: 1\r\n", &answer[line_end..]].concat()
    }

    fn answer_plain(&self, request: &Message) -> Vec<u8> {
        let load = format!("{},0,{}", self.running.load(SeqCst), self.slots);
        let (_, path) = request.target();
        if path == "/health" {
            let cold = self.cold_ms().to_string();
            let headers = [
                ("x-fulmarweir-instance", self.id.as_str()),
                ("x-fulmarweir-server-load", load.as_str()),
                ("x-fulmarweir-cold-ms", cold.as_str()),
            ];
            return response_bytes("200 OK", &headers, b"");
        }
        let Some(id) = request.header("x-fulmarweir-request-id") else {
            return response_bytes("400 Bad Request", &[("x-fulmarweir-not-run", "1")], b"");
        };
        let echo = ("x-fulmarweir-request-id", id);
        let expected = request.header("x-fulmarweir-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let headers = [echo, ("x-fulmarweir-not-run", "1")];
            return response_bytes("421 Misdirected Request", &headers, b"");
        }
        if self.running.fetch_add(1, SeqCst) >= self.slots {
            self.running.fetch_sub(1, SeqCst);
            let headers = [echo, ("x-fulmarweir-not-run", "1"), ("retry-after", "0.05")];
            return response_bytes("503 Service Unavailable", &headers, b"");
        }
        let run = Run {
            request: id.to_owned(),
            service: self.service.clone(),
            server: self.id.clone(),
            at: Instant::now(),
        };
        if !self.quiet.load(SeqCst) {
            let (service, server) = (&self.service, &self.id);
            self.record.line(&format!("run {id} service={service} server={server} path={path}"));
        }
        self.runs.list.lock().unwrap().push(run);
        self.crash_if_overrun();
        sleep(self.work);
        self.running.fetch_sub(1, SeqCst);
        let stamp = stamp(&self.service, &self.id, id);
        let headers = [
            echo,
            ("x-fulmarweir-server-stamp", stamp.as_str()),
            ("x-fulmarweir-server-load", load.as_str()),
            ("keep-alive", "timeout=30"),
        ];
        response_bytes("200 OK", &headers, &records(&self.service, id))
    }
}

/// The signature of a searcher for its answer to a request.
pub fn stamp(service: &str, server: &str, request: &str) -> String {
    format!("{service}.{server}.{request}")
}

/// The records of a shard for a request: four of 16 bytes, in no particular order.
pub fn records(service: &str, request: &str) -> Vec<u8> {
    let mut state = 0xcbf2_9ce4_8422_2325_u64;
    for byte in service.bytes().chain(request.bytes()) {
        state = (state ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    let mut bytes = Vec::new();
    for _ in 0..8 {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        bytes.extend_from_slice(&state.to_be_bytes());
    }
    bytes
}

pub fn response_bytes(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
