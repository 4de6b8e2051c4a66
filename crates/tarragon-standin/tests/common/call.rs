//! HTTP calls of the stand-ins' tests.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

/// Sends one request on a connection of its own and reads the whole answer. Bounded in time.
pub async fn call(
    method: &str,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> anyhow::Result<(StatusCode, String)> {
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build_http();
    let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::copy_from_slice(body.as_bytes())))?;
    let whole = async {
        let response = client.request(request).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        anyhow::Ok((status, String::from_utf8(body.to_vec())?))
    };
    tokio::time::timeout(Duration::from_secs(60), whole).await?
}
