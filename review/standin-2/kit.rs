//! Small stand-ins of the platform's store, runners and clients, and the start of the project's processes. Only the
//! standard library is used. Each part serves its connections with threads.

use std::{
    collections::BTreeMap,
    fs::{File, OpenOptions},
    io::{self, Read, Write},
    net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const KEY: &str = "key-of-the-depot";
pub const SIGNATURE: &str = "3e1b.07.5a2";

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// What was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        let file = OpenOptions::new().create(true).write(true).truncate(true).open(path)?;
        Ok(Record { file: Arc::new(Mutex::new(file)), began: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let ms = self.began.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7.3} s  {text}", ms as f64 / 1_000.0);
    }
}

/// Milliseconds since 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// An address of 127.0.0.0/8 that few others use.
pub fn loopback_ip(number: u8) -> IpAddr {
    let id = std::process::id();
    IpAddr::V4(Ipv4Addr::new(127, 64 + (id >> 8) as u8 % 128, id as u8, number))
}

/// The head of an HTTP message and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let is_named = |header: &&(String, String)| header.0.eq_ignore_ascii_case(name);
        self.headers.iter().find(is_named).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages with a length or in chunks from a connection.
pub struct MessageReader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl MessageReader {
    pub fn new(stream: TcpStream) -> MessageReader {
        MessageReader { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut part = [0; 16_384];
        match self.stream.read(&mut part)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&part[..count]);
                Ok(())
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.fill()?;
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = Message { first: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else { break };
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
        if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            loop {
                let size = usize::from_str_radix(self.line()?.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let part = self.take(size)?;
                self.line()?;
                if size == 0 {
                    break;
                }
                message.body.extend(part);
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            message.body = self.take(length)?;
        }
        Ok(message)
    }
}

fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(TcpStream) + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handle(stream));
        }
    });
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    /// Value, revision and revision of the creation.
    items: BTreeMap<String, (String, u64, u64)>,
    /// Changed keys with their revisions.
    history: Vec<(u64, String)>,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = StoreState { revision: 1, ..StoreState::default() };
        let store = Store {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            address: listener.local_addr()?,
        };
        let served = store.clone();
        serve(listener, move |stream| {
            let _ = served.serve_connection(stream);
        });
        Ok(store)
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.2);
        state.items.insert(key.to_owned(), (value.to_owned(), revision, created));
        state.history.push((revision, key.to_owned()));
        self.state.1.notify_all();
    }

    fn item(key: &str, item: &(String, u64, u64)) -> String {
        format!(
            r#"{{"key":"{key}","value":"{}","revision":{},"created-at":{},"lease":0}}"#,
            base64(item.0.as_bytes()),
            item.1,
            item.2
        )
    }

    fn serve_connection(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = MessageReader::new(stream);
        loop {
            let call = reader.message()?;
            let target = call.first.split(' ').nth(1).unwrap_or("").to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let field = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value).to_owned()
            };
            let prefix = field("path-prefix");
            let body = match path {
                "/-/kv-range" => {
                    let state = self.state.0.lock().unwrap();
                    let items = state.items.iter().filter(|(key, _)| key.starts_with(&prefix));
                    let items: Vec<String> =
                        items.map(|(key, item)| Store::item(key, item)).collect();
                    let items = items.join(",");
                    format!(r#"{{"items":[{items}],"has-more":false,"at":{}}}"#, state.revision)
                }
                "/-/kv-watch" => {
                    let after: u64 = field("after").parse().unwrap_or(0);
                    let wait = Duration::from_millis(field("max-wait-ms").parse().unwrap_or(0));
                    let end = Instant::now() + wait;
                    let mut state = self.state.0.lock().unwrap();
                    loop {
                        let is_new = |change: &&(u64, String)| {
                            change.0 > after && change.1.starts_with(&prefix)
                        };
                        let changed = state.history.iter().any(|change| is_new(&change));
                        let left = end.saturating_duration_since(Instant::now());
                        if changed || left.is_zero() {
                            let changes = state.history.iter().filter(is_new);
                            let mut keys: Vec<&String> = changes.map(|(_, key)| key).collect();
                            keys.dedup();
                            let events =
                                keys.iter().map(|key| Store::item(key, &state.items[*key]));
                            let events: Vec<String> = events.collect();
                            break format!(
                                r#"{{"events":[{}],"at":{}}}"#,
                                events.join(","),
                                state.revision
                            );
                        }
                        state = self.state.1.wait_timeout(state, left).unwrap().0;
                    }
                }
                _ => String::new(),
            };
            let status = if body.is_empty() { "404 Not Found" } else { "200 OK" };
            let length = body.len();
            let head = format!(
                "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n"
            );
            writer.write_all((head + &body).as_bytes())?;
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let number = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for place in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= part.len() { digit as char } else { '=' });
        }
    }
    text
}

