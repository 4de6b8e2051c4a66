//! Routes, keys and services.

use tarragon_fleet::route::route_call;

use crate::support::*;

struct RouteCase {
    name: &'static str,
    host: &'static str,
    path: &'static str,
    key: Option<&'static str>,
    expected: Result<&'static str, CallFault>,
}

const CASES: &[RouteCase] = &[
    RouteCase {
        name: "prefix",
        host: "calls.example",
        path: "/a/1",
        key: Some("key"),
        expected: Ok("/a/"),
    },
    RouteCase {
        name: "longest prefix",
        host: "calls.example",
        path: "/a/b/1",
        key: Some("key"),
        expected: Ok("/a/b/"),
    },
    RouteCase {
        name: "host with a port in capitals",
        host: "Calls.Example:80",
        path: "/a/1",
        key: Some("key"),
        expected: Ok("/a/"),
    },
    RouteCase {
        name: "part of a name",
        host: "calls.example",
        path: "/ab/1",
        key: Some("key"),
        expected: Err(CallFault::UnknownRoute),
    },
    RouteCase {
        name: "other host",
        host: "other.example",
        path: "/a/1",
        key: Some("key"),
        expected: Err(CallFault::UnknownRoute),
    },
    RouteCase {
        name: "unknown key",
        host: "calls.example",
        path: "/a/1",
        key: Some("old"),
        expected: Err(CallFault::UnknownKey),
    },
    RouteCase {
        name: "no key",
        host: "calls.example",
        path: "/a/1",
        key: None,
        expected: Err(CallFault::UnknownKey),
    },
    RouteCase {
        name: "public without a key",
        host: "calls.example",
        path: "/p/1",
        key: None,
        expected: Ok("/p/"),
    },
];

/// Guards against requests that go to another route's service, or that no key covers.
#[test]
fn the_longest_prefix_of_the_host_decides() {
    let mut known = configuration(1);
    let public = CallRoute { public: true, ..route("/p/", SERVICE) };
    known.routes.extend([route("/a/b/", "other"), public].map(std::sync::Arc::new));
    for case in CASES {
        let head = CallHead { key: case.key.map(str::to_owned), ..CallHead::default() };
        let routed = route_call(&known, case.host, case.path, &head);
        let prefix = routed.map(|routed| routed.route.prefix.clone());
        assert_eq!(prefix, case.expected.map(str::to_owned), "{}", case.name);
    }
}

/// Guards against a service that gets more than its weight, or none.
#[test]
fn weights_divide_requests() {
    let mut known = configuration(1);
    let split = CallRoute {
        services: vec![("old".into(), 900), ("new".into(), 100), ("none".into(), 0)],
        ..route("/s/", SERVICE)
    };
    known.routes.push(split.into());
    let mut counts = indexmap::IndexMap::<ServiceName, u32>::new();
    for index in 0..2_000 {
        let key = Some("key".to_owned());
        let head = CallHead { key, tag: format!("request-{index}"), ..CallHead::default() };
        let routed = route_call(&known, "calls.example", "/s/1", &head).unwrap();
        *counts.entry(routed.service).or_default() += 1;
    }
    assert!((140..=260).contains(&counts["new"]), "{counts:?}");
    assert!(!counts.contains_key("none"), "{counts:?}");
}
