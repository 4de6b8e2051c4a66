//! Placement: every process plans the same orders, few loads run at once, and no model is missing while it
//! moves.

use super::*;
use tarragon_config::rules::{ModelRule, RuleOrigin, RuleSet};
use tarragon_protocol::{
    engine::{EngineRole, OrderChange},
    load::TargetState,
};
use tarragon_scheduler::placement::*;

fn rules(models: &[(&str, Option<u32>, u32)]) -> RuleSet {
    let mut rules = RuleSet::default();
    for (name, replicas, version) in models {
        let rule = ModelRule {
            service: "pool".into(),
            replicas: *replicas,
            adapter: None,
            version: *version,
            role: EngineRole::Both,
            origin: RuleOrigin::default(),
        };
        rules.models.insert((*name).into(), rule);
    }
    rules
}

fn target(name: &str, models: &[&str], order_age: Option<u64>) -> PlacementTarget {
    let report = LoadReport {
        restart_id: 1,
        state: TargetState::Warm,
        capacity: 4,
        running: 0,
        waiting: 0,
        free_cache_tokens: 0,
        models: models.iter().map(|model| (*model).into()).collect(),
        fencing: 0,
        last_order_age_ms: order_age,
        lag_ms: 0,
    };
    PlacementTarget {
        target: name.into(),
        service: "pool".into(),
        in_service: true,
        report: Some(report),
        role: None,
    }
}

struct PlanCase {
    name: &'static str,
    rules: &'static [(&'static str, Option<u32>, u32)],
    /// Name, models held and age of the last order of each target.
    targets: &'static [(&'static str, &'static [&'static str], Option<u64>)],
    /// Number of loads and unloads.
    orders: (usize, usize),
}

const PLANS: &[PlanCase] = &[
    PlanCase {
        name: "nothing to do",
        rules: &[("assess", None, 1)],
        targets: &[("t0", &["assess"], None), ("t1", &["assess"], None)],
        orders: (0, 0),
    },
    PlanCase {
        name: "one load at a time though three targets lack the model",
        rules: &[("assess", None, 1)],
        targets: &[("t0", &[], None), ("t1", &[], None), ("t2", &[], None)],
        orders: (1, 0),
    },
    PlanCase {
        name: "a load that another process ordered counts",
        rules: &[("assess", None, 1)],
        targets: &[("t0", &[], Some(5_000)), ("t1", &[], None)],
        orders: (0, 0),
    },
    PlanCase {
        name: "an old order does not block the next one",
        rules: &[("assess", None, 1)],
        targets: &[("t0", &[], Some(61_000)), ("t1", &["assess"], None)],
        orders: (1, 0),
    },
    PlanCase {
        name: "two models load at once",
        rules: &[("assess", None, 1), ("draft", None, 1)],
        targets: &[("t0", &["draft"], None), ("t1", &["assess"], None)],
        orders: (2, 0),
    },
    PlanCase {
        name: "a model without a rule goes",
        rules: &[("assess", None, 1)],
        targets: &[("t0", &["assess", "old"], None)],
        orders: (0, 1),
    },
    PlanCase {
        name: "a replica too many stays until the right one is there",
        rules: &[("assess", Some(1), 1)],
        targets: &[("t0", &["assess"], None), ("t1", &["assess"], None)],
        orders: (0, 1),
    },
    PlanCase {
        name: "another version is a difference if the engine tells versions",
        rules: &[("assess", None, 2)],
        targets: &[("t0", &["assess@1"], None), ("t1", &["assess@2"], None)],
        orders: (1, 0),
    },
];

/// Guards against an overloaded weight store, and against orders that change nothing.
#[test]
fn orders_follow_from_rules_and_reports() {
    for case in PLANS {
        let rules = rules(case.rules);
        let mut targets: Vec<_> =
            case.targets.iter().map(|(name, models, age)| target(name, models, *age)).collect();
        let orders = plan_orders(&rules, &targets, DEFAULT_CONCURRENT_LOADS);
        let loads =
            orders.iter().filter(|order| matches!(order.change, OrderChange::Load { .. })).count();
        assert_eq!((loads, orders.len() - loads), case.orders, "{}: {orders:?}", case.name);
        targets.reverse();
        let again = plan_orders(&rules, &targets, DEFAULT_CONCURRENT_LOADS);
        assert_eq!(again, orders, "{}: the order of the list must not matter", case.name);
    }
}

/// Guards against a time in which no target holds a model that is being moved.
#[test]
fn a_moved_model_is_unloaded_only_after_its_new_target_has_loaded_it() {
    let rules = rules(&[("assess", Some(1), 1)]);
    let targets = [target("t0", &[], None), target("t1", &[], None)];
    let states = desired_states(&rules, &targets);
    let assigned = states.iter().find(|(_, state)| !state.models.is_empty()).unwrap().0.clone();
    let other = if &*assigned == "t0" { "t1" } else { "t0" };
    let moving = [target(&assigned, &[], Some(1_000)), target(other, &["assess"], None)];
    assert!(plan_orders(&rules, &moving, DEFAULT_CONCURRENT_LOADS).is_empty());
    let moved = [target(&assigned, &["assess"], Some(9_000)), target(other, &["assess"], None)];
    let orders = plan_orders(&rules, &moved, DEFAULT_CONCURRENT_LOADS);
    assert_eq!(orders.len(), 1);
    assert_eq!(&*orders[0].target, other);
}

/// Guards against replicas that are planned on a target out of service.
#[test]
fn targets_out_of_service_hold_no_replica() {
    let rules = rules(&[("assess", Some(1), 1)]);
    let mut targets = [target("t0", &["assess"], None), target("t1", &["assess"], None)];
    let assigned = desired_states(&rules, &targets)
        .into_iter()
        .find(|(_, state)| !state.models.is_empty())
        .unwrap()
        .0;
    let leaving = targets.iter_mut().find(|target| target.target == assigned).unwrap();
    leaving.in_service = false;
    let states = desired_states(&rules, &targets);
    assert_eq!(states.len(), 1);
    assert_eq!(states[0].models.len(), 1);
}