/// A configuration with one route for each kind of call, like that of the users' small sites.
pub fn configuration(version: u64) -> String {
    let route = |prefix: &str,
                 kind: &str,
                 service: &str,
                 resumable: bool,
                 attempts: u32,
                 timeout: u32| {
        format!(
            r#"{{"name":"r{prefix}","host":"calls.example","path-prefix":"{prefix}","kind":"{kind}","timeout-ms":{timeout},"target-latency-ms":800,"priority":0,"service":"{service}","max-attempts":{attempts},"public":false,"sticky":true,"resumable":{resumable},"gap-target-ms":400}}"#
        )
    };
    let routes = [
        route("/read/", "idempotent", "ledger", false, 2, 1_500),
        route("/once/", "non_idempotent", "ledger", false, 1, 1_500),
        route("/resume/", "streaming", "pool", true, 2, 12_000),
        route("/stream/", "streaming", "pool", false, 1, 12_000),
    ];
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"ledger","health-path":"/healthz","max-conns":96,"cold-s":0,"cold-per-s":0}},{{"name":"pool","health-path":"/healthz","max-conns":360,"cold-s":3.0,"cold-per-s":8.1,"engine":{{"slots":5,"stride":3,"kv-tokens":605242}}}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"depot","api-keys":["{KEY}"],"billing-unit":"token_metered","uncached-tokens":200,"rate-per-s":200000,"burst":200000}}]}}"#,
        routes.join(",")
    )
}

/// What a runner does with a request.
pub type Answer = dyn Fn(&Message, &mut TcpStream) -> io::Result<()> + Send + Sync;

/// A runner. It counts the requests that reach it.
#[derive(Clone)]
pub struct Runner {
    pub address: SocketAddr,
    pub instance: String,
    pub service: &'static str,
    pub slots: u32,
    born: u64,
    seen: Arc<AtomicU64>,
}

impl Runner {
    pub fn start<F>(service: &'static str, slots: u32, answer: F) -> io::Result<Runner>
    where
        F: Fn(&Message, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let runner = Runner {
            address,
            instance: format!("i-{:08x}", address.port()),
            service,
            slots,
            born: unix_ms(),
            seen: Arc::default(),
        };
        let seen = runner.seen.clone();
        serve(listener, move |stream| {
            let Ok(mut writer) = stream.try_clone() else { return };
            let mut reader = MessageReader::new(stream);
            while let Ok(call) = reader.message() {
                seen.fetch_add(1, Ordering::Relaxed);
                if answer(&call, &mut writer).is_err() {
                    break;
                }
            }
            let _ = writer.shutdown(Shutdown::Both);
        });
        Ok(runner)
    }

    pub fn seen(&self) -> u64 {
        self.seen.load(Ordering::Relaxed)
    }

    /// Writes the runner's entry.
    pub fn register(&self, store: &Store, state: &str, seq: u64) {
        let value = format!(
            r#"{{"service":"{}","address":"{}","zone":"onitsha-main","version":"v1","slots":{},"state":"{state}","cold-left-ms":0,"seq":{seq},"born":{}}}"#,
            self.service, self.address, self.slots, self.born
        );
        store.put(&format!("servers/{}", self.instance), &value);
    }
}

/// A success of a plain service.
pub fn answer_whole(call: &Message, writer: &mut TcpStream, further: &str) -> io::Result<()> {
    let id = call.header("request-id").unwrap_or("");
    let body = format!("answer to {id}");
    let length = body.len();
    let head = format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-signature: {SIGNATURE}\r\n{further}content-length: {length}\r\n\r\n"
    );
    writer.write_all((head + &body).as_bytes())
}

