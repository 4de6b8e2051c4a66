//! Which VMs and targets a run has, and the configuration that is published for them.

use std::{sync::Arc, time::Duration};

use indexmap::IndexMap;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tarragon_protocol::platform::{PublishedTarget, TargetList};

use super::target::{FakeTarget, TargetPlan};
use crate::{engine::EngineProfile, workload::Workload};

/// Concurrent requests that a warm engine bears.
pub(crate) const WARM_BEARS: u32 = 24;

/// VMs and targets of a deployment.
#[derive(Debug, Clone)]
pub(crate) struct Topology {
    /// Workload of the deployment.
    pub(crate) workload: Workload,
    /// Data centre of each VM.
    pub(crate) vms: Vec<usize>,
    /// Targets.
    pub(crate) targets: Vec<TargetPlan>,
    /// Plug-in that chooses targets, if not the default one.
    pub(crate) choose: Option<String>,
}

impl Topology {
    /// A deployment with this many VMs, spread over its data centres in turn.
    pub(crate) fn new(workload: Workload, vms: usize, random: &mut ChaCha8Rng) -> Topology {
        let homes = workload.data_centres.len();
        let (engines, plain) = (&workload.engines, &workload.plain);
        let mut targets = Vec::new();
        let plain_count = plain.count.max(homes);
        for index in 0..engines.count + plain_count {
            let is_engine = index < engines.count;
            let number = if is_engine { index } else { index - engines.count };
            let service = if is_engine { &engines.service } else { &plain.service };
            targets.push(TargetPlan {
                name: format!("{service}-{number}"),
                service: service.clone(),
                data_centre: number % homes,
                engine: is_engine.then(EngineProfile::default),
                bears: if is_engine { [2, WARM_BEARS] } else { [1, 8] },
                lag: Duration::from_millis(random.random_range(100..800)),
                model: engines.model.clone(),
            });
        }
        let vms = (0..vms).map(|vm| vm % homes).collect();
        Topology { workload, vms, targets, choose: None }
    }

    /// Name of a VM.
    pub(crate) fn vm_name(&self, vm: usize) -> String {
        format!("{}-{vm}", self.workload.data_centres[self.vms[vm]])
    }

    /// Peer address of a VM.
    pub(crate) fn peer_address(vm: usize) -> String {
        format!("127.0.0.{}:7100", vm + 1)
    }

    /// Index of the VM with a peer address.
    pub(crate) fn vm_of_address(&self, address: &str) -> Option<usize> {
        (0..self.vms.len()).find(|vm| Topology::peer_address(*vm) == address)
    }

    /// The parts of a configuration. `out` names the data centres that are out of service, and `note`
    /// makes two publications differ.
    pub(crate) fn parts(
        &self,
        targets: &[FakeTarget],
        out: &[usize],
        note: u64,
    ) -> IndexMap<String, Arc<str>> {
        let mut parts = IndexMap::new();
        parts.insert("rules-00".to_owned(), self.rules(out, note).into());
        for (home, name) in self.workload.data_centres.iter().enumerate() {
            let listed =
                targets.iter().enumerate().filter(|(_, target)| target.data_centre == home);
            let targets = listed.map(|(index, target)| PublishedTarget {
                target: target.name.clone(),
                service: target.service.clone(),
                address: format!("127.0.1.{}:8100", index + 1),
                hardware: None,
                checks_fencing: false,
            });
            let list = TargetList { data_centre: name.as_str().into(), targets: targets.collect() };
            let text = serde_json::to_string(&list).expect("a target list can be written as JSON");
            parts.insert(format!("targets-{name}"), text.into());
        }
        parts
    }

    fn rules(&self, out: &[usize], note: u64) -> String {
        let (engines, plain) = (&self.workload.engines, &self.workload.plain);
        let mut lines = vec![
            format!("service {} kind=model idempotent=yes # asked by: lab", engines.service),
            format!("service {} kind=plain idempotent=no # asked by: lab", plain.service),
            format!("model {} service={} # asked by: lab", engines.model, engines.service),
        ];
        for workspace in &self.workload.workspaces {
            let name = &workspace.name;
            lines.push(format!("workspace {name} weight=1 # asked by: lab, change {note}"));
        }
        for (home, name) in self.workload.data_centres.iter().enumerate() {
            let state = if out.contains(&home) { "out" } else { "in" };
            lines.push(format!("data-centre {name} state={state} # asked by: lab"));
        }
        if let Some(choose) = &self.choose {
            lines.push(format!("policy default choose={choose} # asked by: lab"));
        }
        lines.join("\n") + "\n"
    }
}
