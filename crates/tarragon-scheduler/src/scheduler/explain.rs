//! Explains to which target a request would go now, and why.

use std::time::Instant;

use serde::Serialize;

use crate::{
    choose::{ChooseCandidate, ChooseView},
    cost,
    job::{Job, JobKeys},
    policy::PolicyChoice,
    prelude::*,
    scheduler::{
        Scheduler,
        candidate::{CandidateList, may_run_suspect},
    },
    suspect::Suspicion,
    targets::TargetRow,
};

/// What the scheduler would do with a request now.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ChoiceExplanation {
    /// Plug-in that chooses the target.
    pub choose: &'static str,
    /// Plug-in that admits the request.
    pub admission: &'static str,
    /// Expected tokens of the answer.
    pub output_tokens: u32,
    /// Highest shed floor in effect.
    pub floor: Tier,
    /// Waiting requests of the same tier and of higher ones.
    pub ahead: u32,
    /// Target that would be chosen, if one is open. A plug-in that draws at random may choose another one
    /// when the request arrives.
    pub chosen: Option<TargetName>,
    /// Why this target, or why none.
    pub reason: String,
    /// How it would be refused at once, if it would. Limits of the workspace and a full queue are left out.
    pub refusal: Option<RefusalExplanation>,
    /// All targets of the service.
    pub targets: Vec<TargetExplanation>,
}

/// A refusal that a request would get.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RefusalExplanation {
    /// Human-readable cause.
    pub message: String,
    /// Milliseconds after which a retry makes sense.
    pub retry_after_ms: Option<u64>,
}

impl From<Refusal> for RefusalExplanation {
    fn from(refusal: Refusal) -> RefusalExplanation {
        RefusalExplanation {
            message: refusal.message,
            retry_after_ms: refusal.retry_after.map(|delay| delay.as_millis() as u64),
        }
    }
}

/// How one target was rated for the request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TargetExplanation {
    /// Target.
    pub target: TargetName,
    /// Own requests in flight.
    pub in_flight: u32,
    /// Own requests that may be in flight now.
    pub window: u32,
    /// Expected seconds to the first token, for a candidate.
    pub first_token: Option<f32>,
    /// Expected seconds to the last token, for a candidate.
    pub last_token: Option<f32>,
    /// Prompt tokens expected in the cache, for a candidate.
    pub cached_tokens: Option<u32>,
    /// Score by which targets are compared; lower is better.
    pub score: Option<f32>,
    /// Why the target is no candidate.
    pub excluded: Option<&'static str>,
}

impl Scheduler {
    /// Explains to which target a request would go now, and why, without changing any state.
    pub fn explain(&self, profile: &RequestProfile, now: Instant) -> ChoiceExplanation {
        let pool = self.targets.find_pool(&profile.service);
        let policy = PolicyChoice::select(&self.rules, &profile.service);
        let mut job = self.trial_job(profile, pool.unwrap_or(usize::MAX));
        let refusal = self.check_arrival(profile, now).and_then(|()| {
            self.set_latest_start(&mut job, now);
            self.check_wait_by_tokens(&job, now)
        });
        let (_, suspicion) = self.suspects.check_request(profile, now);
        let suspect = suspicion == Suspicion::Suspect;
        let bounds = self.choice_bounds(suspect, now);
        let mut candidates = CandidateList::default();
        if pool.is_some() {
            candidates.collect(&self.targets, &job, bounds);
        }
        let chosen = self.choose_trial(&policy, &candidates, pool);
        let targets = self.explain_targets(&job, &candidates, suspect, now);
        let floor = self.pressure.floor(now);
        ChoiceExplanation {
            choose: policy.choose.name,
            admission: policy.admission.name,
            output_tokens: job.output,
            floor,
            ahead: self.ahead(profile.tier),
            reason: reason(profile, suspicion, floor, chosen, policy.choose.name),
            chosen: chosen.and_then(|chosen| Some(self.targets.row(chosen.target)?.name.clone())),
            refusal: refusal.err().map(RefusalExplanation::from),
            targets,
        }
    }

