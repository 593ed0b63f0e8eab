//! A fake VM with scripted answers, and helpers to run the tool.

#![allow(dead_code, reason = "each test file uses a part")]

use std::{
    net::SocketAddr,
    process::{Command, Output},
    sync::{Arc, Mutex},
    thread::JoinHandle,
};

use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response,
    body::{Bytes, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, sync::oneshot};

/// A request that a fake VM received.
#[derive(Clone, Debug)]
pub(crate) struct RecordedRequest {
    pub(crate) line: String,
    pub(crate) headers: hyper::HeaderMap,
    pub(crate) body: String,
}

impl RecordedRequest {
    /// Returns the text of a header, or an empty string if it is absent.
    pub(crate) fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default()
    }
}

/// The answer of a fake VM to a request.
pub(crate) enum FakeAnswer {
    /// Replies with a status, headers and a body.
    Reply(u16, &'static [(&'static str, &'static str)], String),
    /// Closes the connection without a reply.
    Hangup,
}

/// Returns an answer with status 200 and a body.
pub(crate) fn ok(body: &str) -> FakeAnswer {
    FakeAnswer::Reply(200, &[], body.to_owned())
}

/// Returns a refusal with an error body and a verdict header.
pub(crate) fn refuse(status: u16, verdict: &'static str) -> FakeAnswer {
    let headers: &[_] = match verdict {
        "not-run" => &[("fulmarweir-run", "not-run")],
        "may-have-run" => &[("fulmarweir-run", "may-have-run")],
        _ => &[("fulmarweir-run", "ran")],
    };
    let body = format!(r#"{{"error":{{"reason":"scripted","run":"{verdict}","message":"no"}}}}"#);
    FakeAnswer::Reply(status, headers, body)
}

type AnswerScript = dyn Fn(&RecordedRequest, usize) -> FakeAnswer + Send + Sync;

/// A running fake VM, which stops when dropped.
pub(crate) struct FakeVm {
    pub(crate) address: SocketAddr,
    requests: Arc<Mutex<Vec<RecordedRequest>>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl FakeVm {
    /// Starts a fake VM. `script` is called with each request and its index, counted from 0.
    pub(crate) fn start(
        script: impl Fn(&RecordedRequest, usize) -> FakeAnswer + Send + Sync + 'static,
    ) -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::spawn({
            let requests = requests.clone();
            move || serve(listener, &requests, &script, stopped)
        });
        Self {
            address,
            requests,
            stop: Some(stop),
            thread: Some(thread),
        }
    }

    /// Returns the requests received so far.
    pub(crate) fn requests(&self) -> Vec<RecordedRequest> {
        self.requests.lock().unwrap().clone()
    }
}

impl Drop for FakeVm {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn serve(
    listener: std::net::TcpListener,
    requests: &Mutex<Vec<RecordedRequest>>,
    script: &AnswerScript,
    mut stopped: oneshot::Receiver<()>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let listener = TcpListener::from_std(listener).unwrap();
        loop {
            let (stream, _) = tokio::select! {
                accepted = listener.accept() => accepted.unwrap(),
                _ = &mut stopped => return,
            };
            let service = service_fn(|request| answer(request, requests, script));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            let _ = connection.await;
        }
    });
}

async fn answer(
    request: Request<Incoming>,
    requests: &Mutex<Vec<RecordedRequest>>,
    script: &AnswerScript,
) -> Result<Response<Full<Bytes>>, Box<dyn std::error::Error + Send + Sync>> {
    let (head, body) = request.into_parts();
    let body = body.collect().await?.to_bytes();
    let request = RecordedRequest {
        line: format!("{} {}", head.method, head.uri),
        headers: head.headers,
        body: String::from_utf8(body.to_vec())?,
    };
    let index = {
        let mut requests = requests.lock().unwrap();
        requests.push(request.clone());
        requests.len() - 1
    };
    match script(&request, index) {
        FakeAnswer::Hangup => Err("scripted hangup".into()),
        FakeAnswer::Reply(status, headers, body) => {
            let mut response = Response::builder().status(status);
            for (name, value) in headers {
                response = response.header(*name, *value);
            }
            Ok(response.body(Full::new(body.into()))?)
        }
    }
}

/// Returns an address that refuses connections.
pub(crate) fn closed_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// The exit code and output of a run of the tool.
#[derive(Debug)]
pub(crate) struct ToolRun {
    pub(crate) code: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

/// Runs the tool against `vms`.
pub(crate) fn run_tool(vms: &[SocketAddr], args: &[&str]) -> ToolRun {
    let mut command = Command::new(env!("CARGO_BIN_EXE_fulmarweir"));
    command.env_remove("FULMARWEIR_TOKEN");
    for vm in vms {
        command.args(["--at-vm", &vm.to_string()]);
    }
    let Output {
        status,
        stdout,
        stderr,
    } = command.args(args).output().unwrap();
    ToolRun {
        code: status.code().unwrap(),
        stdout: String::from_utf8(stdout).unwrap(),
        stderr: String::from_utf8(stderr).unwrap(),
    }
}

/// A file that is removed when dropped.
pub(crate) struct TempFile(pub(crate) std::path::PathBuf);

impl TempFile {
    /// Writes `text` to a new file; `name` must be unique within the test run.
    pub(crate) fn new(name: &str, text: &str) -> Self {
        let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, text).unwrap();
        Self(path)
    }

    /// Returns the path as a string.
    pub(crate) fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}
