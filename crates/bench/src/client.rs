//! An HTTP/1.1 client with connection pooling for calls to VMs and targets.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use tokio::time::timeout;

use crate::error::BenchError;

type Result<T> = std::result::Result<T, Report<BenchError>>;

/// An HTTP request and its timeout.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// Method.
    pub method: Method,
    /// Address of the server.
    pub address: SocketAddr,
    /// Path and query.
    pub path: String,
    /// Request headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Timeout until the complete reply.
    pub timeout: Duration,
}

impl HttpCall {
    /// Creates a call without headers and with the default timeout.
    #[must_use]
    pub fn new(method: Method, address: SocketAddr, path: &str, body: impl Into<Bytes>) -> Self {
        Self {
            method,
            address,
            path: path.to_owned(),
            headers: HeaderMap::new(),
            body: body.into(),
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// Sets a header.
    ///
    /// # Panics
    ///
    /// If `value` contains characters that are invalid in a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        let value = value.parse().expect("header values are visible ASCII");
        self.headers.insert(name, value);
        self
    }
}

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);

/// A completely received reply.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// Status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl HttpReply {
    /// Returns a header as text, if it is present and visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the body as text, with replacement characters for invalid UTF-8.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A client with a connection pool for each address.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// Creates a client without open connections.
    #[must_use]
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client }
    }

    /// Sends one call and reads the complete reply.
    ///
    /// # Errors
    ///
    /// [`BenchError::Unreachable`] when no connection could be opened and nothing was sent.
    /// [`BenchError::Http`] when the call fails later or times out; the request may have run.
    pub async fn send(&self, call: HttpCall) -> Result<HttpReply> {
        let uri = format!("http://{}{}", call.address, call.path);
        let mut request = Request::builder()
            .method(call.method)
            .uri(uri)
            .body(Full::new(call.body))
            .change_context(BenchError::Http)?;
        *request.headers_mut() = call.headers;
        timeout(call.timeout, self.exchange(request))
            .await
            .change_context(BenchError::Http)?
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<HttpReply> {
        let response = self.client.request(request).await.map_err(|error| {
            let context = if error.is_connect() {
                BenchError::Unreachable
            } else {
                BenchError::Http
            };
            Report::new(error).change_context(context)
        })?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.change_context(BenchError::Http)?;
        Ok(HttpReply {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }
}
