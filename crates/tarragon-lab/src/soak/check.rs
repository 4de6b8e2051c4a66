//! The observer: checks over a whole run, kept outside the nodes and fed with what the fakes see.

use std::{collections::BTreeMap, fmt, time::Duration};

use indexmap::{IndexMap, IndexSet};
use tarragon_protocol::prelude::*;

mod process;

use process::{ProcessView, ShedRun};

/// Time in which a process must act on a data centre or target that it knows to be out (1.1, 4 and 8).
pub(crate) const ACT_TIME: Duration = Duration::from_secs(3);
/// Time in which an accepted configuration must be in force everywhere (1.1, 10).
pub(crate) const FORCE_TIME: Duration = Duration::from_secs(14);
/// Time after which no lower tier may start while a higher one is being shed (design 5.2).
const SHED_TIME: Duration = Duration::from_secs(2);
/// Longest gap between two refusals that count as one time of shedding.
const SHED_GAP: Duration = Duration::from_millis(500);
/// Age at which a target's last report no longer counts (design 5.3).
const REPORT_LIFETIME: Duration = Duration::from_secs(10);
/// Time after its deadline by which a request must have an answer.
const ANSWER_SLACK: Duration = Duration::from_secs(2);

/// Names of the checks; each stands for a line of section 1.1 of the design.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CheckName {
    /// A non-idempotent request was dispatched twice.
    DispatchOnce,
    /// A lower tier was started while a higher one was being shed.
    TierOrder,
    /// A cold target got more work than it bears.
    ColdLoad,
    /// A data centre that is out got new work.
    OutDataCentre,
    /// A caller got an incomplete or foreign answer.
    WholeAnswer,
    /// A request that was reported as not run did run.
    TrueNotRun,
    /// A non-idempotent request ran twice.
    RunOnce,
    /// A leaving target got new work.
    LeavingTarget,
    /// A graceful shutdown interrupted a request.
    GracefulShutdown,
    /// A configuration was late in force.
    ConfigurationInForce,
    /// A configuration was replaced by an older one.
    ConfigurationReverted,
    /// A request got no answer.
    Answered,
    /// A request that crashes targets took down more of them than the design allows.
    CrashBound,
    /// A node found a broken invariant of its own, or panicked.
    NodeInvariant,
}

/// A broken rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Check that found it.
    pub check: CheckName,
    /// What happened.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}", self.check, self.detail)
    }
}

/// What one sending asks for. Sendings under one ticket share it; all others have their own.
pub(crate) type AskId = usize;

/// What is known of one ask.
#[derive(Debug, Clone, Default)]
struct AskView {
    ticketed: bool,
    call: usize,
    dispatches: u32,
    runs: u32,
    told_not_run: bool,
}

/// Where and when a call arrived at a target.
#[derive(Debug, Clone)]
pub(crate) struct ArrivalFacts {
    /// Index of the VM that sent it.
    pub(crate) vm: usize,
    /// Data centre of the VM.
    pub(crate) data_centre: usize,
    /// Data centre of the target.
    pub(crate) target_data_centre: usize,
    /// Target.
    pub(crate) target: TargetName,
    /// Present state of the target.
    pub(crate) state: TargetState,
    /// When the state began.
    pub(crate) state_since: Duration,
    /// Calls that run there, this one included.
    pub(crate) running: u32,
    /// What the target bears.
    pub(crate) bears: u32,
    /// When the process made its last check before the write.
    pub(crate) decided: Duration,
}

/// Watches a run.
#[derive(Default)]
pub(crate) struct Observer {
    violations: Vec<Violation>,
    asks: Vec<AskView>,
    runs_by_call: IndexMap<usize, u32>,
    processes: Vec<ProcessView>,
    sheds: BTreeMap<(usize, Tier), ShedRun>,
    out_since: IndexMap<usize, Duration>,
    heard_leaving: IndexMap<(usize, TargetName), Duration>,
    open: IndexMap<u64, (usize, Duration)>,
    crash_counts: IndexMap<Fingerprint, u32>,
    drained: IndexSet<usize>,
    /// How often each check was applied to a case that it judges.
    pub(crate) judged: BTreeMap<CheckName, u64>,
}

