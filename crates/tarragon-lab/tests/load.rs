//! The load generator must count a slow answer from its intended start and must tell a whole stream from a
//! broken one; otherwise a stalled process would look fast and a cut answer would count as done.

use std::{convert::Infallible, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tarragon_lab::load::{self, LoadOptions, LoadOutcome};
use tokio::net::TcpListener;

const DELAY: Duration = Duration::from_millis(120);

async fn answer(request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    tokio::time::sleep(DELAY).await;
    let builder = Response::builder().header("x-tarragon-outcome", "done");
    let response = match request.uri().path() {
        "/v1/tickets" => builder.body(Full::from(r#"{"ticket":"t"}"#)),
        "/v1/chat/completions" => builder
            .header("content-type", "text/event-stream")
            .body(Full::from("data: {}\n\nevent: error\ndata: {}\n\n")),
        _ => builder.body(Full::from("{}")),
    };
    Ok(response.unwrap())
}

async fn serve() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let connection =
                http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(answer));
            tokio::spawn(connection);
        }
    });
    address
}

#[tokio::test]
async fn each_planned_request_is_counted_with_its_outcome_and_latency() {
    let options = LoadOptions {
        addresses: vec![serve().await],
        workload: "onitsha".to_owned(),
        rate: 60.0,
        length: Duration::from_millis(1_500),
        seed: 3,
        repeats: 0,
    };
    let table = load::run(options).await.unwrap();
    assert!(table.planned > 0);
    assert_eq!(table.answered(), table.planned as u64);
    let plain = table.classes.iter().find(|class| class.class == "remnant-reservation").unwrap();
    let streams = table.planned as u64 - plain.outcomes[&LoadOutcome::Done];
    assert_eq!(table.count(LoadOutcome::StreamError), streams);
    // A reservation takes a ticket first, so that two delays lie between its start and its answer.
    assert!(plain.total.min() >= 2 * DELAY.as_micros() as u64 - 1_000);
}

#[tokio::test]
async fn addresses_outside_loopback_are_refused() {
    let options = LoadOptions {
        addresses: vec!["192.0.2.1:80".parse().unwrap()],
        workload: "oshana".to_owned(),
        rate: 1.0,
        length: Duration::from_secs(1),
        seed: 1,
        repeats: 0,
    };
    assert!(load::run(options).await.is_err());
}
