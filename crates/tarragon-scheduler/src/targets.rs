//! The target table: the state of each target, and which targets are open.

pub mod estimate;
pub mod holder;
pub mod memory;
pub mod models;
pub mod pace;
pub mod prefix;
pub mod rate;
pub mod starts;
pub mod trust;
pub mod window;

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use tarragon_protocol::engine::{CacheChange, CacheEvent};

use crate::{
    job::Job,
    prelude::*,
    suspect::BrokenAttempt,
    targets::{
        estimate::TargetSummary,
        memory::{CacheMemory, GENERATIONS},
        models::{ModelBits, OTHER_MODEL},
        pace::TargetPace,
        prefix::PrefixIndex,
        rate::RateEstimate,
        starts::{StartForecast, StartLimit},
        trust::CacheTrust,
        window::TargetWindow,
    },
};

/// Weight of a new interval in the moving average of processed tokens a second.
const THROUGHPUT_GAIN: f64 = 0.2;

/// A target's list of models is used for this long. Only the processes that poll a target see the list, each
/// second; another process may have become the poller since.
const MODELS_LIFETIME: Duration = Duration::from_secs(30);

/// Weight of a new interval in the moving average of arriving tokens a second. It averages over about ten
/// seconds, so that short bursts of a higher tier have little effect.
const ARRIVAL_GAIN: f64 = 0.05;

/// Time for which requests wait for a target that is briefly out of service, as in a back-off, if only its build
/// may continue their streams.
const BUILD_RETURN_TIME: Duration = Duration::from_secs(2);

/// Minimum fraction of the throughput that is assumed for a tier, even if work of higher tiers arrives faster
/// than it is processed.
const MIN_RATE_FRACTION: f64 = 0.05;

/// The last report of a target.
#[derive(Debug, Clone)]
pub struct ReportView {
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Own requests that these counts may include.
    pub own: u32,
    /// When the load was measured.
    pub taken: Instant,
}

/// A target's process that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedProcess {
    /// Restart id.
    pub restart: RestartId,
    /// Whether it had announced that it would stop.
    pub planned: bool,
}

/// One target.
#[derive(Debug)]
pub struct TargetRow {
    /// Name.
    pub name: TargetName,
    /// Index of its service's pool.
    pub service: usize,
    /// Whether it may get new work.
    pub in_service: bool,
    /// Whether it has announced that it is about to stop.
    pub leaving: bool,
    /// Since when it accepts no new work.
    pub closed_since: Option<Instant>,
    /// Whether it is still published. A removed target stays until its last attempt has ended.
    pub listed: bool,
    /// Concurrent requests that it can serve from all processes together.
    pub capacity: u32,
    /// Own requests in flight.
    pub in_flight: u32,
    /// Own requests in flight by tier.
    pub by_tier: [u32; Tier::COUNT],
    /// Own crash suspects in flight, by tier.
    pub suspects: [u32; Tier::COUNT],
    /// Uncached prompt tokens of own requests that have no first token yet.
    pub pending_prefill: u64,
    /// Learned speed.
    pub rates: RateEstimate,
    /// How long work takes now, compared with the learned speed.
    pub pace: TargetPace,
    /// Whether it is in another data centre.
    pub remote: bool,
    /// Build of its software, if it is published.
    pub build: Option<BuildKey>,
    /// Limit on the requests started per second.
    pub starts: StartLimit,
    /// Window.
    pub window: TargetWindow,
    /// Restart id of its process, as it was last listed or reported.
    pub restart: Option<RestartId>,
    /// The previous process, or the last one if its published entry has expired.
    pub ended: Option<EndedProcess>,
    /// Last report.
    pub report: Option<ReportView>,
    /// Models held; empty if unknown.
    pub models: Vec<ModelName>,
    /// When the target last reported its models.
    models_reported_at: Option<Instant>,
    /// Models that it should hold by the rules, as a bit mask.
    assumed_set: u64,
    /// Models held or, if they are unknown, assumed, as a bit mask.
    pub model_set: u64,
    /// Confidence in the prefix index.
    pub trust: CacheTrust,
    /// Memory of its cache.
    pub memory: CacheMemory,
    /// Attempts whose connection broke here recently.
    pub broken: Vec<BrokenAttempt>,
}

