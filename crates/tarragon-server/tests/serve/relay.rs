//! Data centres out of service, and a platform that publishes the configuration.

use std::{cell::Cell, net::SocketAddr};

use http::Method;
use tarragon_config::publication::{build_manifest, split_rules, targets_part};
use tarragon_protocol::platform::{ListedVm, PublishedTarget, TargetList, VmState};
use tarragon_server::{
    serve::ServerHandle,
    settings::{PlatformAddresses, ServeSettings},
};
use tarragon_standin::{
    configuration_service::{self, ConfigurationHandle, ConfigurationSettings},
    engine::{self, EngineSettings, HardwareProfile},
    service::{self, CALL_ID, ServiceSettings},
    vm_list::{self, VmListHandle, VmListSettings},
};

use crate::support::*;

/// A deployment of two data centres with one VM each.
pub struct TwoCentres {
    configuration: ConfigurationHandle,
    _vm_list: VmListHandle,
    targets: Vec<TargetList>,
    version: Cell<u64>,
}

const CENTRES: [&str; 2] = ["east", "west"];
/// Largest body of a caller. Buffers of sockets on loopback hold less.
const MAX_BODY_BYTES: u64 = 8 << 20;

impl TwoCentres {
    pub async fn start(targets: [Vec<PublishedTarget>; 2]) -> (TwoCentres, [ServerHandle; 2]) {
        let configuration =
            configuration_service::start(ConfigurationSettings::default()).await.unwrap();
        let vm_list = vm_list::start(VmListSettings::default()).await.unwrap();
        let platform = PlatformAddresses {
            configuration_service: configuration.address(),
            vm_list: vm_list.address(),
        };
        let settings = CENTRES.map(|centre| centre_settings(centre, platform));
        vm_list.set(settings.iter().map(listed).collect());
        let lists = targets
            .into_iter()
            .zip(CENTRES)
            .map(|(targets, centre)| TargetList { data_centre: centre.into(), targets });
        let deployment = TwoCentres {
            configuration,
            _vm_list: vm_list,
            targets: lists.collect(),
            version: Cell::new(0),
        };
        deployment.publish("");
        let [east, west] = settings;
        let (east, west) = tokio::join!(start(east), start(west));
        (deployment, [east, west])
    }

    pub fn publish(&self, more: &str) {
        let mut parts = split_rules(&format!("{RULES}{more}"));
        parts.extend(self.targets.iter().map(targets_part));
        let version = self.version.get() + 1;
        self.version.set(version);
        let manifest = build_manifest(version, &parts);
        self.configuration.publish(&manifest, &parts).unwrap();
    }
}

fn centre_settings(centre: &str, platform: PlatformAddresses) -> ServeSettings {
    let mut settings = settings(&format!("vm-{centre}"), Vec::new());
    settings.data_centre = centre.into();
    settings.platform = Some(platform);
    settings.limits.body_bytes = MAX_BODY_BYTES;
    settings.rules_file = None;
    settings.caller_address = free_address();
    settings.peer_address = free_address();
    settings
}

fn listed(settings: &ServeSettings) -> ListedVm {
    ListedVm {
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        caller_address: settings.caller_address.to_string(),
        peer_address: settings.peer_address.to_string(),
        state: VmState::Live,
        generation: 1,
    }
}

async fn ticket(address: SocketAddr) -> String {
    let answer = TestCall::new(Method::POST, "/v1/tickets").send(address).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    answer.json()["ticket"].as_str().unwrap().to_owned()
}

/// Guards against work that is lost, run twice or run in the wrong place while a data centre is taken
/// out of service and comes back.
#[tokio::test]
async fn data_centre_that_is_out_relays_its_work() {
    bounded(async {
        let engine = |name| {
            let fast = HardwareProfile::second_generation().scaled(10.0);
            engine::start(EngineSettings::new(name, fast, "small"))
        };
        let (here, there) = (engine("east-1").await.unwrap(), engine("west-1").await.unwrap());
        let ledger = service::start(ServiceSettings::new("ledger-1")).await.unwrap();
        let (deployment, [east, west]) = TwoCentres::start([
            vec![target("east-1", "pool", here.address())],
            vec![
                target("west-1", "pool", there.address()),
                target("ledger-1", "ledger", ledger.address()),
            ],
        ])
        .await;
        let address = east.caller_address;
        let call = TestCall::chat("before [answer=20]", true).send(address).await;
        assert!(call.streamed().1, "{call:?}");
        // The ledger has no target in the east: the owner relays the call once.
        let early = ticket(address).await;
        let reserve = |ticket: &str, id: &str| {
            TestCall::new(Method::POST, "/services/ledger/reserve")
                .with("x-tarragon-ticket", ticket)
                .with(CALL_ID, id)
        };
        let done = reserve(&early, "call-1").send(address).await;
        assert_eq!((done.status.as_u16(), done.outcome()), (200, "done"), "{done:?}");
        let repeat = reserve(&early, "call-1").send(address).await;
        assert_eq!(repeat.body, done.body);
        deployment.publish("data-centre east state=out # asked by: tests\n");
        until("the east is not ready", || !east.is_ready()).await;
        let runs = here.counters();
        for stream in [true, false] {
            let answer = TestCall::chat("during [answer=20]", stream).send(address).await;
            assert_eq!((answer.status.as_u16(), answer.outcome()), (200, "done"), "{answer:?}");
        }
        assert_eq!(here.counters().admitted, runs.admitted);
        // Far more at once than the replay window of a peer holds.
        let burst: Vec<_> = (0..300)
            .map(|index| {
                let call = TestCall::chat(&format!("burst {index} [answer=1]"), index % 2 == 0);
                tokio::spawn(async move { call.send(address).await })
            })
            .collect();
        for call in burst {
            let answer = call.await.unwrap();
            assert_eq!((answer.status.as_u16(), answer.outcome()), (200, "done"), "{answer:?}");
        }
        let late = ticket(address).await;
        let done = reserve(&late, "call-2").send(address).await;
        assert_eq!((done.status.as_u16(), done.outcome()), (200, "done"), "{done:?}");
        assert_eq!((ledger.runs_of("call-1"), ledger.runs_of("call-2")), (1, 1));
        deployment.publish("");
        until("the east is ready", || east.is_ready()).await;
        let call = TestCall::chat("after [answer=20]", true).send(address).await;
        assert!(call.streamed().1, "{call:?}");
        let (east, west) = tokio::join!(east.shutdown(), west.shutdown());
        assert_eq!(east.unwrap().interrupted + west.unwrap().interrupted, 0);
    })
    .await;
}

/// Guards against a relayed request that somebody without the key sends to a peer address.
#[tokio::test]
async fn unsealed_relay_is_refused() {
    bounded(async {
        let handle = start(settings("unsealed", Vec::new())).await;
        let mut call = TestCall::chat("hello", true).with("x-tarragon-relay", "e30");
        call.path = format!("/relay{}", call.path);
        let answer = call.send(handle.peer_address).await;
        assert_eq!((answer.status.as_u16(), answer.outcome()), (403, "not-run"), "{answer:?}");
        handle.shutdown().await.unwrap();
    })
    .await;
}
