//! The platform's store: items under keys, ranges and watches.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::net::{Reader, message_text};

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

struct Item {
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct Content {
    items: BTreeMap<String, Item>,
    /// Key and revision of each change.
    changes: Vec<(String, u64)>,
    revision: u64,
}

#[derive(Clone)]
pub struct Store {
    content: Arc<(Mutex<Content>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(ip: &str) -> Store {
        let listener = TcpListener::bind((ip, 0)).expect("the store can't listen");
        let address = listener.local_addr().unwrap();
        let store = Store { content: Arc::default(), address };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        let (content, changed) = &*self.content;
        let mut content = content.lock().unwrap();
        content.revision += 1;
        let revision = content.revision;
        let created = content.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: base64(value.as_bytes()), revision, created };
        content.items.insert(key.to_owned(), item);
        content.changes.push((key.to_owned(), revision));
        changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let (content, changed) = &*self.content;
        let mut content = content.lock().unwrap();
        content.revision += 1;
        let revision = content.revision;
        content.items.remove(key);
        content.changes.push((key.to_owned(), revision));
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(request) = reader.read_request() {
            thread::sleep(ANSWER_TIME);
            let (_, target) = request.target();
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let parameter = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.find(|(other, _)| *other == name).map(|(_, value)| value.to_owned())
            };
            let prefix = parameter("path-prefix").unwrap_or_default();
            let body = match path {
                "/-/kv-range" => self.range(&prefix, &parameter("after").unwrap_or_default()),
                "/-/kv-watch" => {
                    let number = |name| parameter(name).and_then(|text| text.parse().ok());
                    self.watch(
                        &prefix,
                        number("after").unwrap_or(0),
                        number("max-wait-ms").unwrap_or(0),
                    )
                }
                _ => String::new(),
            };
            let line = if body.is_empty() { "HTTP/1.1 404 Not Found" } else { "HTTP/1.1 200 OK" };
            let headers = [("Content-Type", "application/json")];
            let answer = message_text(line, &headers, body.as_bytes());
            if reader.stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let content = self.content.0.lock().unwrap();
        let items =
            content.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = items.map(|(key, item)| item_text(key, item)).collect();
        format!(
            "{{\"items\":[{}],\"has-more\":false,\"at\":{}}}",
            items.join(","),
            content.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> String {
        let (content, changed) = &*self.content;
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut content = content.lock().unwrap();
        loop {
            let news =
                content.changes.iter().filter(|(key, at)| *at > after && key.starts_with(prefix));
            let events: Vec<String> = news
                .filter_map(|(key, at)| match content.items.get(key) {
                    Some(item) if item.revision == *at => Some(item_text(key, item)),
                    // A later event has the newer value.
                    Some(_) => None,
                    None => {
                        Some(format!("{{\"key\":\"{key}\",\"revision\":{at},\"deleted\":true}}"))
                    }
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"at\":{}}}",
                    events.join(","),
                    content.revision
                );
            }
            content = changed.wait_timeout(content, left).unwrap().0;
        }
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created-at\":{},\"lease\":0}}",
        item.value, item.revision, item.created
    )
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let number = three.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - three.len()));
        for place in 0..4 {
            match place <= three.len() {
                true => text.push(LETTERS[(number >> (18 - 6 * place) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