impl TargetRow {
    fn new(entry: &TargetEntry, service: usize, rates: RateEstimate, now: Instant) -> TargetRow {
        TargetRow {
            name: entry.target.clone(),
            service,
            in_service: entry.in_service,
            leaving: false,
            closed_since: None,
            listed: true,
            capacity: 1,
            in_flight: 0,
            by_tier: [0; Tier::COUNT],
            suspects: [0; Tier::COUNT],
            pending_prefill: 0,
            rates,
            pace: TargetPace::default(),
            remote: entry.remote,
            build: entry.build,
            starts: StartLimit::default(),
            window: TargetWindow::new(now),
            restart: None,
            ended: None,
            report: None,
            models: Vec::new(),
            models_reported_at: None,
            assumed_set: u64::MAX,
            model_set: u64::MAX,
            trust: CacheTrust::default(),
            memory: CacheMemory::default(),
            broken: Vec::new(),
        }
    }

    /// Whether the target may get new work, apart from its window and limits.
    pub fn accepts_work(&self) -> bool {
        self.listed && self.in_service && !self.leaving
    }

    /// Whether this process may send requests here at some time: it has slots, and part of the starts if those
    /// are limited.
    pub fn is_usable(&self) -> bool {
        self.accepts_work() && self.window.slots() > 0 && !self.starts.is_barred()
    }

    /// Whether load measured at `taken` is no older than the last report.
    fn is_current(&self, taken: Instant) -> bool {
        self.report.as_ref().is_none_or(|known| known.taken <= taken)
    }

    fn set_report(&mut self, running: u32, waiting: u32, own: u32, taken: Instant) {
        self.report = Some(ReportView { running, waiting, own, taken });
        self.window.clear_suspicion(taken);
    }

    fn forget_models(&mut self) {
        self.models.clear();
        self.models_reported_at = None;
        self.model_set = self.assumed_set;
    }

    /// Whether the target holds one of the models, or may hold it as far as is known.
    pub fn holds(&self, models: u64) -> bool {
        self.model_set & models != 0
    }

    /// Whether a stream that a build began may go on here.
    pub fn suits_build(&self, build: Option<BuildKey>) -> bool {
        build.is_none() || self.build == build
    }

    /// Highest tier of own requests in flight.
    pub fn highest_tier(&self) -> Option<Tier> {
        Tier::DESCENDING.into_iter().find(|tier| self.by_tier[tier.index()] > 0)
    }

    /// Sets the restart id of the current process. If the process has changed, resets what was known of the
    /// old one and returns it.
    fn update_restart(&mut self, restart: RestartId, now: Instant) -> Option<EndedProcess> {
        let before = self.restart.replace(restart).filter(|before| *before != restart)?;
        let ended = EndedProcess { restart: before, planned: self.leaving };
        self.ended = Some(ended);
        self.trust.restart();
        self.memory.restart();
        self.pace.discard(now);
        self.forget_models();
        self.window.mark_suspicious(now);
        Some(ended)
    }
}