impl Observer {
    /// An observer of this many VMs, each with its data centre.
    pub(crate) fn new(data_centres: &[usize]) -> Observer {
        let processes = data_centres.iter().map(|home| ProcessView::new(*home)).collect();
        Observer { processes, ..Observer::default() }
    }

    /// Whether a violation was found.
    pub(crate) fn has_violation(&self) -> bool {
        !self.violations.is_empty()
    }

    /// Takes the violations found since the last call.
    pub(crate) fn take_violations(&mut self) -> Vec<Violation> {
        std::mem::take(&mut self.violations)
    }

    /// Times that a call was executed.
    pub(crate) fn runs_of(&self, call: usize) -> u32 {
        self.asks.iter().filter(|ask| ask.call == call).map(|ask| ask.runs).sum()
    }

    /// Version in force at the process on a VM.
    pub(crate) fn version_of(&self, vm: usize) -> ConfigurationVersion {
        self.processes[vm].version
    }

    /// Reports a violation.
    pub(crate) fn violate(&mut self, check: CheckName, detail: String) {
        self.violations.push(Violation { check, detail });
    }

    fn judge(&mut self, check: CheckName, holds: bool, detail: impl FnOnce() -> String) {
        *self.judged.entry(check).or_default() += 1;
        if !holds {
            self.violate(check, detail());
        }
    }

    /// A caller asks for a call, with a ticket or without.
    pub(crate) fn ask(&mut self, call: usize, ticketed: bool) -> AskId {
        self.asks.push(AskView { ticketed, call, ..AskView::default() });
        self.asks.len() - 1
    }

    /// A process wrote the first byte of a call to a target.
    pub(crate) fn dispatched(&mut self, ask: AskId) {
        let view = &mut self.asks[ask];
        view.dispatches += 1;
        if view.ticketed {
            let (count, call) = (view.dispatches, view.call);
            self.judge(CheckName::DispatchOnce, count <= 1, || {
                format!("call {call} was dispatched {count} times under one ticket")
            });
        }
    }

    /// A target started to execute a call.
    pub(crate) fn ran(&mut self, ask: AskId) {
        let view = &mut self.asks[ask];
        view.runs += 1;
        let (call, told, ticketed) = (view.call, view.told_not_run, view.ticketed);
        self.judge(CheckName::TrueNotRun, !told, || {
            format!("call {call} ran after its caller was told that it had not run")
        });
        if ticketed {
            let runs = self.runs_by_call.entry(call).or_default();
            *runs += 1;
            let runs = *runs;
            self.judge(CheckName::RunOnce, runs <= 1, || format!("call {call} ran {runs} times"));
        }
    }

    /// A caller was told that its request did not run.
    pub(crate) fn told_not_run(&mut self, ask: AskId) {
        let view = &mut self.asks[ask];
        view.told_not_run = true;
        let (call, runs) = (view.call, view.runs);
        self.judge(CheckName::TrueNotRun, runs == 0, || {
            format!("call {call} was reported as not run, but it ran {runs} times")
        });
    }

    /// A caller got an answer that claims to be whole.
    pub(crate) fn answered_whole(&mut self, call: usize, fault: Option<String>) {
        self.judge(CheckName::WholeAnswer, fault.is_none(), || {
            format!("call {call}: {}", fault.unwrap_or_default())
        });
    }

    /// A call arrived at a target.
    pub(crate) fn arrived(&mut self, now: Duration, facts: &ArrivalFacts) {
        self.check_cold(now, facts);
        self.check_leaving(facts);
        self.check_out(facts);
    }

    fn check_cold(&mut self, now: Duration, facts: &ArrivalFacts) {
        if facts.state != TargetState::Cold {
            return;
        }
        // A new cold spell is known after a poll, its lag and one announcement. While a VM of the data
        // centre is impaired, its polls may be missing until the last report is too old to count.
        let impaired = self.processes.iter().any(|process| {
            process.home == facts.data_centre && process.impaired_after(now, FORCE_TIME)
        });
        let known_after = if impaired { REPORT_LIFETIME + ACT_TIME } else { ACT_TIME };
        if facts.decided < facts.state_since + known_after {
            return;
        }
        self.judge(CheckName::ColdLoad, facts.running <= facts.bears, || {
            format!(
                "{} is cold since {:?} and bears {}, but runs {} (sent by VM {})",
                facts.target, facts.state_since, facts.bears, facts.running, facts.vm
            )
        });
    }

