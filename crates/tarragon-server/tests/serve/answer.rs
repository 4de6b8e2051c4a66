//! Bodies of answers as they are written to a connection.

use std::convert::Infallible;

use bytes::Bytes;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tarragon_server::caller::answer::{BodyPart, stream_answer};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, duplex},
    sync::mpsc,
};

/// Guards against a caller that gets no bytes at all because its answer breaks off before the connection is
/// polled again.
#[tokio::test]
async fn parts_are_written_before_a_broken_answer_ends_its_connection() {
    let (mut caller, connection) = duplex(4_096);
    let service = service_fn(async |_| {
        let (sender, parts) = mpsc::channel(4);
        for text in ["first ", "second "] {
            sender.try_send(BodyPart::Data(Bytes::from_static(text.as_bytes()))).unwrap();
        }
        Ok::<_, Infallible>(stream_answer(parts))
    });
    caller.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").await.unwrap();
    let ended = http1::Builder::new().serve_connection(TokioIo::new(connection), service).await;
    ended.expect_err("the connection must not end as after a complete answer");
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    assert!(answer.contains("first ") && answer.contains("second "), "{answer:?}");
    assert!(!answer.ends_with("0\r\n\r\n"), "the answer must not look complete: {answer:?}");
}
