//! Compares what the stand-ins counted with what callers were told and what must always hold.

use std::time::Duration;

use hyper::Method;
use indexmap::IndexMap;

use super::{account::DemoAccount, fleet::DemoFleet};
use crate::admin_client::AdminClient;

/// Time after which a data centre that was taken out gets no new work. 3 s by the design page, and half a
/// second for a request that was on its way.
pub(super) const OUT_AFTER: Duration = Duration::from_millis(3_500);
/// Name of the metric that counts violations, up to its label.
const VIOLATION_METRIC: &str = "tarragon_invariant_violations_total{invariant=\"";

/// What was observed while the demo ran.
#[derive(Debug, Default)]
pub(super) struct FleetAudit {
    admitted_when_out: u64,
    late_admissions: u64,
    /// Faults of the demo itself.
    pub(super) faults: Vec<String>,
}

impl FleetAudit {
    /// Notes the work of a data centre at the time from which it must get no more.
    pub(super) fn note_out(&mut self, fleet: &DemoFleet, data_centre: usize) {
        self.admitted_when_out = fleet.admitted(data_centre);
    }

    /// Notes how much it got since.
    pub(super) fn check_out(&mut self, fleet: &DemoFleet, data_centre: usize) {
        self.late_admissions = fleet.admitted(data_centre) - self.admitted_when_out;
    }

    /// Adds everything to the account.
    pub(super) async fn finish(self, fleet: &DemoFleet, account: &mut DemoAccount) {
        account.violation("new work for a data centre that is out", self.late_admissions);
        for fault in self.faults {
            account.violation(fault, 1);
        }
        audit_engines(fleet, account);
        audit_calls(fleet, account);
        audit_metrics(fleet, account).await;
    }
}

fn audit_engines(fleet: &DemoFleet, account: &mut DemoAccount) {
    for engine in fleet.engines.iter().flatten() {
        let counters = engine.counters();
        account.violation("admissions above what a cold engine bears", counters.cold_overloads);
        account.prefill += counters.prefill_computed;
        account.wasted_prefill += counters.prefill_unused + counters.prefill_repeated;
    }
}

fn audit_calls(fleet: &DemoFleet, account: &mut DemoAccount) {
    let mut runs: IndexMap<String, u32> = IndexMap::new();
    for service in &fleet.services {
        for (call_id, count) in service.counters().runs {
            *runs.entry(call_id).or_default() += count;
        }
    }
    for (call_id, count) in runs.iter().filter(|(_, count)| **count > 1) {
        let detail = format!("ran {count} times");
        account.violation_of("dispatches that ran twice", call_id, &detail);
    }
    for (call_id, detail) in std::mem::take(&mut account.refused_calls) {
        if runs.contains_key(&call_id) {
            account.violation_of("dispatches that ran after \"not run\"", &call_id, &detail);
        }
    }
    for (call_id, detail) in std::mem::take(&mut account.done_calls) {
        if !runs.contains_key(&call_id) {
            account.violation_of("answered dispatches that did not run", &call_id, &detail);
        }
    }
}

/// Adds the violations that the VMs counted themselves. The VMs of the demo share one process and with it
/// some counters, hence the highest value of each and not the sum.
async fn audit_metrics(fleet: &DemoFleet, account: &mut DemoAccount) {
    let mut violations: IndexMap<String, u64> = IndexMap::new();
    for address in fleet.admin_addresses() {
        match AdminClient::new(address).call(Method::GET, "/admin/metrics").await {
            Ok(text) => read_violations(&text, &mut violations),
            Err(_) => account.violation("a VM that gives no metrics", 1),
        }
    }
    for (invariant, count) in violations {
        account.violation(format!("invariant {invariant}"), count);
    }
}

fn read_violations(text: &str, violations: &mut IndexMap<String, u64>) {
    for line in text.lines() {
        let Some(rest) = line.strip_prefix(VIOLATION_METRIC) else { continue };
        let Some((invariant, value)) = rest.split_once("\"}") else { continue };
        let value = value.trim().parse::<u64>().unwrap_or(u64::MAX);
        let highest = violations.entry(invariant.to_owned()).or_default();
        *highest = value.max(*highest);
    }
}