    fn check_leaving(&mut self, facts: &ArrivalFacts) {
        let key = (facts.vm, facts.target.clone());
        let Some(heard) = self.heard_leaving.get(&key).copied() else { return };
        if facts.state != TargetState::Leaving {
            return;
        }
        self.judge(CheckName::LeavingTarget, facts.decided <= heard + ACT_TIME, || {
            format!("VM {} sent work to {}, known to leave since {heard:?}", facts.vm, facts.target)
        });
    }

    fn check_out(&mut self, facts: &ArrivalFacts) {
        let place = facts.target_data_centre;
        let process = &self.processes[facts.vm];
        let applied = process.applied_out.get(&place).copied();
        let published = self.out_since.get(&place).copied();
        let clear_since = process.clear_since;
        if let Some(applied) = applied {
            self.judge(CheckName::OutDataCentre, facts.decided <= applied + ACT_TIME, || {
                format!(
                    "VM {} sent work to {} in data centre {place}, known to be out since {applied:?}",
                    facts.vm, facts.target
                )
            });
        }
        if let Some(published) = published {
            let known = published.max(clear_since) + FORCE_TIME;
            self.judge(CheckName::OutDataCentre, facts.decided <= known, || {
                format!(
                    "VM {} sent work to {} in data centre {place}, published as out at {published:?}",
                    facts.vm, facts.target
                )
            });
        }
    }

    /// A process was told by a target's report that the target is leaving, or that it is not.
    pub(crate) fn report_heard(
        &mut self,
        now: Duration,
        vm: usize,
        target: &TargetName,
        state: TargetState,
    ) {
        let key = (vm, target.clone());
        if state == TargetState::Leaving {
            self.heard_leaving.entry(key).or_insert(now);
        } else {
            self.heard_leaving.shift_remove(&key);
        }
    }

    /// A process refused a request for overload.
    pub(crate) fn shed(&mut self, now: Duration, vm: usize, tier: Tier) {
        let process = &self.processes[vm];
        if process.impaired_after(now, ACT_TIME) {
            return;
        }
        let run = self.sheds.entry((process.home, tier)).or_insert(ShedRun::starting(now));
        run.extend(now, SHED_GAP);
    }

    /// A process starts a request.
    pub(crate) fn begun(&mut self, now: Duration, vm: usize, tier: Tier) {
        let process = &self.processes[vm];
        if process.impaired_after(now, ACT_TIME) {
            return;
        }
        let home = process.home;
        let higher = Tier::DESCENDING.into_iter().filter(|other| *other > tier);
        let shed = higher
            .filter_map(|other| Some((other, self.sheds.get(&(home, other))?)))
            .find(|(_, run)| run.lasts(now, SHED_TIME, SHED_GAP))
            .map(|(other, run)| (other, run.began));
        self.judge(CheckName::TierOrder, shed.is_none(), || {
            format!("VM {vm} began {tier} work while its data centre shed {shed:?}")
        });
    }

    /// A data centre was published as out or in.
    pub(crate) fn published(&mut self, now: Duration, out: &[usize]) {
        self.out_since.retain(|place, _| out.contains(place));
        for place in out {
            self.out_since.entry(*place).or_insert(now);
        }
    }

    /// A process put a configuration in force.
    pub(crate) fn applied(
        &mut self,
        now: Duration,
        vm: usize,
        version: ConfigurationVersion,
        out: &[usize],
    ) {
        let process = &mut self.processes[vm];
        let before = process.version;
        process.version = version;
        process.applied_out.retain(|place, _| out.contains(place));
        for place in out {
            process.applied_out.entry(*place).or_insert(now);
        }
        self.judge(CheckName::ConfigurationReverted, version > before, || {
            format!("VM {vm} put version {version} in force after version {before}")
        });
    }

