//! Searchers as the pages describe them.

use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering::SeqCst},
    },
    thread::{sleep, spawn},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Connection, Message},
    record::Record,
};

/// What a searcher is.
#[derive(Clone)]
pub struct Plan {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    /// Requests that wait for a slot at most.
    pub queue: u32,
    pub work: Duration,
    pub heartbeat: Duration,
    /// Whether it answers with records, as a shard does.
    pub is_shard: bool,
    /// What the searcher asks for in `Retry-After` when it is full, in seconds.
    pub retry_after: Option<&'static str>,
}

impl Plan {
    /// The records of a shard.
    fn records(&self) -> Vec<u8> {
        let record = |number| format!("{:<14.14}{number:02}", self.service).into_bytes();
        (0..6).flat_map(record).collect()
    }
}

#[derive(Default)]
struct Load {
    running: u32,
    waiting: u32,
}

pub struct Searcher {
    pub plan: Plan,
    record: Arc<Record>,
    load: Mutex<Load>,
    freed: Condvar,
    answers: AtomicU64,
    /// While set, this share of the answers is sent a second time, late: each answer with a number that
    /// is a multiple of it.
    pub copy_each: AtomicU64,
    pub copies: AtomicU64,
    /// What the copies were of that were sent where the answer to the same request was expected.
    pub copies_met_own: AtomicU64,
}

