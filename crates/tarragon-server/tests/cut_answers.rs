//! Answers of targets that stop anywhere: no part of one is read as a whole answer.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request};
use tarragon_server::target::{
    body::read_whole,
    pool::{CallBody, TargetConnection},
};
use tarragon_standin::scripted_target::{ScriptedTarget, TargetStep};

const LIMIT: Duration = Duration::from_secs(2);
/// Time in which what was written before a reset arrives.
const WRITE_TIME: Duration = Duration::from_millis(2);
const MAX_BYTES: usize = 1 << 10;

struct FramingCase {
    name: &'static str,
    head: &'static str,
    body: &'static str,
}

const FRAMINGS: &[FramingCase] = &[
    FramingCase {
        name: "a length",
        head: "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n",
        body: "some body",
    },
    FramingCase {
        name: "chunks",
        head: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        body: "4\r\nsome\r\n5\r\n body\r\n0\r\n\r\n",
    },
    FramingCase { name: "until close", head: "HTTP/1.1 200 OK\r\n\r\n", body: "some body" },
];

fn call(address: SocketAddr) -> Request<CallBody> {
    Request::get("/").header("host", address.to_string()).body(CallBody::new(Bytes::new())).unwrap()
}

/// Guards against a part of an answer, or a success without a whole head, that a caller gets as a whole answer.
#[tokio::test]
async fn no_cut_answer_is_read_as_whole() {
    for case in FRAMINGS {
        let text = [case.head, case.body].concat();
        for written in 0..text.len() {
            for end in [TargetStep::Close, TargetStep::Reset] {
                for kept in [false, true] {
                    let name = format!("{}, kept {kept}, {end:?} after {written}", case.name);
                    let whole =
                        vec![TargetStep::Write([FRAMINGS[0].head, FRAMINGS[0].body].concat())];
                    let part = TargetStep::Write(text[..written].to_owned());
                    let cut = vec![part, TargetStep::Pause(WRITE_TIME), end.clone()];
                    let scripts = if kept { vec![whole, cut] } else { vec![cut] };
                    let target = ScriptedTarget::start(scripts).await.unwrap();
                    let address = target.address();
                    let mut connection =
                        TargetConnection::open(&address.to_string(), LIMIT).await.unwrap();
                    if kept {
                        let response = connection.send(call(address), LIMIT).await.unwrap();
                        read_whole(&Method::GET, response, MAX_BYTES, LIMIT).await.unwrap();
                    }
                    let answer = connection.send(call(address), LIMIT).await;
                    let Ok(response) = answer else { continue };
                    assert!(written >= case.head.len(), "{name}: {response:?}");
                    let body = read_whole(&Method::GET, response, MAX_BYTES, LIMIT).await;
                    assert!(body.is_err(), "{name}: {body:?}");
                }
            }
        }
    }
}
