//! The platform's HTTP interfaces: `GET /v1/values/{name}`, `GET /v1/watch/{name}?after=V`,
//! `GET /v1/vms` and `GET /v1/vms/watch?after=V`.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use serde::de::DeserializeOwned;
use tarragon_cluster::event::{PlatformAnswer, PlatformFault, PlatformRead};
use tarragon_config::settings::PlatformAddresses;
use tarragon_protocol::platform::{MANIFEST_VALUE, PublishedValue};
use tokio::time::timeout;

use crate::target::{
    body::{AnswerFault, read_whole},
    pool::{CallBody, CallFault, ConnectionPool},
};

/// Longest time for a connection to the platform.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Longest time for a read. The service answers in milliseconds.
const READ_LIMIT: Duration = Duration::from_secs(3);
/// Longest time for a watch: the service ends a watch without a change after 30 s.
const WATCH_LIMIT: Duration = Duration::from_secs(35);
/// Largest answer, in bytes: a value of one megabyte, escaped as JSON.
const MAX_ANSWER: usize = 4 << 20;

/// Client of the platform's interfaces.
#[derive(Clone)]
pub struct RemotePlatform {
    addresses: PlatformAddresses,
    pool: ConnectionPool,
}

impl RemotePlatform {
    /// A client of the platform at these addresses.
    pub fn new(addresses: PlatformAddresses, pool: ConnectionPool) -> RemotePlatform {
        RemotePlatform { addresses, pool }
    }

    /// Reads a value or waits for its change.
    pub async fn read(&self, read: &PlatformRead) -> PlatformAnswer {
        let limit = match read {
            PlatformRead::WatchManifest(_) | PlatformRead::WatchVmList(_) => WATCH_LIMIT,
            _ => READ_LIMIT,
        };
        let answer = timeout(limit, self.read_unbounded(read)).await;
        answer.unwrap_or(Err(PlatformFault::TimedOut)).unwrap_or_else(PlatformAnswer::Failed)
    }

    async fn read_unbounded(&self, read: &PlatformRead) -> Result<PlatformAnswer, PlatformFault> {
        match read {
            PlatformRead::Manifest => self.manifest(format!("/v1/values/{MANIFEST_VALUE}")).await,
            PlatformRead::WatchManifest(version) => {
                self.manifest(format!("/v1/watch/{MANIFEST_VALUE}?after={version}")).await
            }
            PlatformRead::Parts(names) => self.parts(names).await,
            PlatformRead::VmList => self.vm_list("/v1/vms".to_owned()).await,
            PlatformRead::WatchVmList(version) => {
                self.vm_list(format!("/v1/vms/watch?after={version}")).await
            }
        }
    }

    async fn manifest(&self, path: String) -> Result<PlatformAnswer, PlatformFault> {
        let address = self.addresses.configuration_service;
        let value: Option<PublishedValue> = self.get(address, &path).await?;
        let Some(value) = value else { return Ok(PlatformAnswer::Unchanged) };
        parse(value.value.as_bytes()).map(PlatformAnswer::Manifest)
    }

    async fn parts(&self, names: &[String]) -> Result<PlatformAnswer, PlatformFault> {
        let mut parts = Vec::new();
        for name in names {
            let path = format!("/v1/values/{name}");
            let value: Option<PublishedValue> =
                self.get(self.addresses.configuration_service, &path).await?;
            let text: Arc<str> = value.ok_or(PlatformFault::Malformed)?.value.into();
            parts.push((name.clone(), text));
        }
        Ok(PlatformAnswer::Parts(parts))
    }

    async fn vm_list(&self, path: String) -> Result<PlatformAnswer, PlatformFault> {
        let list = self.get(self.addresses.vm_list, &path).await?;
        Ok(list.map_or(PlatformAnswer::Unchanged, PlatformAnswer::VmList))
    }

    /// The JSON value at a path, or `None` if a watch ended without a change.
    async fn get<T>(&self, address: SocketAddr, path: &str) -> Result<Option<T>, PlatformFault>
    where
        T: DeserializeOwned,
    {
        let (status, body) = self.call(&address.to_string(), path).await?;
        match status {
            StatusCode::OK => parse(&body).map(Some),
            StatusCode::NO_CONTENT => Ok(None),
            StatusCode::TOO_MANY_REQUESTS => Err(PlatformFault::Throttled),
            StatusCode::SERVICE_UNAVAILABLE => Err(PlatformFault::Unreachable),
            _ => Err(PlatformFault::Malformed),
        }
    }

    async fn call(&self, address: &str, path: &str) -> Result<(StatusCode, Bytes), PlatformFault> {
        let request = Request::builder()
            .method(Method::GET)
            .uri(path)
            .header(header::HOST, address)
            .body(CallBody::default())
            .map_err(|_| PlatformFault::Malformed)?;
        let connection = self.pool.checkout(address, CONNECT_LIMIT).await;
        let mut connection = connection.map_err(|_| PlatformFault::Unreachable)?;
        let response = connection.send(request, WATCH_LIMIT).await.map_err(call_fault)?;
        let status = response.status();
        let body = read_whole(&Method::GET, response, MAX_ANSWER, READ_LIMIT).await;
        let body = body.map_err(answer_fault)?;
        self.pool.give_back(address, connection);
        Ok((status, body))
    }
}

fn parse<T>(bytes: &[u8]) -> Result<T, PlatformFault>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(bytes).map_err(|error| {
        tracing::warn!(%error, "the platform's answer can't be read");
        PlatformFault::Malformed
    })
}

fn call_fault(fault: CallFault) -> PlatformFault {
    match fault {
        CallFault::NotSent(_) | CallFault::Broken(_) => PlatformFault::Unreachable,
        CallFault::TimedOut => PlatformFault::TimedOut,
    }
}

fn answer_fault(fault: AnswerFault) -> PlatformFault {
    match fault {
        AnswerFault::CutShort => PlatformFault::Unreachable,
        AnswerFault::TooSlow | AnswerFault::Silent => PlatformFault::TimedOut,
        AnswerFault::TooLarge | AnswerFault::NoRoom => PlatformFault::Malformed,
    }
}
