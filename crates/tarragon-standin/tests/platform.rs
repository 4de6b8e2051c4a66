//! The plain service, the configuration service and the VM list over HTTP.

#[path = "common/call.rs"]
mod common;

use std::{sync::Arc, time::Duration};

use common::call;
use http::StatusCode;
use tarragon_protocol::{
    platform::{ConfigurationManifest, ListedVm, PublishedValue, VmList, VmState},
    prelude::*,
};
use tarragon_standin::{
    configuration_service::{self, ConfigurationHandle, ConfigurationSettings},
    service::{self, CALL_ID, ServiceFault, ServiceSettings},
    vm_list::{self, VmListSettings},
};
use tokio::time::{sleep, timeout};

#[tokio::test]
async fn a_service_counts_runs_by_call_id_whatever_the_caller_sees() {
    let service = service::start(ServiceSettings::new("ledger-1")).await.unwrap();
    let reserve =
        || call("POST", service.address(), "/ledger/reserve", &[(CALL_ID, "c-1")], "roll 7");
    let (status, body) = reserve().await.unwrap();
    assert_eq!(status, StatusCode::OK);
    assert!(body.contains("roll 7") && body.contains("/ledger/reserve"), "{body}");
    service.fail_next(ServiceFault::CloseAfterRun, 1);
    assert!(reserve().await.is_err());
    assert_eq!(service.counters().double_runs(), ["c-1"]);
    service.fail_next(ServiceFault::Status500, 1);
    assert_eq!(reserve().await.unwrap().0, StatusCode::INTERNAL_SERVER_ERROR);
    service.fail_next(ServiceFault::CloseBeforeRun, 1);
    assert!(reserve().await.is_err());
    service.refuse_connections(true);
    sleep(Duration::from_millis(20)).await;
    assert!(reserve().await.is_err());
    assert_eq!(service.runs_of("c-1"), 2);
    service.refuse_connections(false);
    sleep(Duration::from_millis(50)).await;
    let (_, body) = call("GET", service.address(), "/load", &[], "").await.unwrap();
    assert_eq!(serde_json::from_str::<LoadReport>(&body).unwrap().capacity, 16);
}

fn publish(service: &ConfigurationHandle, version: u64, text: &str) {
    let manifest = ConfigurationManifest { version, parts: Vec::new() };
    service.publish(&manifest, &[("rules-all".to_owned(), text.to_owned())]).unwrap();
}

async fn read(service: &ConfigurationHandle, path: &str) -> PublishedValue {
    let (status, body) = call("GET", service.address(), path, &[], "").await.unwrap();
    assert_eq!(status, StatusCode::OK);
    serde_json::from_str(&body).unwrap()
}

#[tokio::test]
async fn values_are_read_watched_and_served_stale() {
    let service = configuration_service::start(ConfigurationSettings::default()).await.unwrap();
    publish(&service, 10, "a");
    publish(&service, 11, "a");
    assert_eq!(read(&service, "/v1/values/rules-all").await.version, 1);
    let watching = read(&service, "/v1/watch/manifest?after=11");
    let publishing = async {
        sleep(Duration::from_millis(50)).await;
        assert_eq!(service.counters().waiting, 1);
        publish(&service, 12, "b");
    };
    let (watched, ()) = tokio::join!(watching, publishing);
    assert_eq!((watched.version, service.counters().waiting), (12, 0));
    service.serve_stale(1);
    assert_eq!(read(&service, "/v1/values/manifest").await.version, 11);
    service.serve_current();
    assert_eq!(read(&service, "/v1/values/rules-all").await.value, "b");
    service.set_down(true);
    sleep(Duration::from_millis(20)).await;
    assert!(call("GET", service.address(), "/v1/values/manifest", &[], "").await.is_err());
    let (status, _) = {
        service.set_down(false);
        sleep(Duration::from_millis(50)).await;
        call("GET", service.address(), "/v1/values/none", &[], "").await.unwrap()
    };
    assert_eq!(status, StatusCode::NOT_FOUND);
}

/// Watches count while they wait, so that a fleet of them uses up the rate as it does on the platform.
#[tokio::test]
async fn the_rate_of_calls_is_limited_with_waiting_watches() {
    let settings = ConfigurationSettings { call_limit: 3, ..ConfigurationSettings::default() };
    let service = configuration_service::start(settings).await.unwrap();
    publish(&service, 1, "a");
    let address = service.address();
    let watch = tokio::spawn(async move {
        let _ = call("GET", address, "/v1/watch/manifest?after=1", &[], "").await;
    });
    sleep(Duration::from_millis(1_200)).await;
    let mut statuses = Vec::new();
    for _ in 0..3 {
        statuses.push(call("GET", address, "/v1/values/manifest", &[], "").await.unwrap().0);
    }
    assert_eq!(statuses, [StatusCode::OK, StatusCode::OK, StatusCode::TOO_MANY_REQUESTS]);
    assert_eq!(service.counters().throttled, 1);
    watch.abort();
}

#[tokio::test]
async fn the_vm_list_shows_changes_after_its_lag() {
    let lag = Duration::from_millis(200);
    let list = vm_list::start(VmListSettings { lag, ..VmListSettings::default() }).await.unwrap();
    list.add(ListedVm {
        vm: Arc::from("vm-1"),
        data_centre: Arc::from("oshakati"),
        caller_address: "127.0.0.1:1".to_owned(),
        peer_address: "127.0.0.1:2".to_owned(),
        state: VmState::Live,
        generation: 1,
    });
    let read = || async {
        let (_, body) = call("GET", list.address(), "/v1/vms", &[], "").await.unwrap();
        serde_json::from_str::<VmList>(&body).unwrap()
    };
    assert!(read().await.vms.is_empty());
    let watch = call("GET", list.address(), "/v1/vms/watch?after=0", &[], "");
    let (_, body) = timeout(Duration::from_secs(5), watch).await.unwrap().unwrap();
    assert_eq!(serde_json::from_str::<VmList>(&body).unwrap().vms.len(), 1);
    list.set_state("vm-1", VmState::Leaving);
    sleep(lag * 2).await;
    assert_eq!(read().await.vms[0].state, VmState::Leaving);
}