    /// A new process runs on a VM.
    pub(crate) fn process_started(&mut self, now: Duration, vm: usize) {
        let home = self.processes[vm].home;
        self.processes[vm] =
            ProcessView { clear_since: now, running: true, ..ProcessView::new(home) };
        self.heard_leaving.retain(|(other, _), _| *other != vm);
        self.drained.shift_remove(&vm);
    }

    /// The process on a VM ended.
    pub(crate) fn process_ended(&mut self, now: Duration, vm: usize) {
        self.processes[vm].running = false;
        self.processes[vm].impaired = Some(now);
        self.open.retain(|_, (other, _)| *other != vm);
    }

    /// Tells whether a VM is paused, cut off or without the platform at present.
    pub(crate) fn set_impaired(&mut self, now: Duration, vm: usize, impaired: bool) {
        let process = &mut self.processes[vm];
        if impaired {
            process.impaired = Some(now);
            process.clear_since = now;
        }
    }

    /// A request was handed to a process.
    pub(crate) fn opened(&mut self, sending: u64, vm: usize, deadline: Duration) {
        self.open.insert(sending, (vm, deadline));
    }

    /// A process is paused.
    pub(crate) fn paused(&mut self, vm: usize) {
        self.processes[vm].paused = true;
    }

    /// A process resumes after a pause. A request states its deadline as the time that is left, so that
    /// one that arrived during the pause is due later by as much.
    pub(crate) fn resumed(&mut self, vm: usize, pause: Duration) {
        self.processes[vm].paused = false;
        for (_, deadline) in self.open.values_mut().filter(|(other, _)| *other == vm) {
            *deadline += pause;
        }
    }

    /// A request got its answer or its caller has gone.
    pub(crate) fn closed(&mut self, sending: u64) {
        let answered = self.open.swap_remove(&sending).is_some();
        *self.judged.entry(CheckName::Answered).or_default() += u64::from(answered);
    }

    /// Requests of a process that exits after a graceful shutdown.
    pub(crate) fn drained(&mut self, vm: usize, interrupted: &[usize]) {
        self.judge(CheckName::GracefulShutdown, interrupted.is_empty(), || {
            format!("the shutdown of VM {vm} interrupted the calls {interrupted:?}")
        });
    }

    /// A request brought a target down.
    pub(crate) fn crashed(&mut self, fingerprint: Fingerprint, allowed: u32) {
        let count = self.crash_counts.entry(fingerprint).or_default();
        *count += 1;
        let count = *count;
        self.judge(CheckName::CrashBound, count <= allowed, || {
            format!("request {fingerprint:x} brought {count} targets down; allowed are {allowed}")
        });
    }

    /// Checks that depend on time alone. `in_force` is the newest valid version that is old enough.
    pub(crate) fn periodic(&mut self, now: Duration, in_force: ConfigurationVersion) {
        self.check_force(now, in_force);
        self.check_answers(now);
    }

    fn check_force(&mut self, now: Duration, in_force: ConfigurationVersion) {
        for vm in 0..self.processes.len() {
            let process = &self.processes[vm];
            if !process.running || process.clear_since + FORCE_TIME > now {
                continue;
            }
            let version = process.version;
            self.judge(CheckName::ConfigurationInForce, version >= in_force, || {
                format!(
                    "VM {vm} has version {version} in force {FORCE_TIME:?} after version {in_force}"
                )
            });
        }
    }

    fn check_answers(&mut self, now: Duration) {
        let late: Vec<(u64, usize)> = self
            .open
            .iter()
            .filter(|(_, (vm, deadline))| {
                !self.processes[*vm].paused && *deadline + ANSWER_SLACK < now
            })
            .map(|(sending, (vm, _))| (*sending, *vm))
            .collect();
        for (sending, vm) in late {
            self.open.swap_remove(&sending);
            self.judge(CheckName::Answered, false, || {
                format!(
                    "sending {sending} to VM {vm} has no answer {ANSWER_SLACK:?} after its deadline"
                )
            });
        }
    }
}
