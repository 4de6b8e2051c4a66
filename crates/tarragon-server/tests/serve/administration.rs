//! The administration API.

use http::Method;
use tarragon_server::{serve, settings::SecretText};

use crate::support::*;

struct KeyCase {
    path: &'static str,
    key: &'static str,
    status: u16,
}

/// Guards against an administration API that is open to everybody.
#[tokio::test]
async fn administration_needs_its_key() {
    let key = "Bearer an operator's key";
    let cases = [
        KeyCase { path: "/health/live", key: "", status: 200 },
        KeyCase { path: "/admin/dump", key: "", status: 401 },
        KeyCase { path: "/admin/dump", key: "Bearer an operator's kex", status: 401 },
        KeyCase { path: "/admin/dump", key: "an operator's key", status: 401 },
        KeyCase { path: "/admin/dump", key, status: 200 },
        KeyCase { path: "/admin/rules", key, status: 200 },
        KeyCase { path: "/admin/metrics", key, status: 200 },
        KeyCase { path: "/admin/explain?workspace=crews&model=small", key, status: 200 },
        KeyCase { path: "/admin/explain?workspace=crews", key, status: 400 },
        KeyCase { path: "/admin/nothing", key, status: 404 },
    ];
    bounded(async {
        let mut settings = settings("admin", Vec::new());
        settings.admin_key = Some(SecretText::new("an operator's key"));
        let handle = start(settings).await;
        for KeyCase { path, key, status } in cases {
            let call = TestCall::new(Method::GET, path).with("authorization", key);
            let answer = call.send(handle.admin_address).await;
            assert_eq!(answer.status.as_u16(), status, "{path} {key}: {answer:?}");
        }
        handle.shutdown().await.unwrap();
    })
    .await;
}

/// Guards against an open address without a key.
#[tokio::test]
async fn open_address_without_a_key_is_refused() {
    let mut settings = settings("admin-open", Vec::new());
    settings.admin_address = "0.0.0.0:0".parse().unwrap();
    assert!(serve::start(settings).await.is_err());
}
