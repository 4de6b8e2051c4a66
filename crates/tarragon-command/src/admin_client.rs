//! Client of the administration API.

use std::{env, net::SocketAddr, path::PathBuf, time::Duration};

use anyhow::{Context, bail};
use bpaf::Bpaf;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{HeaderMap, Method, Request, body::Bytes, header::AUTHORIZATION};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use tarragon_config::{check::check_files, settings::SecretText};
use tokio::time::timeout;

/// Environment variable with the key. A key among the arguments could be read from the process list.
pub(crate) const KEY_VARIABLE: &str = "TARRAGON_ADMIN_KEY";
/// Time for a whole call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// The process to ask.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct AdminTarget {
    /// Settings file of the process; its address and key are used
    #[bpaf(long, argument("SETTINGS"))]
    settings: Option<PathBuf>,
    /// Administration address of the process; the key is taken from TARRAGON_ADMIN_KEY
    #[bpaf(long, argument("IP:PORT"))]
    address: Option<SocketAddr>,
}

/// Address and key of one process.
#[derive(Debug, Clone)]
pub(crate) struct AdminClient {
    address: SocketAddr,
    key: Option<SecretText>,
}

impl AdminTarget {
    /// Reads the settings file if one is named. An address given as an argument takes precedence.
    pub(crate) fn client(&self) -> anyhow::Result<AdminClient> {
        let settings = match &self.settings {
            Some(path) => {
                let report = check_files(path, None);
                let settings = report.settings;
                Some(settings.with_context(|| format!("{}", report.findings))?)
            }
            None => None,
        };
        let address = self.address.or(settings.as_ref().map(|settings| settings.admin_address));
        let Some(address) = address else {
            bail!("name the process by --settings SETTINGS or --address IP:PORT");
        };
        let key = settings.and_then(|settings| settings.admin_key);
        let key = key.or_else(|| env::var(KEY_VARIABLE).ok().map(SecretText::new));
        Ok(AdminClient { address, key })
    }
}

impl AdminClient {
    /// A client of a process without a key.
    pub(crate) fn new(address: SocketAddr) -> AdminClient {
        AdminClient { address, key: None }
    }

    /// Sends a request and returns the body of a successful answer.
    pub(crate) async fn call(&self, method: Method, path: &str) -> anyhow::Result<String> {
        self.call_with(method, path, HeaderMap::new()).await
    }

    /// Sends a request with headers and returns the body of a successful answer.
    pub(crate) async fn call_with(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
    ) -> anyhow::Result<String> {
        let whole = timeout(CALL_TIMEOUT, self.exchange(method, path, headers)).await;
        let address = self.address;
        whole.with_context(|| format!("{address} did not answer within {CALL_TIMEOUT:?}"))?
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
    ) -> anyhow::Result<String> {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let uri = format!("http://{}{path}", self.address);
        let mut request = Request::builder().method(method).uri(uri);
        if let Some(key) = &self.key {
            request = request.header(AUTHORIZATION, format!("Bearer {}", key.expose()));
        }
        let mut request = request.body(Empty::<Bytes>::new())?;
        request.headers_mut().extend(headers);
        let unreachable = || format!("{} can't be reached", self.address);
        let response = client.request(request).await.with_context(unreachable)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|error| anyhow::anyhow!("the answer was cut short: {error}"))?;
        let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        if !status.is_success() {
            bail!("{} answered {status}: {text}", self.address);
        }
        Ok(text)
    }
}
