//! Placement of models on targets, and the orders that bring the targets into that state.
//!
//! Both are pure functions of the rules and of published reports, so that every process with the same view
//! plans the same orders. Which process sends them, and with which fencing number, is decided elsewhere.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Serialize;
use tarragon_config::rules::{ModelRule, RuleSet};
use tarragon_protocol::{
    engine::{EngineRole, OrderChange},
    peer::PlannedOrder,
};

use crate::prelude::*;

/// Minimum time between two orders to one target. Loading a model takes about this long, so a target whose
/// last order is more recent counts as loading.
pub const ORDER_INTERVAL: Duration = Duration::from_secs(60);

/// How many targets of a data centre may load the same model at once: the weight store is rate-limited.
pub const DEFAULT_CONCURRENT_LOADS: usize = 1;

/// Published and reported state of one target.
#[derive(Debug, Clone)]
pub struct PlacementTarget {
    /// Name.
    pub target: TargetName,
    /// Service.
    pub service: ServiceName,
    /// Whether it may get new work.
    pub in_service: bool,
    /// Last report. No orders are sent to a target that has not reported.
    pub report: Option<LoadReport>,
    /// Role of the last order, if one is known. Reports don't contain the role.
    pub role: Option<EngineRole>,
}

/// Desired state of one target.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct DesiredState {
    /// Models to hold, sorted by name.
    pub models: Vec<DesiredModel>,
    /// Role to take.
    pub role: EngineRole,
}

/// A model that a target should hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DesiredModel {
    /// Name.
    pub model: ModelName,
    /// Version of the weights.
    pub version: u32,
    /// Adapter to load on top of it.
    pub adapter: Option<String>,
}

impl DesiredModel {
    /// Whether an entry of a report's list of models is this model. An engine may report the version as
    /// `model@version`; if it doesn't, the version can't be compared.
    fn matches(&self, held: &str) -> bool {
        match held.split_once('@') {
            Some((model, version)) => model == &*self.model && version.parse() == Ok(self.version),
            None => held == &*self.model,
        }
    }
}

/// The desired state of every target that is in service.
pub fn desired_states(
    rules: &RuleSet,
    targets: &[PlacementTarget],
) -> IndexMap<TargetName, DesiredState> {
    let mut usable: Vec<&PlacementTarget> =
        targets.iter().filter(|target| target.in_service && !is_leaving(target)).collect();
    usable.sort_by(|left, right| left.target.cmp(&right.target));
    let mut states: IndexMap<TargetName, DesiredState> =
        usable.iter().map(|target| (target.target.clone(), DesiredState::default())).collect();
    let mut models: Vec<(&ModelName, &ModelRule)> = rules.models.iter().collect();
    models.sort_by_key(|(name, _)| *name);
    for (name, rule) in models {
        for target in replicas(name, rule, &usable) {
            let Some(state) = states.get_mut(&target.target) else { continue };
            // A target with several models takes the role of the first model whose rule names a special one.
            if state.role == EngineRole::Both {
                state.role = rule.role;
            }
            state.models.push(DesiredModel {
                model: name.clone(),
                version: rule.version,
                adapter: rule.adapter.clone(),
            });
        }
    }
    states
}

/// The orders that may be sent now: at most one per target, and such that at most `concurrent_loads` targets
/// load the same model. `targets` must contain all targets of one data centre.
pub fn plan_orders(
    rules: &RuleSet,
    targets: &[PlacementTarget],
    concurrent_loads: usize,
) -> Vec<PlannedOrder> {
    let states = desired_states(rules, targets);
    let mut budget = LoadBudget::new(concurrent_loads, targets, &states);
    let mut orders = Vec::new();
    for (name, state) in &states {
        let Some(target) = targets.iter().find(|target| target.target == *name) else { continue };
        let Some(report) = &target.report else { continue };
        if has_recent_order(report) {
            continue;
        }
        if let Some(change) = next_change(target, report, state, rules, &mut budget) {
            orders.push(PlannedOrder { target: name.clone(), change });
        }
    }
    orders
}

