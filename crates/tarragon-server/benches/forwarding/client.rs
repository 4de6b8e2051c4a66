//! The load's process.

use std::{io::Read, time::Duration};

use anyhow::{Context, ensure};
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::{net::TcpStream, time::Instant};

/// Path that the server forwards; the service answers it too when it is called directly.
const PATH: &str = "/services/lookup/v1/rolls";

type Connection = SendRequest<Full<Bytes>>;

async fn connect(address: &str) -> anyhow::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender)
}

fn request(method: Method, path: &str, body: String) -> anyhow::Result<Request<Full<Bytes>>> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "bench")
        .header("x-tarragon-workspace", "crews")
        .header("x-tarragon-tier", "high")
        .header("x-tarragon-deadline-ms", "600000");
    Ok(request.body(Full::new(body.into()))?)
}

/// Calls the service for some seconds over some connections, each with one call at a time. Prints the
/// number of calls and the times of the 50th and the 99th of a hundred in microseconds.
pub async fn call(address: &str, connections: usize, seconds: u64) -> anyhow::Result<()> {
    let end = Instant::now() + Duration::from_secs(seconds);
    let mut workers = Vec::new();
    for _ in 0..connections {
        let connection = connect(address).await?;
        workers.push(tokio::spawn(call_until(connection, end)));
    }
    let mut times = Vec::new();
    for worker in workers {
        times.extend(worker.await??);
    }
    times.sort_unstable();
    let rank = |part: f64| times[((times.len() - 1) as f64 * part) as usize].as_micros();
    println!("{} {} {}", times.len(), rank(0.5), rank(0.99));
    Ok(())
}

async fn call_until(mut connection: Connection, end: Instant) -> anyhow::Result<Vec<Duration>> {
    let mut times = Vec::new();
    while Instant::now() < end {
        let start = Instant::now();
        connection.ready().await?;
        let answer = connection.send_request(request(Method::GET, PATH, String::new())?).await?;
        ensure!(answer.status() == 200, "a call was answered with {}", answer.status());
        answer.into_body().collect().await?;
        times.push(start.elapsed());
    }
    Ok(times)
}

/// Opens streams, prints a line when each has had its first token, and reads them until standard input
/// closes.
pub async fn hold(address: &str, streams: usize) -> anyhow::Result<()> {
    let mut readers = Vec::new();
    for index in 0..streams {
        let mut connection = connect(address).await?;
        let body = json!({
            "model": "small",
            "stream": true,
            "messages": [{"role": "user", "content": format!("stream {index} [answer=60000]")}],
        });
        let request = request(Method::POST, "/v1/chat/completions", body.to_string())?;
        let answer = tokio::spawn(async move {
            let answer = connection.send_request(request).await?;
            ensure!(answer.status() == 200, "a stream was answered with {}", answer.status());
            let mut body = answer.into_body();
            body.frame().await.context("no first token")??;
            anyhow::Ok((connection, body))
        });
        readers.push(answer);
    }
    for reader in readers {
        let (connection, mut body) = reader.await??;
        tokio::spawn(async move {
            while body.frame().await.is_some() {}
            drop(connection);
        });
    }
    println!("{streams}");
    tokio::task::spawn_blocking(|| std::io::stdin().read_to_end(&mut Vec::new())).await??;
    Ok(())
}