    fn trial_job(&self, profile: &RequestProfile, pool: usize) -> Job {
        let workspace_key = cost::workspace_key(&profile.workspace);
        let prediction = self.costs.predict(pool, workspace_key, profile);
        let models = self.targets.models.find(profile.model());
        // The job is in no queue and charged to no workspace.
        let (lane, workspace, sequence) = (0, usize::MAX, 0);
        let keys = JobKeys { pool, lane, models, workspace, workspace_key, sequence };
        Job::new(Box::new(profile.clone()), keys, prediction)
    }

    fn choose_trial(
        &self,
        policy: &PolicyChoice,
        candidates: &CandidateList,
        pool: Option<usize>,
    ) -> Option<ChooseCandidate> {
        let pool = pool?;
        if candidates.items.is_empty() {
            return None;
        }
        let mut rng = self.rng.clone();
        let last = self.targets.pool(pool).last;
        let view = ChooseView { candidates: &candidates.items, rng: &mut rng, last };
        candidates.items.get((policy.choose.choose)(view)).copied()
    }

    fn ahead(&self, tier: Tier) -> u32 {
        let waiting = self.waiting_by_tier();
        waiting[tier.index()..].iter().sum()
    }

    fn explain_targets(
        &self,
        job: &Job,
        candidates: &CandidateList,
        suspect: bool,
        now: Instant,
    ) -> Vec<TargetExplanation> {
        let members = self.targets.iter().filter(|(_, row)| row.service == job.pool);
        members
            .map(|(index, row)| {
                let found = candidates.items.iter().find(|candidate| candidate.target == index);
                let estimate = found.map(|candidate| candidate.estimate);
                TargetExplanation {
                    target: row.name.clone(),
                    in_flight: row.in_flight,
                    window: row.window.size(now),
                    first_token: estimate.map(|estimate| estimate.first_token),
                    last_token: estimate.map(|estimate| estimate.last_token),
                    cached_tokens: estimate.map(|estimate| estimate.cached),
                    score: estimate.map(|estimate| estimate.score),
                    excluded: match estimate {
                        Some(_) => None,
                        None => Some(exclusion(row, job, suspect, now)),
                    },
                }
            })
            .collect()
    }
}

fn exclusion(row: &TargetRow, job: &Job, suspect: bool, now: Instant) -> &'static str {
    if !row.accepts_work() {
        "not in service"
    } else if !row.holds(job.models) {
        "does not hold the model"
    } else if !row.suits_build(job.build) {
        "another build began the stream"
    } else if row.window.slots() == 0 {
        "this process has no slot there"
    } else if row.in_flight >= row.window.size(now) {
        "the window is full"
    } else if suspect && !may_run_suspect(row, job.tier()) {
        "a suspect must run alone among suspects and not beside higher tiers"
    } else {
        "it runs a suspect of a lower tier"
    }
}

fn reason(
    profile: &RequestProfile,
    suspicion: Suspicion,
    floor: Tier,
    chosen: Option<ChooseCandidate>,
    plugin: &str,
) -> String {
    if suspicion == Suspicion::Convicted {
        return "refused: targets crashed while they ran this request or a part of its prompt"
            .to_owned();
    }
    if suspicion == Suspicion::Held {
        return "held: targets may have crashed while they ran this request or a part of its prompt".to_owned();
    }
    if profile.tier < floor {
        return format!("shed: the floor is {floor}");
    }
    match chosen {
        Some(candidate) => format!(
            "{plugin}: first token expected in {:.3} s, last in {:.3} s, {} of {} slots in use",
            candidate.estimate.first_token,
            candidate.estimate.last_token,
            candidate.in_flight,
            candidate.window,
        ),
        None => "waits: no target of the service is open to it".to_owned(),
    }
}