fn next_change(
    target: &PlacementTarget,
    report: &LoadReport,
    state: &DesiredState,
    rules: &RuleSet,
    budget: &mut LoadBudget,
) -> Option<OrderChange> {
    if target.role.is_some_and(|role| role != state.role) {
        return Some(OrderChange::Role { role: state.role });
    }
    let missing = missing_models(report, state);
    if let Some(desired) = missing.iter().find(|desired| budget.try_reserve(desired)) {
        return Some(OrderChange::Load {
            model: desired.model.clone(),
            version: desired.version,
            adapter: desired.adapter.clone(),
        });
    }
    if !missing.is_empty() {
        return None;
    }
    surplus_model(target, report, state, rules, budget).map(|model| OrderChange::Unload { model })
}

fn missing_models<'a>(report: &LoadReport, state: &'a DesiredState) -> Vec<&'a DesiredModel> {
    let held = |desired: &&DesiredModel| report.models.iter().any(|model| desired.matches(model));
    state.models.iter().filter(|desired| !held(desired)).collect()
}

/// A held model that the target should not hold. It is kept while any target that should hold it lacks it, so
/// that a move never leaves the service without the model.
fn surplus_model(
    target: &PlacementTarget,
    report: &LoadReport,
    state: &DesiredState,
    rules: &RuleSet,
    budget: &LoadBudget,
) -> Option<ModelName> {
    let name = |held: &str| ModelName::from(held.split('@').next().unwrap_or(held));
    let held = report.models.iter().map(|held| name(held));
    held.into_iter().find(|held| {
        let desired = state.models.iter().any(|desired| desired.model == *held);
        let rule = rules.models.get(held).filter(|rule| rule.service == target.service);
        !desired && (rule.is_none() || !budget.is_missing(held))
    })
}

/// The targets that should hold a model: those ranked highest by rendezvous hashing, so that adding or
/// removing a target moves few models.
fn replicas<'a>(
    name: &ModelName,
    rule: &ModelRule,
    usable: &[&'a PlacementTarget],
) -> Vec<&'a PlacementTarget> {
    let mut ranked: Vec<(u64, &PlacementTarget)> = usable
        .iter()
        .filter(|target| target.service == rule.service)
        .map(|target| (rank(name, &target.target), *target))
        .collect();
    ranked.sort_by(|left, right| (right.0, &left.1.target).cmp(&(left.0, &right.1.target)));
    let count = rule.replicas.map_or(ranked.len(), |replicas| replicas as usize);
    ranked.into_iter().take(count).map(|(_, target)| target).collect()
}

fn rank(model: &str, target: &str) -> u64 {
    let mut key = Vec::with_capacity(model.len() + target.len() + 1);
    key.extend_from_slice(model.as_bytes());
    key.push(0);
    key.extend_from_slice(target.as_bytes());
    xxhash_rust::xxh3::xxh3_64(&key)
}

fn is_leaving(target: &PlacementTarget) -> bool {
    target.report.as_ref().is_some_and(|report| report.state == TargetState::Leaving)
}

fn has_recent_order(report: &LoadReport) -> bool {
    report.last_order_age_ms.is_some_and(|age| u128::from(age) < ORDER_INTERVAL.as_millis())
}

/// Limits the concurrent loads of each model, and counts the targets that lack it.
struct LoadBudget {
    limit: usize,
    running: IndexMap<ModelName, usize>,
    missing: IndexMap<ModelName, usize>,
}

impl LoadBudget {
    /// A target with a recent order that lacks a model counts as loading it, whichever process sent the order.
    fn new(
        limit: usize,
        targets: &[PlacementTarget],
        states: &IndexMap<TargetName, DesiredState>,
    ) -> LoadBudget {
        let mut budget = LoadBudget { limit, running: IndexMap::new(), missing: IndexMap::new() };
        for target in targets {
            let Some(state) = states.get(&target.target) else { continue };
            let Some(report) = &target.report else {
                for desired in &state.models {
                    *budget.missing.entry(desired.model.clone()).or_default() += 1;
                }
                continue;
            };
            let missing = missing_models(report, state);
            for desired in &missing {
                *budget.missing.entry(desired.model.clone()).or_default() += 1;
            }
            if let Some(desired) = missing.first().filter(|_| has_recent_order(report)) {
                *budget.running.entry(desired.model.clone()).or_default() += 1;
            }
        }
        budget
    }

    fn try_reserve(&mut self, desired: &DesiredModel) -> bool {
        let running = self.running.entry(desired.model.clone()).or_default();
        let free = *running < self.limit;
        *running += usize::from(free);
        free
    }

    fn is_missing(&self, model: &ModelName) -> bool {
        self.missing.get(model).is_some_and(|count| *count > 0)
    }
}