/// The targets of one service.
#[derive(Debug, Default)]
pub struct ServicePool {
    /// Positions in the table, ascending.
    pub members: Vec<usize>,
    /// Number of open members, as of their last refresh.
    pub open: u32,
    /// Sums of the own requests in flight and of the windows of all members.
    used: u64,
    windows: u64,
    /// Tokens that the memory of each member holds; 0 if unknown.
    cache_tokens: u64,
    /// Position of the target that was chosen last.
    pub last: usize,
    /// Lowest expected times of the members with enough samples.
    pub fastest: Option<RateEstimate>,
    /// Since when no member accepts work.
    pub empty_since: Option<Instant>,
    /// When the first member accepts requests again, if all of them have paused.
    pub paused_until: Option<Instant>,
    /// When starts will be permitted, if all members need permits or none has a slot for this process.
    pub forecast: Option<StartForecast>,
    /// Tokens processed in the current interval.
    processed: u64,
    /// Tokens of admitted requests in the current interval, by tier.
    arrived: [u64; Tier::COUNT],
    /// Mean tokens of admitted requests a second, by tier.
    arrival_mean: [f64; Tier::COUNT],
    /// Mean tokens a second while requests waited.
    throughput_mean: f64,
    /// Tokens a second in the last interval in which requests waited.
    throughput_last: f64,
    /// Whether requests waited at the end of the last interval.
    waited: bool,
}

impl ServicePool {
    /// Fraction of all windows that is in use.
    pub fn used_share(&self) -> f32 {
        self.used as f32 / self.windows.max(1) as f32
    }

    /// Sum of the windows of all members.
    pub fn window_sum(&self) -> u64 {
        self.windows
    }

    /// Replaces a member's contribution to the sums.
    fn update_sums(&mut self, old: &TargetSummary, new: &TargetSummary) {
        self.open = self.open + u32::from(new.is_open()) - u32::from(old.is_open());
        self.used = self.used + u64::from(new.in_flight) - u64::from(old.in_flight);
        self.windows = self.windows + u64::from(new.window) - u64::from(old.window);
    }

    /// Tokens a second that the pool processes when it is busy; 0 if unknown. This is the greater of mean and
    /// last value, since an underestimate would refuse requests that can be served.
    pub fn throughput(&self) -> f64 {
        self.throughput_mean.max(self.throughput_last)
    }

    /// Tokens a second that arriving work of higher tiers leaves for a tier; 0 if unknown.
    pub fn rate_for(&self, tier: Tier) -> f64 {
        let throughput = self.throughput();
        let higher: f64 = self.arrival_mean[tier.index() + 1..].iter().sum();
        (throughput - higher).max(throughput * MIN_RATE_FRACTION)
    }

    fn update_rates(&mut self, elapsed: Duration, busy: bool) {
        let seconds = elapsed.as_secs_f64().max(1e-3);
        for (mean, arrived) in self.arrival_mean.iter_mut().zip(&mut self.arrived) {
            *mean += ARRIVAL_GAIN * (std::mem::take(arrived) as f64 / seconds - *mean);
        }
        let rate = std::mem::take(&mut self.processed) as f64 / seconds;
        // If requests wait only at the end of the interval, they may just have arrived at an idle pool.
        let waited = std::mem::replace(&mut self.waited, busy);
        if !(waited && busy) {
            return;
        }
        let gain = if self.throughput_mean > 0.0 { THROUGHPUT_GAIN } else { 1.0 };
        self.throughput_mean += gain * (rate - self.throughput_mean);
        self.throughput_last = rate;
    }
}

/// All targets.
#[derive(Debug, Default)]
pub struct TargetTable {
    /// Rows; `None` is a free row for the next target.
    rows: Vec<Option<TargetRow>>,
    /// Compact data for choosing a target, by row.
    summaries: Vec<TargetSummary>,
    /// Models by bit.
    pub models: ModelBits,
    names: IndexMap<TargetName, usize>,
    pools: IndexMap<ServiceName, ServicePool>,
    /// Prefixes held by the targets.
    pub prefixes: PrefixIndex,
}

impl TargetTable {
    /// Row at a position.
    pub fn row(&self, index: usize) -> Option<&TargetRow> {
        self.rows.get(index)?.as_ref()
    }

    /// Row at a position. Call [`TargetTable::refresh`] after a change that may open or close it.
    pub fn row_mut(&mut self, index: usize) -> Option<&mut TargetRow> {
        self.rows.get_mut(index)?.as_mut()
    }

