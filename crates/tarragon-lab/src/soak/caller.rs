//! What the callers of a run have asked for and what they were told.

use std::{collections::VecDeque, time::Duration};

use indexmap::IndexSet;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tarragon_protocol::prelude::*;

use super::{check::AskId, message::SendingId};
use crate::workload::{PlannedRequest, Workload};

/// Times that a caller sends a request at most, if nothing else is set.
const MAX_SENDINGS: u32 = 5;

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum CallEnd {
    /// The whole answer arrived in time.
    Done,
    /// The whole answer arrived after the deadline.
    Late,
    /// The caller gave up after a truthful "not run".
    NotRun,
    /// The caller gave up without knowing whether it ran.
    Unknown,
}

/// One logical call.
#[derive(Debug, Clone)]
pub(crate) struct CallerCall {
    /// What is sent.
    pub(crate) plan: PlannedRequest,
    /// Urgency.
    pub(crate) tier: Tier,
    /// Customer.
    pub(crate) workspace: WorkspaceName,
    /// Service.
    pub(crate) service: ServiceName,
    /// Path, for a call of the plain service.
    pub(crate) plain_path: Option<String>,
    /// Whether it must not run twice.
    pub(crate) ticketed: bool,
    /// Whether it crashes its target.
    pub(crate) poison: bool,
    /// After this time the caller has no use for the answer.
    pub(crate) deadline: Duration,
    /// Ticket, once one was taken.
    pub(crate) ticket: Option<(String, AskId)>,
    /// Times that it was sent.
    pub(crate) sendings: u32,
    /// VM of the last sending.
    pub(crate) last_vm: Option<usize>,
    /// What the last answer said.
    pub(crate) last: Option<CallOutcome>,
    /// The last answer in words.
    pub(crate) last_words: Option<String>,
    /// Whether the caller repeats the call by itself.
    pub(crate) patient: bool,
    /// How it ended.
    pub(crate) end: Option<CallEnd>,
}

/// One sending of a call to a VM.
#[derive(Debug, Clone)]
pub(crate) struct Sending {
    /// Call.
    pub(crate) call: usize,
    /// VM.
    pub(crate) vm: usize,
    /// What the sending asks for.
    pub(crate) ask: AskId,
    /// Ticket, if it has one.
    pub(crate) ticket: Option<String>,
    /// Time that the caller grants, as it says in the request.
    pub(crate) remaining: Duration,
    /// Whether the caller still waits for the answer.
    pub(crate) open: bool,
}

/// All callers.
pub(crate) struct CallerPool {
    /// Calls.
    pub(crate) calls: Vec<CallerCall>,
    /// Sendings.
    pub(crate) sendings: Vec<Sending>,
    /// Calls per second.
    pub(crate) rate: f64,
    /// Factor of a burst.
    pub(crate) burst: f64,
    /// Part of the answers that are lost on the way.
    pub(crate) lost_answers: f64,
    /// Calls that are still to be poisoned.
    pub(crate) poison_left: u32,
    /// Planned calls of an experiment; new calls are drawn if there is none.
    pub(crate) plan: VecDeque<PlannedRequest>,
    /// Whether calls come from the plan alone.
    pub(crate) planned_only: bool,
    /// Times that a caller sends a request at most.
    pub(crate) max_sendings: u32,
    open: IndexSet<SendingId>,
}

impl Default for CallerPool {
    fn default() -> CallerPool {
        CallerPool {
            calls: Vec::new(),
            sendings: Vec::new(),
            rate: 0.0,
            burst: 1.0,
            lost_answers: 0.0,
            poison_left: 0,
            plan: VecDeque::new(),
            planned_only: false,
            max_sendings: MAX_SENDINGS,
            open: IndexSet::new(),
        }
    }
}

impl CallerPool {
    /// Adds a call that starts now.
    pub(crate) fn add(
        &mut self,
        now: Duration,
        workload: &Workload,
        plan: PlannedRequest,
        poison: bool,
    ) -> usize {
        let class = &workload.classes[plan.class];
        let (service, plain_path, ticketed) = match &class.plain {
            Some(plain) => (&workload.plain.service, Some(plain.path.clone()), !plain.idempotent),
            None => (&workload.engines.service, None, false),
        };
        self.calls.push(CallerCall {
            tier: class.tier,
            workspace: workload.workspaces[plan.workspace].name.as_str().into(),
            service: service.as_str().into(),
            plain_path,
            ticketed,
            poison,
            deadline: now + Duration::from_millis(class.deadline_ms),
            ticket: None,
            sendings: 0,
            last_vm: None,
            last: None,
            last_words: None,
            patient: true,
            end: None,
            plan,
        });
        self.calls.len() - 1
    }

    /// Opens a sending.
    pub(crate) fn open(&mut self, sending: Sending) -> SendingId {
        self.sendings.push(sending);
        let id = self.sendings.len() - 1;
        self.open.insert(id);
        id
    }

    /// Closes a sending. Returns false if it was closed before.
    pub(crate) fn close(&mut self, sending: SendingId) -> bool {
        self.sendings[sending].open = false;
        self.open.shift_remove(&sending)
    }

    /// Sendings whose callers wait for an answer of this VM.
    pub(crate) fn open_at(&self, vm: usize) -> Vec<SendingId> {
        self.open.iter().copied().filter(|sending| self.sendings[*sending].vm == vm).collect()
    }

    /// Sendings of a call whose answers its caller waits for.
    pub(crate) fn open_of(&self, call: usize) -> Vec<SendingId> {
        self.open.iter().copied().filter(|sending| self.sendings[*sending].call == call).collect()
    }

    /// Time to the next new call.
    pub(crate) fn gap(&self, random: &mut ChaCha8Rng) -> Duration {
        let rate = (self.rate * self.burst.max(1.0)).max(0.01);
        Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / rate)
    }

    /// Calls by how they ended; `None` counts those without an end.
    pub(crate) fn count(&self, end: Option<CallEnd>) -> usize {
        self.calls.iter().filter(|call| call.end == end).count()
    }
}
