//! Starts processes for tests and sends them requests.

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tarragon_protocol::platform::PublishedTarget;
use tarragon_server::{
    serve::{ServeOptions, ServerHandle, start_with},
    settings::{ProcessLimits, SecretText, ServeSettings},
};
use tarragon_standin::loopback::unique_loopback_ip;
use tokio::net::TcpStream;

/// Longest time for a test.
const TEST_LIMIT: Duration = Duration::from_secs(30);
/// Rules of all tests.
pub const RULES: &str = "\
service pool kind=model idempotent=yes # asked by: tests
service ledger kind=plain idempotent=no answer_limit=65536 # asked by: tests
service lookup kind=plain idempotent=yes path=/v1 # asked by: tests
model small service=pool # asked by: tests
";

/// Runs a test within the time limit.
pub async fn bounded<F>(test: F)
where
    F: Future<Output = ()>,
{
    tokio::time::timeout(TEST_LIMIT, test).await.expect("the test takes too long");
}

/// A published target.
pub fn target(name: &str, service: &str, address: SocketAddr) -> PublishedTarget {
    PublishedTarget {
        target: name.into(),
        service: service.into(),
        address: address.to_string(),
        hardware: None,
        checks_fencing: true,
    }
}

/// Settings of a process on free ports that runs on its own files.
pub fn settings(vm: &str, targets: Vec<PublishedTarget>) -> ServeSettings {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let rules = std::env::temp_dir().join(format!("tarragon-{}-{vm}.rules", std::process::id()));
    std::fs::write(&rules, RULES).unwrap();
    ServeSettings {
        vm: vm.into(),
        data_centre: "here".into(),
        caller_address: any,
        peer_address: any,
        admin_address: any,
        admin_key: None,
        peer_keys: vec![SecretText::new("a key of the tests only")],
        platform: None,
        seed_peers: Vec::new(),
        log_format: Default::default(),
        limits: ProcessLimits::default(),
        drain_timeout: Duration::from_secs(10),
        rules_file: Some(rules),
        targets,
    }
}

/// Options with short times.
pub fn options() -> ServeOptions {
    let settling = Duration::from_millis(100);
    ServeOptions { settling, seed: Some(1), ..ServeOptions::default() }
}

/// Starts a process and waits until it is ready.
pub async fn start(settings: ServeSettings) -> ServerHandle {
    start_ready(settings, options()).await
}

/// Starts a process with options and waits until it is ready.
pub async fn start_ready(settings: ServeSettings, options: ServeOptions) -> ServerHandle {
    let handle = start_with(settings, options).await.unwrap();
    handle.ready().await;
    handle
}

/// A request of a test.
pub struct TestCall {
    pub method: Method,
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl TestCall {
    pub fn new(method: Method, path: &str) -> TestCall {
        let headers = vec![
            ("x-tarragon-workspace", "crews".to_owned()),
            ("x-tarragon-tier", "high".to_owned()),
        ];
        TestCall { method, path: path.to_owned(), headers, body: Vec::new() }
    }

    pub fn chat(prompt: &str, stream: bool) -> TestCall {
        let body = json!({
            "model": "small",
            "stream": stream,
            "messages": [{"role": "user", "content": prompt}],
        });
        TestCall::new(Method::POST, "/v1/chat/completions").with_body(body.to_string())
    }

    pub fn with_body(mut self, body: impl Into<Vec<u8>>) -> TestCall {
        self.body = body.into();
        self
    }

    /// Replaces or adds a header; an empty value removes it.
    pub fn with(mut self, name: &'static str, value: &str) -> TestCall {
        self.headers.retain(|(other, _)| *other != name);
        if !value.is_empty() {
            self.headers.push((name, value.to_owned()));
        }
        self
    }

    pub fn request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::builder().method(self.method.clone()).uri(&self.path);
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        request.header("host", "test").body(Full::new(self.body.clone().into())).unwrap()
    }

    pub async fn send(&self, address: SocketAddr) -> TestAnswer {
        let response = connect(address).await.send_request(self.request()).await.unwrap();
        let (head, body) = response.into_parts();
        let body = body.collect().await.map(|body| body.to_bytes());
        TestAnswer { status: head.status, headers: head.headers, body: body.ok() }
    }
}

pub async fn connect(address: SocketAddr) -> http1::SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(address).await.unwrap();
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    sender
}

/// A whole answer; the body is absent if it was cut off.
#[derive(Debug)]
pub struct TestAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Option<Bytes>,
}

impl TestAnswer {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value.to_str().unwrap())
    }

    pub fn outcome(&self) -> &str {
        self.header("x-tarragon-outcome")
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(self.body.as_ref().expect("a body")).unwrap()
    }

    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }

    /// Text of a streamed answer, and whether it ended in `[DONE]`.
    pub fn streamed(&self) -> (String, bool) {
        read_events(std::str::from_utf8(self.body.as_ref().expect("a body")).unwrap())
    }
}

/// Text of events, and whether they ended in `[DONE]`.
pub fn read_events(events: &str) -> (String, bool) {
    let mut text = String::new();
    let mut done = false;
    for data in events.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let chunk: Value = serde_json::from_str(data).unwrap();
        text.push_str(chunk["choices"][0]["delta"]["content"].as_str().unwrap_or(""));
    }
    (text, done)
}

/// Waits until a condition holds.
pub async fn until<F>(what: &str, mut condition: F)
where
    F: FnMut() -> bool,
{
    for _ in 0..500 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("did not happen: {what}");
}

/// Value of a metric, summed over its labels that contain `filter`.
pub fn metric(handle: &ServerHandle, name: &str, filter: &str) -> f64 {
    let text = handle.metrics().unwrap();
    let matching = text.lines().filter(|line| line.starts_with(name) && line.contains(filter));
    matching.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

/// A free port of an address that nothing else uses. On 127.0.0.1 a parallel test could take the port before the
/// process binds it.
pub fn free_address() -> SocketAddr {
    let ip = unique_loopback_ip();
    std::net::TcpListener::bind(SocketAddr::from((ip, 0))).unwrap().local_addr().unwrap()
}
