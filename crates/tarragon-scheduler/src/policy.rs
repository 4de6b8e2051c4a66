//! Plug-ins selected by the `policy` rules.

use tarragon_config::rules::{PolicyRule, RuleSet};

use crate::{
    admission::{self, AdmissionEntry, tiered::TieredAdmission},
    choose::{self, ChooseEntry, least_cost::LeastCost},
};

/// Name of the policy rule for services without their own.
const DEFAULT_POLICY: &str = "default";

/// The plug-ins in use for one service.
#[derive(Clone, Copy)]
pub struct PolicyChoice {
    /// Chooses targets.
    pub choose: ChooseEntry,
    /// Decides on new requests.
    pub admission: AdmissionEntry,
}

impl Default for PolicyChoice {
    fn default() -> PolicyChoice {
        PolicyChoice {
            choose: ChooseEntry::of::<LeastCost>(),
            admission: AdmissionEntry::of::<TieredAdmission>(),
        }
    }
}

impl PolicyChoice {
    /// Selects the plug-ins for a service. Each of the two comes from the service's own rule, else from the
    /// default rule, else it is the built-in default; unknown names are ignored.
    pub fn select(rules: &RuleSet, service: &str) -> PolicyChoice {
        let mut choice = PolicyChoice::default();
        for name in [DEFAULT_POLICY, service] {
            let Some(rule) = rules.policies.get(name) else { continue };
            if let Some(entry) = rule.choose.as_deref().and_then(choose::find_choose) {
                choice.choose = entry;
            }
            if let Some(entry) = rule.admission.as_deref().and_then(admission::find_admission) {
                choice.admission = entry;
            }
        }
        choice
    }
}

/// A policy rule that names a plug-in that does not exist.
#[derive(Debug, Clone, PartialEq)]
pub struct UnknownPlugin {
    /// Name of the policy rule.
    pub policy: String,
    /// Key of the rule, `choose` or `admission`.
    pub key: &'static str,
    /// The unknown name.
    pub name: String,
    /// Names that exist.
    pub known: Vec<&'static str>,
}

/// All policy rules that name a plug-in that does not exist, for the check of a configuration.
pub fn unknown_plugins(rules: &RuleSet) -> Vec<UnknownPlugin> {
    rules.policies.iter().flat_map(|(policy, rule)| unknown_in_rule(policy, rule)).collect()
}

fn unknown_in_rule(policy: &str, rule: &PolicyRule) -> Vec<UnknownPlugin> {
    let named = [
        ("choose", &rule.choose, choose::choose_names()),
        ("admission", &rule.admission, admission::admission_names()),
    ];
    named
        .into_iter()
        .filter_map(|(key, name, known)| {
            let name = name.clone()?;
            let missing = !known.contains(&name.as_str());
            missing.then(|| UnknownPlugin { policy: policy.to_owned(), key, name, known })
        })
        .collect()
}
