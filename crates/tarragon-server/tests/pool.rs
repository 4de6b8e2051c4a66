//! Connections to targets: what arrives on an idle one ends it.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::BodyExt;
use tarragon_server::target::pool::{CallBody, CallFault, ConnectionPool, TargetConnection};
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_secs(2);
/// Time after which a connection waits for its next call.
const SETTLE_TIME: Duration = Duration::from_millis(50);

const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
const REJECTION: &str = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";

struct IdleCase {
    name: &'static str,
    /// What the target does while nothing is asked, as late as possible.
    disturb: fn(&mut TcpStream),
}

const CASES: &[IdleCase] = &[
    IdleCase {
        name: "an answer",
        disturb: |stream| stream.write_all(REJECTION.as_bytes()).unwrap(),
    },
    IdleCase { name: "a part of one", disturb: |stream| stream.write_all(b"HTTP/1.1 ").unwrap() },
    IdleCase {
        name: "the end of the connection",
        disturb: |stream| stream.shutdown(Shutdown::Both).unwrap(),
    },
];

fn call(address: SocketAddr) -> Request<CallBody> {
    Request::get("/").header("host", address.to_string()).body(CallBody::new(Bytes::new())).unwrap()
}

/// Accepts a connection in the background, and answers its first call.
fn serve_one(listener: &TcpListener) -> thread::JoinHandle<TcpStream> {
    let listener = listener.try_clone().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut bytes = Vec::new();
        while !bytes.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            bytes.push(byte[0]);
        }
        stream.write_all(ANSWER.as_bytes()).unwrap();
        stream
    })
}

/// A connection from the pool that has carried one call, with the target's end of it.
async fn kept_connection(
    pool: &ConnectionPool,
    listener: &TcpListener,
) -> (TargetConnection, TcpStream) {
    let address = listener.local_addr().unwrap();
    let target = serve_one(listener);
    let mut connection = pool.checkout(&address.to_string(), LIMIT).await.unwrap();
    let response = connection.send(call(address), LIMIT).await.unwrap();
    response.into_body().collect().await.unwrap();
    pool.give_back(&address.to_string(), connection);
    sleep(SETTLE_TIME).await;
    let connection = pool.checkout(&address.to_string(), LIMIT).await.unwrap();
    assert!(connection.is_reused());
    (connection, target.join().unwrap())
}

/// Bytes that the target got after the first call, up to the end or reset of the connection.
fn written_later(mut stream: TcpStream) -> Vec<u8> {
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    let mut bytes = Vec::new();
    if let Err(error) = stream.read_to_end(&mut bytes) {
        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    }
    bytes
}

/// Guards against bytes from before a call that are read as its answer because the runtime hasn't polled them.
#[tokio::test]
async fn what_arrives_just_before_a_call_replaces_the_connection() {
    for case in CASES {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let pool = ConnectionPool::default();
        let (mut connection, mut stream) = kept_connection(&pool, &listener).await;
        let _other = serve_one(&listener);
        (case.disturb)(&mut stream);
        let text = address.to_string();
        let response = connection.send_repeatable(&text, LIMIT, call(address), LIMIT).await;
        let response = response.unwrap_or_else(|fault| panic!("{}: {fault}", case.name));
        assert_eq!(response.status(), StatusCode::OK, "{}", case.name);
        assert!(!connection.is_reused(), "{}", case.name);
        assert_eq!(written_later(stream), b"", "{}", case.name);
    }
}

/// Guards against a call on a disturbed connection that counts as sent.
#[tokio::test]
async fn a_call_that_was_not_written_counts_as_not_sent() {
    for case in CASES {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let pool = ConnectionPool::default();
        let (mut connection, mut stream) = kept_connection(&pool, &listener).await;
        (case.disturb)(&mut stream);
        let answer = connection.send(call(address), LIMIT).await;
        assert!(matches!(answer, Err(CallFault::NotSent(_))), "{}: {answer:?}", case.name);
    }
}