impl Searcher {
    pub fn start(plan: Plan, controls: Vec<SocketAddr>, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind(plan.address).expect("the searcher's address is free");
        let searcher = Arc::new(Self {
            plan,
            record: Arc::clone(record),
            load: Mutex::default(),
            freed: Condvar::new(),
            answers: AtomicU64::new(0),
            copy_each: AtomicU64::new(0),
            copies: AtomicU64::new(0),
            copies_met_own: AtomicU64::new(0),
        });
        let serving = Arc::clone(&searcher);
        spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let searcher = Arc::clone(&serving);
                spawn(move || searcher.serve(stream));
            }
        });
        let announcing = Arc::clone(&searcher);
        spawn(move || announcing.announce(&controls));
        searcher
    }

    /// Tells a daemon every heartbeat that this searcher is ready.
    fn announce(&self, controls: &[SocketAddr]) {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let mut next = 0;
        let mut preferred: Option<SocketAddr> = None;
        let mut sequence = 0;
        loop {
            let mut tried = 0;
            loop {
                sequence += 1;
                let address = preferred.unwrap_or(controls[next % controls.len()]);
                let plan = &self.plan;
                let body = format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
                     \"state\":\"ready\",\"warmupLeftMs\":0,\"seq\":{sequence},\"born\":{}}}",
                    plan.service,
                    plan.address,
                    plan.zone,
                    plan.slots,
                    born.as_millis()
                );
                let line = format!("PUT /fulmarweir/instances/{} HTTP/1.1", plan.id);
                let headers = [
                    ("Host", address.to_string()),
                    ("Content-Type", "application/json".to_owned()),
                ];
                let request = http::encode(&line, &headers, body.as_bytes());
                let reply = http::call(address, &request, Duration::from_secs(1));
                if let Ok(Some(reply)) = &reply
                    && (200..300).contains(&reply.status())
                {
                    let text = String::from_utf8_lossy(&reply.body).into_owned();
                    let named = text.split("\"heartbeatAddr\":\"").nth(1);
                    let named = named.and_then(|rest| rest.split('"').next()?.parse().ok());
                    preferred = named.or(preferred);
                    break;
                }
                preferred = None;
                next += 1;
                tried += 1;
                if tried >= 2 * controls.len() {
                    break;
                }
            }
            sleep(self.plan.heartbeat);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        // An answer that is sent once more where the next one is expected, and its request.
        let mut late_copy: Option<(String, Vec<u8>)> = None;
        while let Ok(Some(request)) = connection.read() {
            let id = request
                .header("x-fulmarweir-request-id")
                .unwrap_or("")
                .to_owned();
            if let Some((copied, bytes)) = late_copy.take() {
                self.copies.fetch_add(1, SeqCst);
                self.record.note(&format!(
                    "late-copy of={copied} before-answer-to={id} searcher={}",
                    self.plan.id
                ));
                if copied == id {
                    self.copies_met_own.fetch_add(1, SeqCst);
                }
                if connection.write(&bytes).is_err() {
                    return;
                }
            }
            let (answer, ends) = self.answer(&request, &id, &connection);
            if connection.write(&answer).is_err() || ends {
                return;
            }
            let (_, path) = request.method_and_path();
            let copy_each = self.copy_each.load(SeqCst);
            if path != "/health" && copy_each > 0 {
                let number = self.answers.fetch_add(1, SeqCst);
                if number % copy_each == 0 {
                    late_copy = Some((id, answer));
                }
            }
        }
    }

    fn answer(&self, request: &Message, id: &str, connection: &Connection) -> (Vec<u8>, bool) {
        let plan = &self.plan;
        let own = ("X-Fulmarweir-Instance", plan.id.clone());
        let echo = ("X-Fulmarweir-Request-Id", id.to_owned());
        let not_run = ("X-Fulmarweir-Not-Run", "1".to_owned());
        if request.method_and_path().1 == "/health" {
            return (http::encode("HTTP/1.1 200 OK", &[own], b"ok"), false);
        }
        if request
            .header("x-fulmarweir-expect-instance")
            .is_some_and(|wanted| wanted != plan.id)
        {
            return (
                http::encode("HTTP/1.1 421 Misdirected Request", &[own, echo], b""),
                false,
            );
        }
        if id.is_empty() {
            return (
                http::encode("HTTP/1.1 400 Bad Request", &[not_run], b""),
                false,
            );
        }
        let left = request
            .header("x-fulmarweir-deadline-ms")
            .and_then(|text| text.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(left.unwrap_or(60_000));
        if !self.acquire_slot(deadline) {
            self.record
                .note(&format!("refused id={id} searcher={}", plan.id));
            let mut headers = vec![echo, not_run, self.load_header()];
            headers.extend(
                plan.retry_after
                    .map(|seconds| ("Retry-After", seconds.to_owned())),
            );
            return (
                http::encode("HTTP/1.1 503 Service Unavailable", &headers, b""),
                false,
            );
        }
        if connection.is_closed() {
            self.release_slot();
            return (Vec::new(), true);
        }
        if plan.is_shard {
            self.record.ran_part();
        } else {
            self.record.ran(id, &plan.id);
        }
        sleep(plan.work);
        self.release_slot();
        let stamp = ("X-Fulmarweir-Server-Stamp", format!("{}.{id}", plan.id));
        let keep = ("Keep-Alive", "timeout=10".to_owned());
        let headers = [echo, stamp, self.load_header(), keep];
        let body = if plan.is_shard {
            plan.records()
        } else {
            format!("done {id}").into_bytes()
        };
        (http::encode("HTTP/1.1 200 OK", &headers, &body), false)
    }

    fn load_header(&self) -> (&'static str, String) {
        let load = self.load.lock().unwrap();
        let text = format!("{},{},{}", load.running, load.waiting, self.plan.slots);
        ("X-Fulmarweir-Server-Load", text)
    }

    fn acquire_slot(&self, deadline: Instant) -> bool {
        let mut load = self.load.lock().unwrap();
        if load.running < self.plan.slots {
            load.running += 1;
            return true;
        }
        if load.waiting >= self.plan.queue {
            return false;
        }
        load.waiting += 1;
        while load.running >= self.plan.slots {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                load.waiting -= 1;
                return false;
            }
            load = self.freed.wait_timeout(load, left).unwrap().0;
        }
        load.waiting -= 1;
        load.running += 1;
        true
    }

    fn release_slot(&self) {
        self.load.lock().unwrap().running -= 1;
        self.freed.notify_all();
    }
}
