//! Stand-in servers, which run requests at once, sign their answers and send heartbeats.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering::Relaxed},
    },
    thread::{sleep, spawn},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::http::{Request, call_once, read_request};

const HEARTBEAT_PERIOD: Duration = Duration::from_millis(1_200);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request that a server has run.
#[derive(Clone, Debug)]
pub struct RunEntry {
    pub at: Instant,
    pub id: String,
    pub host: String,
    pub service: String,
    pub server: String,
    pub address: SocketAddr,
}

/// What all servers have run.
pub type RunLog = Arc<Mutex<Vec<RunEntry>>>;

/// Where a server is, and what it serves.
#[derive(Clone, Debug)]
pub struct ServerPlace {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub failures: Arc<FailurePlan>,
}

/// Which requests servers fail after they have run them. Their health checks stay good.
#[derive(Debug)]
pub struct FailurePlan {
    pub percent: AtomicU64,
    /// Status line of the failures.
    pub status: &'static str,
}

impl FailurePlan {
    /// Returns a plan by which no request fails.
    pub fn none() -> Arc<Self> {
        Self::new(0, "500 Internal Server Error")
    }

    pub fn new(percent: u64, status: &'static str) -> Arc<Self> {
        Arc::new(Self {
            percent: AtomicU64::new(percent),
            status,
        })
    }

    /// Whether a server fails its request with this number. Failures are spread evenly.
    fn fails(&self, number: u64) -> bool {
        number * 37 % 100 < self.percent.load(Relaxed)
    }
}

/// A running server.
pub struct Server {
    place: ServerPlace,
    born_ms: u128,
    controls: Vec<SocketAddr>,
    is_stopped: AtomicBool,
    served: AtomicU64,
    runs: RunLog,
}

impl Server {
    /// Starts a server, which sends its heartbeats to one of `controls`. Without any, the case sends them.
    pub fn start(place: ServerPlace, controls: Vec<SocketAddr>, runs: &RunLog) -> Arc<Self> {
        let listener = TcpListener::bind(place.address).expect("the server can listen");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let server = Arc::new(Self {
            place,
            born_ms: born.as_millis(),
            controls,
            is_stopped: AtomicBool::new(false),
            served: AtomicU64::new(0),
            runs: Arc::clone(runs),
        });
        let (accepting, beating) = (Arc::clone(&server), Arc::clone(&server));
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&accepting);
                spawn(move || server.serve(stream));
            }
        });
        if !beating.controls.is_empty() {
            spawn(move || beating.send_heartbeats());
        }
        server
    }

    pub fn stop(&self) {
        self.is_stopped.store(true, Relaxed);
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let answer = self.answer(&request);
            if reader.get_mut().write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> String {
        let (id, load) = (&self.place.id, format!("1,0,{}", self.place.slots));
        if request.path == "/health" {
            return format!(
                "HTTP/1.1 200 OK\r\nX-Fulmarweir-Instance: {id}\r\n\
                 X-Fulmarweir-Server-Load: {load}\r\nContent-Length: 0\r\n\r\n"
            );
        }
        let request_id = request
            .header("x-fulmarweir-request-id")
            .unwrap_or_default();
        let expected = request.header("x-fulmarweir-expect-instance");
        if request_id.is_empty() || expected.is_some_and(|expected| expected != id) {
            let status = if request_id.is_empty() {
                "400 Bad Request"
            } else {
                "421 Misdirected Request"
            };
            return format!(
                "HTTP/1.1 {status}\r\nX-Fulmarweir-Request-Id: {request_id}\r\n\
                 X-Fulmarweir-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
            );
        }
        let number = self.served.fetch_add(1, Relaxed);
        self.runs.lock().unwrap().push(RunEntry {
            at: Instant::now(),
            id: request_id.to_owned(),
            host: request.header("host").unwrap_or_default().to_owned(),
            service: self.place.service.clone(),
            server: id.clone(),
            address: self.place.address,
        });
        let failures = &self.place.failures;
        if failures.fails(number) {
            let status = failures.status;
            return format!(
                "HTTP/1.1 {status}\r\nX-Fulmarweir-Request-Id: {request_id}\r\n\
                 X-Fulmarweir-Server-Stamp: {id}.{number}\r\nX-Fulmarweir-Server-Load: {load}\r\n\
                 Content-Length: 0\r\n\r\n"
            );
        }
        // One record, if the request is a search.
        let body = format!("{id:<16.16}");
        format!(
            "HTTP/1.1 200 OK\r\nX-Fulmarweir-Request-Id: {request_id}\r\n\
             X-Fulmarweir-Server-Stamp: {id}.{number}\r\nX-Fulmarweir-Server-Load: {load}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }

    fn send_heartbeats(&self) {
        // Servers pick different keepers first.
        let mut next = self
            .place
            .address
            .ip()
            .to_string()
            .bytes()
            .map(usize::from)
            .sum::<usize>();
        let mut named: Option<SocketAddr> = None;
        let mut sequence = 0;
        while !self.is_stopped.load(Relaxed) {
            let began = Instant::now();
            sequence += 1;
            let body = self.heartbeat(sequence);
            for _ in 0..=self.controls.len() {
                let control = named.unwrap_or(self.controls[next % self.controls.len()]);
                match self.send_heartbeat(control, &body) {
                    Some(address) => {
                        named = address.or(named).or(Some(control));
                        break;
                    }
                    None => {
                        named = None;
                        next += 1;
                    }
                }
            }
            sleep(HEARTBEAT_PERIOD.saturating_sub(began.elapsed()));
        }
    }

    /// Returns the body of a heartbeat.
    pub fn heartbeat(&self, sequence: u64) -> String {
        let place = &self.place;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"ready\",\"warmupLeftMs\":0,\"seq\":{sequence},\"born\":{}}}",
            place.service, place.address, place.zone, place.slots, self.born_ms
        )
    }

    /// Sends a heartbeat. Returns the address for later ones, if any is named; `None` if the heartbeat was
    /// not acknowledged.
    pub fn send_heartbeat(&self, control: SocketAddr, body: &str) -> Option<Option<SocketAddr>> {
        let answer = self.call(control, "PUT", body.as_bytes())?;
        let (_, rest) = answer
            .split_once("\"heartbeatAddr\":\"")
            .unwrap_or_default();
        Some(
            rest.split('"')
                .next()
                .and_then(|address| address.parse().ok()),
        )
    }

    /// Tells a keeper that the server is gone. Returns whether that was acknowledged.
    pub fn send_departure(&self, control: SocketAddr) -> bool {
        self.call(control, "DELETE", b"").is_some()
    }

    pub fn address(&self) -> SocketAddr {
        self.place.address
    }

    fn call(&self, control: SocketAddr, method: &str, body: &[u8]) -> Option<String> {
        let path = format!("/fulmarweir/instances/{}", self.place.id);
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let answer = call_once(control, method, &path, &headers, body, HEARTBEAT_TIMEOUT);
        let answer = answer.ok().filter(|answer| answer.status / 100 == 2)?;
        Some(String::from_utf8_lossy(&answer.body).into_owned())
    }
}
