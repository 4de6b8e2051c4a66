//! Stand-in for a store that processes can only read: ranges and watches over keys with revisions.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use indexmap::IndexMap;
use percent_encoding::percent_decode_str;
use serde::Serialize;
use serde_json::{
    Value, json,
    value::{RawValue, to_raw_value},
};
use tokio::{sync::watch, time::timeout};

use crate::listener::{
    CloseConnection, ListenerControl, StandinBody, StandinService, start_listener,
};

/// Items of one page.
const PAGE: usize = 50;
/// Changes in one answer to a watch.
const WATCH_PAGE: usize = 100;

/// How the store treats calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// It answers.
    #[default]
    Answering,
    /// It refuses each call.
    Busy,
    /// It gives no answer.
    Silent,
}

/// An item in the form in which pages and watches have it.
#[derive(Debug, Clone)]
struct StoredItem {
    text: Box<RawValue>,
    /// Revision at which the key was created.
    created: u64,
}

#[derive(Debug, Clone)]
struct StoredChange {
    key: String,
    revision: u64,
    /// The event that a watch has.
    text: Box<RawValue>,
}

/// A page of items.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct ItemPage<'a> {
    items: Vec<&'a RawValue>,
    has_more: bool,
    at: u64,
}

/// The events of a watch.
#[derive(Serialize)]
struct EventPage<'a> {
    events: Vec<&'a RawValue>,
    at: u64,
}

#[derive(Debug, Clone, Default)]
struct StoreState {
    mode: StoreMode,
    revision: u64,
    items: IndexMap<String, StoredItem>,
    /// Changes in order.
    history: Vec<StoredChange>,
    /// Watches from before this revision are refused.
    compacted: u64,
    /// Number of times that the store has come back from a copy, as each answer tells.
    era: u64,
}

/// Copy of the content of a store.
pub struct StoreCopy(StoreState);

/// A store on a loopback port. Dropping it stops it.
pub struct SharedStore {
    control: ListenerControl,
    state: Arc<watch::Sender<StoreState>>,
}

struct StoreService {
    state: Arc<watch::Sender<StoreState>>,
}

impl SharedStore {
    /// Starts an empty store.
    pub async fn start() -> anyhow::Result<SharedStore> {
        let (control, listener) = start_listener(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let state =
            Arc::new(watch::Sender::new(StoreState { revision: 1, ..StoreState::default() }));
        listener.serve(Arc::new(StoreService { state: state.clone() }));
        Ok(SharedStore { control, state })
    }

    /// Address.
    pub fn address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Writes a value.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.put_item(key, |revision, created| item(key, value, revision, created));
    }

    /// Writes an item with any fields, as the JSON text that pages and watches have in its place. It is in the
    /// place of `key`.
    pub fn put_raw(&self, key: &str, text: &str) -> serde_json::Result<()> {
        let item = RawValue::from_string(text.to_owned())?;
        self.put_item(key, |_, _| item);
        Ok(())
    }

    fn put_item<I>(&self, key: &str, item: I)
    where
        I: FnOnce(u64, u64) -> Box<RawValue>,
    {
        self.state.send_modify(|state| {
            state.revision += 1;
            let revision = state.revision;
            let created = state.items.get(key).map_or(revision, |item| item.created);
            let text = item(revision, created);
            state.items.insert(key.to_owned(), StoredItem { text: text.clone(), created });
            state.history.push(StoredChange { key: key.to_owned(), revision, text });
        });
    }

    /// Writes a JSON value.
    pub fn put_json(&self, key: &str, value: &Value) {
        self.put(key, value.to_string().as_bytes());
    }

    /// Deletes a key.
    pub fn delete(&self, key: &str) {
        self.state.send_modify(|state| {
            state.revision += 1;
            state.items.shift_remove(key);
            let revision = state.revision;
            let text = raw(&json!({"key": key, "revision": revision, "deleted": true}));
            state.history.push(StoredChange { key: key.to_owned(), revision, text });
        });
    }

    /// Changes how calls are treated.
    pub fn set_mode(&self, mode: StoreMode) {
        self.state.send_modify(|state| state.mode = mode);
        self.control.reset_connections();
    }

