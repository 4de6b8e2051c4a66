//! Runners of a service. The query of a request tells how long it runs: `events` and `gap` for a stream, `work` for
//! a plain call, in milliseconds.

use std::{
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::net::{Message, Reader, Record, message_text};

#[derive(Clone)]
pub struct Runner {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    slots: usize,
    /// Requests that run and that wait.
    load: Arc<(Mutex<(usize, usize)>, Condvar)>,
    record: Record,
    pub runs: Arc<Mutex<Vec<String>>>,
    /// Ids of the requests that have arrived, and when.
    pub arrivals: Arc<Mutex<Vec<(String, Instant)>>>,
    beats: Arc<AtomicU64>,
    /// Whether it closes the connection of a request that it has run without an answer.
    pub loses_answers: Arc<AtomicBool>,
}

/// Requests that wait at a runner beside those that run.
const QUEUE: usize = 24;

impl Runner {
    pub fn start(
        ip: &str,
        name: &str,
        service: &str,
        zone: &str,
        slots: usize,
        record: &Record,
    ) -> Runner {
        let listener = TcpListener::bind((ip, 0)).expect("a runner can't listen");
        let runner = Runner {
            name: name.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().unwrap(),
            slots,
            load: Arc::default(),
            record: record.clone(),
            runs: Arc::default(),
            arrivals: Arc::default(),
            beats: Arc::default(),
            loses_answers: Arc::default(),
        };
        let served = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        runner
    }

    /// Its entry in the store.
    pub fn entry(&self, state: &str) -> String {
        let seq = self.beats.fetch_add(1, Ordering::Relaxed) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"cold-left-ms\":0,\"seq\":{seq},\"born\":1790000000000}}",
            self.service, self.address, self.zone, self.slots
        )
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.name)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(request) = reader.read_request() {
            if !self.answer(&mut reader.stream, &request) {
                return;
            }
        }
    }

    /// Answers a request. Returns whether the connection is kept.
    fn answer(&self, stream: &mut TcpStream, request: &Message) -> bool {
        let (method, path) = request.target();
        let path = path.to_owned();
        if method == "GET" && path == "/healthz" {
            let headers = [("Instance-Id", self.name.as_str())];
            return stream.write_all(&message_text("HTTP/1.1 200 OK", &headers, b"")).is_ok();
        }
        let Some(id) = request.header("request-id").map(str::to_owned) else {
            let answer = message_text("HTTP/1.1 400 Bad Request", &[("Not-Executed", "1")], b"");
            return stream.write_all(&answer).is_ok();
        };
        if request.header("expect-instance").is_some_and(|name| name != self.name) {
            let headers = [("Request-Id", id.as_str()), ("Instance-Id", self.name.as_str())];
            let answer = message_text("HTTP/1.1 421 Misdirected Request", &headers, b"");
            return stream.write_all(&answer).is_ok();
        }
        self.record.line(&format!("{} gets {id} {method} {path}", self.name));
        self.arrivals.lock().unwrap().push((id.clone(), Instant::now()));
        if !self.take_slot() {
            self.record.line(&format!("{} is full: {id} isn't run", self.name));
            let headers = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
            return stream
                .write_all(&message_text("HTTP/1.1 503 Service Unavailable", &headers, b""))
                .is_ok();
        }
        self.runs.lock().unwrap().push(id.clone());
        self.record.line(&format!("{} runs {id}", self.name));
        let kept = self.run(stream, request, &id);
        let (load, freed) = &*self.load;
        load.lock().unwrap().0 -= 1;
        freed.notify_one();
        self.record.line(&format!(
            "{} ends its run of {id}, {}",
            self.name,
            if kept { "answered" } else { "cut" }
        ));
        kept
    }

    fn take_slot(&self) -> bool {
        let (load, freed) = &*self.load;
        let mut now = load.lock().unwrap();
        if now.0 >= self.slots && now.1 >= QUEUE {
            return false;
        }
        now.1 += 1;
        while now.0 >= self.slots {
            now = freed.wait(now).unwrap();
        }
        now.1 -= 1;
        now.0 += 1;
        true
    }

    fn run(&self, stream: &mut TcpStream, request: &Message, id: &str) -> bool {
        let (_, path) = request.target();
        let query = path.split_once('?').map_or("", |(_, query)| query);
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(other, _)| *other == name).and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let (running, waiting) = *self.load.0.lock().unwrap();
        let load = format!("{running},{waiting},{}", self.slots);
        let signature = format!("{}.{id}", self.name);
        if let Some(events) = number("events") {
            let gap = Duration::from_millis(number("gap").unwrap_or(100));
            let first =
                request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {signature}\r\nInstance-Load: {load}\r\n\
                 Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            if stream.write_all(head.as_bytes()).is_err() {
                return false;
            }
            for event in first + 1..=events {
                thread::sleep(gap);
                let text = format!("id: {event}\ndata: part-{event}\n\n");
                let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                if stream.write_all(chunk.as_bytes()).is_err() {
                    return false;
                }
            }
            return stream.write_all(b"0\r\n\r\n").is_ok();
        }
        thread::sleep(Duration::from_millis(number("work").unwrap_or(20)));
        if self.loses_answers.load(Ordering::Relaxed) {
            return false;
        }
        let headers = [
            ("Request-Id", id),
            ("Response-Signature", signature.as_str()),
            ("Instance-Load", load.as_str()),
            ("Content-Type", "text/plain"),
        ];
        let body = format!("answer to {id}");
        stream.write_all(&message_text("HTTP/1.1 200 OK", &headers, body.as_bytes())).is_ok()
    }
}