/// A stream of events.
pub fn answer_stream(
    call: &Message,
    writer: &mut TcpStream,
    events: u32,
    pause: Duration,
) -> io::Result<()> {
    let id = call.header("request-id").unwrap_or("");
    let after: u32 = call.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-signature: {SIGNATURE}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    writer.write_all(head.as_bytes())?;
    for number in after + 1..=events {
        thread::sleep(pause);
        let event = format!("id: {number}\ndata: part {number}\n\n");
        writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    writer.write_all(b"0\r\n\r\n")
}

/// A process of the project.
pub struct Process {
    pub child: Child,
    pub caller: SocketAddr,
    pub ready: SocketAddr,
    pub log: PathBuf,
}

impl Process {
    /// Starts a process with the command of the deploy file, which names `target/release/tarragonfront serve`.
    pub fn start(
        folder: &Path,
        number: u8,
        seeds: &[IpAddr],
        store: &Store,
        further: &str,
    ) -> io::Result<Process> {
        let ip = loopback_ip(number);
        let seeds: Vec<String> = seeds.iter().map(|ip| format!("\"{ip}:8229\"")).collect();
        let settings = format!(
            r#"{{"vm":"edge-{number}","data_centre":"onitsha-main","caller_address":"{ip}:8221","ready_address":"{ip}:8224","peer_ports":[7600,7615],"seeds":[{}],"store_address":"{}","first_start":true,"log_format":"json","grace_s":8,"heartbeat_ms":1200,"memory_mb":260,"max_descriptors":4100,"bounds":{{"retry_ratio":0.2,"retry_slack":52,"quota_window_s":8,"quota_overage":0.25,"quota_slack":190000,"change_ms":2000,"evacuation_ms":5000,"leave_ms":2000,"contact_ms":3000}}{further}}}"#,
            seeds.join(","),
            store.address
        );
        let path = folder.join(format!("settings-{number}.jsonc"));
        std::fs::write(&path, settings)?;
        let log = folder.join(format!("edge-{number}.log"));
        let output = File::create(&log)?;
        let child = Command::new("target/release/tarragonfront")
            .arg("serve")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        let process = Process {
            child,
            caller: SocketAddr::new(ip, 8221),
            ready: SocketAddr::new(ip, 8224),
            log,
        };
        Ok(process)
    }

    /// Whether the page for the load balancer answers 200 within a second.
    pub fn is_ready(&self) -> bool {
        let call = "GET /-/readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        let limit = Duration::from_secs(1);
        exchange(self.ready, call.as_bytes(), limit).is_ok_and(|answer| answer.status() == 200)
    }

    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// How the process has ended; `None` while it runs.
    pub fn end(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Resident memory in MB.
    pub fn memory_mb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|value| value.split_whitespace().next()?.parse::<u64>().ok()).unwrap_or(0)
            >> 10
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends a request on a new connection and reads its answer.
pub fn exchange(address: SocketAddr, call: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(call)?;
    MessageReader::new(stream).message()
}

/// The text of a request.
pub fn call_text(method: &str, path: &str, id: &str, deadline_ms: u64, headers: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n{headers}\r\n"
    )
}

/// An id that no other request of the case has.
pub fn request_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:08x}{:08x}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed))
}

/// A folder of the case for settings and logs, removed when it is dropped.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    pub fn create(name: &str) -> io::Result<TemporaryFolder> {
        let path = std::env::temp_dir().join(format!("review-2-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(TemporaryFolder(path))
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Whether the case plays its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A switch that threads look at.
pub type Switch = Arc<AtomicBool>;