    /// Position of a target.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// Summary of the target at a position, as of the last change or tick.
    pub fn summary(&self, index: usize) -> &TargetSummary {
        &self.summaries[index]
    }

    /// All rows with their positions.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &TargetRow)> {
        self.rows.iter().enumerate().filter_map(|(index, row)| Some((index, row.as_ref()?)))
    }

    /// Number of positions, for tables indexed by position.
    pub fn capacity(&self) -> usize {
        self.rows.len()
    }

    /// Position of a service's pool; creates it if needed.
    pub fn pool_index(&mut self, service: &ServiceName) -> usize {
        match self.pools.get_index_of(service) {
            Some(index) => index,
            None => self.pools.insert_full(service.clone(), ServicePool::default()).0,
        }
    }

    /// Position of a service's pool, if there is one.
    pub fn find_pool(&self, service: &str) -> Option<usize> {
        self.pools.get_index_of(service)
    }

    /// Service of a pool.
    pub fn pool_name(&self, index: usize) -> &str {
        self.pools.get_index(index).map_or("", |(name, _)| name)
    }

    /// Pool at a position.
    pub fn pool(&self, index: usize) -> &ServicePool {
        &self.pools[index]
    }

    /// Bits of the models that can serve a job. A model that no target had reported when the job arrived may
    /// have a bit of its own by now.
    pub fn models_of(&self, job: &Job) -> u64 {
        if job.models == OTHER_MODEL { self.models.find(job.model()) } else { job.models }
    }

    /// Records the target chosen last for a pool.
    pub fn set_last(&mut self, pool: usize, target: usize) {
        self.pools[pool].last = target;
    }

    /// Adds or updates a target. Returns its position, and the previous process if a new one runs there now.
    pub fn upsert(&mut self, entry: &TargetEntry, now: Instant) -> (usize, Option<EndedProcess>) {
        let pool = self.pool_index(&entry.service);
        let index = match self.find(&entry.target) {
            Some(index) => index,
            None => self.add(entry, pool, now),
        };
        self.move_pool(index, pool);
        let cache_tokens = self.pools[pool].cache_tokens;
        if let Some(row) = self.row_mut(index) {
            row.memory.set_capacity(cache_tokens);
            row.in_service = entry.in_service;
            row.remote = entry.remote;
            row.build = entry.build;
            row.listed = true;
        }
        let ended = entry.process.and_then(|process| {
            let ended = self.update_restart(index, process.restart, now);
            if let Some(row) = self.row_mut(index) {
                row.leaving = process.leaving;
            }
            ended
        });
        self.refresh(index, now);
        (index, ended)
    }

    fn update_restart(
        &mut self,
        index: usize,
        restart: RestartId,
        now: Instant,
    ) -> Option<EndedProcess> {
        let row = self.rows.get_mut(index).and_then(Option::as_mut)?;
        let ended = row.update_restart(restart, now)?;
        self.prefixes.clear_target(index);
        Some(ended)
    }

    /// Marks a target as no longer published, and removes it if it has no attempts.
    pub fn mark_removed(&mut self, index: usize, now: Instant) {
        if let Some(row) = self.row_mut(index) {
            row.listed = false;
        }
        self.refresh(index, now);
        self.remove_if_unused(index);
    }

    /// Removes a target that is no longer published and has no attempts.
    pub fn remove_if_unused(&mut self, index: usize) {
        let Some(row) = self.row(index) else { return };
        if row.listed || row.in_flight > 0 {
            return;
        }
        let (name, pool) = (row.name.clone(), row.service);
        self.names.swap_remove(&name);
        self.pools[pool].members.retain(|member| *member != index);
        self.prefixes.clear_target(index);
        self.rows[index] = None;
        self.summaries[index] = TargetSummary::default();
    }

    /// Recomputes the summary of a target and its contribution to its pool after a change of its row.
    pub fn refresh(&mut self, index: usize, now: Instant) {
        let Some(row) = self.rows.get_mut(index).and_then(Option::as_mut) else { return };
        if row.accepts_work() {
            row.closed_since = None;
        } else {
            row.closed_since.get_or_insert(now);
        }
        let summary = TargetSummary::of(row, now);
        let pool = row.service;
        let old = std::mem::replace(&mut self.summaries[index], summary);
        self.pools[pool].update_sums(&old, &summary);
    }

    /// Recomputes the summaries of all targets after time has passed.
    pub fn refresh_all(&mut self, now: Instant) {
        for index in 0..self.rows.len() {
            self.age_prefixes(index, now);
            self.refresh(index, now);
        }
    }

    /// Evicts the prefixes that a target has probably evicted by now.
    fn age_prefixes(&mut self, index: usize, now: Instant) {
        let Some(row) = self.rows.get_mut(index).and_then(Option::as_mut) else { return };
        if !row.memory.is_known() {
            return;
        }
        let (foreign, _) = row.foreign(now);
        let running = f64::from(row.in_flight) + foreign;
        match row.memory.advance(foreign, running, now) {
            GENERATIONS => self.prefixes.clear_target(index),
            ended => (0..ended).for_each(|_| self.prefixes.age_target(index)),
        }
    }

    /// Sets the tokens that the memory of each target of a pool holds; 0 if unknown.
    pub fn set_cache_tokens(&mut self, pool: usize, tokens: u64, now: Instant) {
        self.pools[pool].cache_tokens = tokens;
        for index in self.pools[pool].members.clone() {
            if let Some(row) = self.row_mut(index) {
                row.memory.set_capacity(tokens);
            }
            self.refresh(index, now);
        }
    }

    /// Applies cache events of a target. Returns the number of gaps in their sequence numbers.
    pub fn apply_cache_events(&mut self, index: usize, events: &[CacheEvent], now: Instant) -> u64 {
        let mut gaps = 0;
        for event in events {
            let Some(row) = self.rows.get_mut(index).and_then(Option::as_mut) else { break };
            gaps += u64::from(row.trust.check_sequence(event.sequence, now));
            match event.change {
                CacheChange::Stored => {
                    row.memory.record_use();
                    self.prefixes.insert(index, &event.blocks);
                }
                CacheChange::Evicted => self.prefixes.remove(index, &event.blocks),
                CacheChange::Cleared => {
                    row.trust.reset();
                    self.prefixes.clear_target(index);
                }
            }
        }
        self.refresh(index, now);
        gaps
    }

    /// Applies a load report, given the number of own requests that it may include. Returns the previous
    /// process if a new one runs now.
    pub fn apply_report(
        &mut self,
        index: usize,
        report: &LoadReport,
        own: u32,
        age: Duration,
        now: Instant,
    ) -> Option<EndedProcess> {
        let taken = now.checked_sub(age)?;
        if !self.row(index)?.is_current(taken) {
            return None;
        }
        let ended = self.update_restart(index, report.restart_id, now);
        let row = self.rows.get_mut(index).and_then(Option::as_mut)?;
        if !report.models.is_empty() {
            row.models.clone_from(&report.models);
            row.models_reported_at = Some(taken);
            row.model_set = self.models.set(&report.models);
        }
        row.set_report(report.running, report.waiting, own, taken);
        row.leaving = report.state == TargetState::Leaving;
        ended
    }

    /// Applies load reported along with an answer, given the number of own requests that it may include.
    pub fn apply_load(
        &mut self,
        index: usize,
        load: TargetLoad,
        own: u32,
        age: Duration,
        now: Instant,
    ) {
        let Some(row) = self.rows.get_mut(index).and_then(Option::as_mut) else { return };
        if let Some(taken) = now.checked_sub(age).filter(|taken| row.is_current(*taken)) {
            row.set_report(load.running, load.waiting, own, taken);
            if let Some(percent) = load.pace_percent {
                row.pace.record(percent, taken);
            }
        }
    }

    /// Updates the rates and the other slowly changing data of the pools. `elapsed` is the time since the
    /// last call; `busy` tells whether requests wait for a pool.
    pub fn refresh_pools<B>(&mut self, elapsed: Duration, busy: B, now: Instant)
    where
        B: Fn(usize) -> bool,
    {
        for (index, pool) in self.pools.values_mut().enumerate() {
            let rows = || pool.members.iter().filter_map(|member| self.rows[*member].as_ref());
            pool.fastest =
                fastest(rows().filter(|row| row.accepts_work() && row.rates.is_trusted()));
            let usable = rows().any(TargetRow::accepts_work);
            pool.empty_since = if usable { None } else { pool.empty_since.or(Some(now)) };
            pool.update_rates(elapsed, busy(index));
        }
    }

    /// Sets the models that a target should hold by the rules; `None` if no rule names models of its service.
    pub fn set_assumed_models(&mut self, target: &str, models: Option<&[ModelName]>, now: Instant) {
        let Some(index) = self.find(target) else { return };
        let Some(row) = self.rows[index].as_mut() else { return };
        row.assumed_set = models.map_or(u64::MAX, |models| self.models.set_exactly(models));
        if row.models.is_empty() {
            row.model_set = row.assumed_set;
        }
        self.refresh(index, now);
    }

    /// Drops lists of models that no report has confirmed for too long.
    pub fn forget_old_models(&mut self, now: Instant) {
        for row in self.rows.iter_mut().flatten() {
            let old = |reported| now.saturating_duration_since(reported) > MODELS_LIFETIME;
            if row.models_reported_at.is_some_and(old) {
                row.forget_models();
            }
        }
    }

    /// Sets when the first member accepts requests again, if all members of a pool have paused.
    pub fn set_pause(&mut self, pool: usize, until: Option<Instant>) {
        self.pools[pool].paused_until = until;
    }

    /// Sets when starts will be permitted, if all members of a pool need permits.
    pub fn set_forecast(&mut self, pool: usize, forecast: Option<StartForecast>) {
        self.pools[pool].forecast = forecast;
    }

    /// Pools whose members all need permits for starts, each with its forecast.
    pub fn forecasts(&self) -> impl Iterator<Item = (usize, StartForecast)> {
        let pools = self.pools.values().enumerate();
        pools.filter_map(|(index, pool)| Some((index, pool.forecast?)))
    }

    /// Number of permits for starts at the members of a pool.
    pub fn permits(&self, pool: usize, now: Instant) -> usize {
        let rows = self.pools[pool].members.iter().filter_map(|member| self.row(*member));
        rows.filter(|row| row.accepts_work()).map(|row| row.starts.permits(now)).sum()
    }

    /// Whether at least half of the members that accept work are cold, or half of those that this process may use.
    pub fn is_half_cold(&self, pool: usize) -> bool {
        let members = self.pools[pool].members.iter().filter_map(|index| self.row(*index));
        let (mut all, mut usable) = ([0, 0], [0, 0]);
        for row in members.filter(|row| row.accepts_work()) {
            let cold = usize::from(row.window.is_cold());
            all[cold] += 1;
            usable[cold] += u32::from(row.is_usable());
        }
        [all, usable].iter().any(|[warm, cold]| *cold > 0 && cold >= warm)
    }

    /// Records the tokens of an admitted request.
    pub fn record_admitted(&mut self, pool: usize, tier: Tier, tokens: u64) {
        self.pools[pool].arrived[tier.index()] += tokens;
    }

    /// The open member of a pool, if there is exactly one.
    pub fn only_open(&self, pool: usize) -> Option<usize> {
        let pool = &self.pools[pool];
        let is_open = |index: &&usize| self.summaries[**index].is_open();
        if pool.open == 1 { pool.members.iter().find(is_open).copied() } else { None }
    }

    /// Records tokens that the targets of a pool have processed.
    pub fn record_processed(&mut self, pool: usize, tokens: u64) {
        self.pools[pool].processed += tokens;
    }

    /// Whether a member of the pool is of a build and accepts work, or may do so again soon: it is neither gone nor
    /// leaving, and not out of service for long.
    pub fn may_serve_build(&self, pool: usize, models: u64, build: BuildKey, now: Instant) -> bool {
        let members = self.pools[pool].members.iter().filter_map(|index| self.row(*index));
        let mut suitable = members.filter(|row| {
            row.listed && !row.leaving && row.holds(models) && row.build == Some(build)
        });
        let is_brief = |since| now.saturating_duration_since(since) < BUILD_RETURN_TIME;
        suitable.any(|row| row.closed_since.is_none_or(is_brief))
    }

    /// Fraction of the windows of a pool that targets of a build have; `None` while they have none.
    pub fn build_share(&self, pool: usize, build: BuildKey) -> Option<f64> {
        let pool = &self.pools[pool];
        let is_suitable =
            |index: &usize| self.row(*index).is_some_and(|row| row.suits_build(Some(build)));
        let suitable = pool.members.iter().copied().filter(is_suitable);
        let windows: u64 = suitable.map(|index| u64::from(self.summary(index).window)).sum();
        (windows > 0).then(|| windows as f64 / pool.windows as f64)
    }

    /// Whether a member of the pool accepts work, holds one of the models and is of the given build, if any.
    pub fn can_serve(&self, pool: usize, models: u64, build: Option<BuildKey>) -> bool {
        let members = self.pools[pool].members.iter();
        members
            .filter_map(|index| self.row(*index))
            .any(|row| row.accepts_work() && row.holds(models) && row.suits_build(build))
    }

    fn add(&mut self, entry: &TargetEntry, pool: usize, now: Instant) -> usize {
        let rates = self.sibling_rates(pool);
        let row = TargetRow::new(entry, pool, rates, now);
        let index = match self.rows.iter().position(Option::is_none) {
            Some(index) => index,
            None => {
                self.rows.push(None);
                self.summaries.push(TargetSummary::default());
                self.rows.len() - 1
            }
        };
        self.rows[index] = Some(row);
        self.names.insert(entry.target.clone(), index);
        insert_sorted(&mut self.pools[pool].members, index);
        index
    }

    /// Initial rates of a new target: those of a known target of its service, with little weight.
    fn sibling_rates(&self, pool: usize) -> RateEstimate {
        let members = self.pools[pool].members.iter();
        let known = members.filter_map(|index| self.row(*index)).find(|row| row.rates.is_trusted());
        known.map_or_else(RateEstimate::default, |row| RateEstimate { samples: 1, ..row.rates })
    }

    fn move_pool(&mut self, index: usize, pool: usize) {
        let Some(row) = self.rows[index].as_mut().filter(|row| row.service != pool) else { return };
        let old = std::mem::replace(&mut row.service, pool);
        let summary = std::mem::take(&mut self.summaries[index]);
        self.pools[old].update_sums(&summary, &TargetSummary::default());
        self.pools[old].members.retain(|member| *member != index);
        insert_sorted(&mut self.pools[pool].members, index);
    }
}

/// Lowest expected times among rows.
fn fastest<'a, R>(rows: R) -> Option<RateEstimate>
where
    R: Iterator<Item = &'a TargetRow>,
{
    rows.map(|row| row.rates).reduce(|least, rates| RateEstimate {
        base: least.base.min(rates.base),
        prefill: least.prefill.min(rates.prefill),
        decode: least.decode.min(rates.decode),
        call: least.call.min(rates.call),
        samples: least.samples.max(rates.samples),
    })
}

fn insert_sorted(members: &mut Vec<usize>, index: usize) {
    if let Err(position) = members.binary_search(&index) {
        members.insert(position, index);
    }
}