    /// Copies the content.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state.borrow().clone())
    }

    /// Replaces the content by an older copy: later writes are lost, and their revisions are given out again.
    pub fn restore(&self, copy: &StoreCopy) {
        self.state.send_modify(|state| {
            let era = state.era + 1;
            *state = StoreState { era, mode: state.mode, ..copy.0.clone() };
        });
        self.control.reset_connections();
    }

    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.state.borrow().revision
    }

    /// Drops the history up to a revision.
    pub fn compact_until(&self, revision: u64) {
        self.state.send_modify(|state| {
            state.history.retain(|change| change.revision > revision);
            state.compacted = revision + 1;
        });
    }

    /// Drops the history: watches have to start anew.
    pub fn compact(&self) {
        self.state.send_modify(|state| {
            state.history.clear();
            state.compacted = state.revision + 1;
        });
        self.control.reset_connections();
    }
}

impl StandinService for StoreService {
    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<StandinBody>, CloseConnection> {
        let mut response = self.answer_call(request).await?;
        let era = self.state.borrow().era;
        response.headers_mut().insert("store-era", era.into());
        Ok(response)
    }
}

impl StoreService {
    async fn answer_call(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<StandinBody>, CloseConnection> {
        let mode = self.state.borrow().mode;
        match mode {
            StoreMode::Answering => {}
            StoreMode::Busy => return Ok(empty(StatusCode::SERVICE_UNAVAILABLE)),
            StoreMode::Silent => std::future::pending().await,
        }
        let query = request.uri().query().unwrap_or("");
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let (_, value) = pairs.find(|(key, _)| *key == name)?;
            Some(percent_decode_str(value).decode_utf8_lossy().into_owned())
        };
        let prefix = field("path-prefix").unwrap_or_default();
        match request.uri().path() {
            "/-/kv-range" => Ok(self.range(&prefix, field("after").as_deref())),
            "/-/kv-watch" => {
                let number = |name| field(name).and_then(|value| value.parse().ok()).unwrap_or(0);
                let wait = Duration::from_millis(number("max-wait-ms"));
                Ok(self.watch(&prefix, number("after"), wait).await)
            }
            _ => Ok(empty(StatusCode::NOT_FOUND)),
        }
    }

    fn range(&self, prefix: &str, after: Option<&str>) -> Response<StandinBody> {
        let state = self.state.borrow();
        let mut keys: Vec<&String> = state
            .items
            .keys()
            .filter(|key| key.starts_with(prefix) && after.is_none_or(|after| key.as_str() > after))
            .collect();
        keys.sort();
        let more = keys.len() > PAGE;
        keys.truncate(PAGE);
        let items = keys.into_iter().map(|key| &*state.items[key].text).collect();
        answer(&ItemPage { items, has_more: more, at: state.revision })
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Response<StandinBody> {
        let (compacted, revision) = {
            let state = self.state.borrow();
            (state.compacted, state.revision)
        };
        if after < compacted.saturating_sub(1) || after > revision {
            return empty(StatusCode::GONE);
        }
        let mut changes = self.state.subscribe();
        let matches =
            |change: &&StoredChange| change.revision > after && change.key.starts_with(prefix);
        let changed = changes.wait_for(|state| state.history.iter().any(|change| matches(&change)));
        // The time is over without a change if this fails.
        let _ = timeout(wait, changed).await;
        let state = self.state.borrow();
        let mut matching: Vec<&StoredChange> = state.history.iter().filter(matches).collect();
        let at = match matching.get(WATCH_PAGE) {
            Some(_) => matching[WATCH_PAGE - 1].revision,
            None => state.revision,
        };
        matching.truncate(WATCH_PAGE);
        let events = matching.into_iter().map(|change| &*change.text).collect();
        answer(&EventPage { events, at })
    }
}

fn item(key: &str, value: &[u8], revision: u64, created: u64) -> Box<RawValue> {
    raw(&json!({
        "key": key,
        "value": STANDARD.encode(value),
        "revision": revision,
        "created-at": created,
        "lease": 0,
    }))
}

fn raw(value: &Value) -> Box<RawValue> {
    to_raw_value(value).unwrap_or_else(|_| RawValue::NULL.to_owned())
}

fn answer<T>(body: &T) -> Response<StandinBody>
where
    T: Serialize,
{
    match serde_json::to_vec(body) {
        Ok(body) => Response::new(Full::new(Bytes::from(body)).boxed_unsync()),
        Err(error) => {
            tracing::error!(%error, "failed to encode an answer");
            empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn empty(status: StatusCode) -> Response<StandinBody> {
    let mut response = Response::new(Full::new(Bytes::new()).boxed_unsync());
    *response.status_mut() = status;
    response
}
