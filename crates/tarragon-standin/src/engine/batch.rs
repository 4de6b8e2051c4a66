//! The engine itself, without I/O: admits whatever arrives, batches it continuously and produces tokens
//! step by step. The caller supplies the time.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use tarragon_protocol::{
    engine::EngineRole,
    identity::TOKENS_PER_BLOCK,
    prelude::*,
    prompt::{block_hashes, count_tokens},
};
use tokio::sync::mpsc;

use super::{
    EngineCounters, EngineSettings, PrefixCache,
    text::{bounded_length, prompt_seed, token_text},
};

/// A request for the engine.
#[derive(Debug, Clone)]
pub struct EngineSubmission {
    /// Id that the chunks repeat.
    pub request_id: String,
    /// Model.
    pub model: ModelName,
    /// Rendered conversation.
    pub prompt: String,
    /// Tokens that the caller already has.
    pub resume_from: u32,
    /// Their text.
    pub delivered: String,
    /// Bound of the whole answer in tokens, those delivered included.
    pub max_tokens: Option<u32>,
}

/// Output for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineEvent {
    /// A token.
    Token {
        /// Its position in the whole answer.
        index: u32,
        /// Its text.
        text: String,
        /// Prompt tokens computed and found in the cache, with the first token.
        prefill: Option<(u32, u32)>,
    },
    /// The answer is complete; with `stop` or `length`.
    Finished(&'static str),
    /// The engine failed, with a message.
    Failed(String),
    /// The request was cancelled by a call.
    Cancelled,
}

#[derive(Debug)]
struct Sequence {
    submission: EngineSubmission,
    seed: u64,
    blocks: Vec<BlockHash>,
    prompt_tokens: u32,
    cached_tokens: u32,
    prefill_left: u32,
    next_index: u32,
    end_index: u32,
    stop_reason: &'static str,
    started: bool,
    crashes: bool,
    output: mpsc::UnboundedSender<EngineEvent>,
}

impl Sequence {
    fn prefill_done(&self) -> u32 {
        self.prompt_tokens - self.cached_tokens - self.prefill_left
    }

    fn occupied_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.next_index)
    }
}

/// State of one engine process and its counters.
#[derive(Debug)]
pub struct EngineBatch {
    settings: EngineSettings,
    pub(super) cache: PrefixCache,
    pub(super) counters: EngineCounters,
    waiting: VecDeque<Sequence>,
    running: Vec<Sequence>,
    restart: u64,
    cold_until: Option<Instant>,
    collapsed_until: Option<Instant>,
    slowness: f64,
    overload_failures: u64,
    leaving: bool,
    pub(super) models: Vec<ModelName>,
    pub(super) role: EngineRole,
    pub(super) fencing: FencingNumber,
    pub(super) last_order: Option<Instant>,
}

impl EngineBatch {
    /// An engine that starts now. `restart` is the first restart id.
    pub fn new(settings: EngineSettings, restart: u64, now: Instant) -> EngineBatch {
        let cache = PrefixCache::new(settings.cache_blocks, settings.event_lag, settings.event_gap);
        let cold_until = settings.start_cold.then(|| now + settings.cold_duration);
        EngineBatch {
            cache,
            counters: EngineCounters::default(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            restart,
            cold_until,
            collapsed_until: None,
            slowness: 1.0,
            overload_failures: 0,
            leaving: false,
            models: settings.models.clone(),
            role: EngineRole::Both,
            fencing: 0,
            last_order: None,
            settings,
        }
    }

    /// Admits a request. Its output arrives on the returned channel, which closes without a final event
    /// if the engine crashes.
    pub fn submit(
        &mut self,
        submission: EngineSubmission,
        now: Instant,
    ) -> mpsc::UnboundedReceiver<EngineEvent> {
        let (output, receiver) = mpsc::unbounded_channel();
        self.drop_abandoned();
        let sequence = self.sequence(submission, output);
        self.counters.admitted += 1;
        if self.settings.count_runs {
            *self.counters.runs.entry(sequence.submission.request_id.clone()).or_default() += 1;
        }
        if self.note_load(now) {
            self.counters.failed += 1;
            let message = "overloaded while cold".to_owned();
            let _ = sequence.output.send(EngineEvent::Failed(message));
        } else {
            self.waiting.push_back(sequence);
        }
        receiver
    }

    fn sequence(
        &self,
        submission: EngineSubmission,
        output: mpsc::UnboundedSender<EngineEvent>,
    ) -> Sequence {
        let whole = format!("{}{}", submission.prompt, submission.delivered);
        let (end_index, stop_reason) = bounded_length(&submission.prompt, submission.max_tokens);
        let crash_text = self.settings.crash_text.as_deref();
        let prompt_tokens = count_tokens(&whole).max(1);
        Sequence {
            seed: prompt_seed(&submission.prompt),
            blocks: block_hashes(&submission.model, &whole),
            prompt_tokens,
            cached_tokens: 0,
            prefill_left: prompt_tokens,
            next_index: submission.resume_from,
            end_index,
            stop_reason,
            started: false,
            crashes: crash_text.is_some_and(|text| submission.prompt.contains(text)),
            output,
            submission,
        }
    }

    /// Counts the load that one more request makes. Returns whether that request fails at once: a cold
    /// engine above what it bears collapses and fails every second request.
    fn note_load(&mut self, now: Instant) -> bool {
        let inside = self.occupied() + 1;
        self.counters.peak = self.counters.peak.max(inside);
        if !self.is_cold(now) {
            return false;
        }
        self.counters.cold_peak = self.counters.cold_peak.max(inside);
        if inside <= self.settings.cold_bears {
            return false;
        }
        self.counters.cold_overloads += 1;
        let ids = self.running.iter().chain(&self.waiting);
        let ids: Vec<&str> = ids.map(|sequence| sequence.submission.request_id.as_str()).collect();
        let bears = self.settings.cold_bears;
        tracing::debug!(
            engine = &*self.settings.name,
            inside,
            bears,
            ?ids,
            "overloaded while cold"
        );
        self.collapsed_until = Some(now + self.settings.collapse_duration);
        self.cold_until = Some(now + self.settings.cold_duration);
        self.overload_failures += 1;
        self.overload_failures % 2 == 1
    }

    /// Cancels a request. Returns whether it was there.
    pub fn cancel(&mut self, request_id: &str) -> bool {
        let matches = |sequence: &Sequence| sequence.submission.request_id == request_id;
        let waiting = self.waiting.iter().position(matches);
        let running = self.running.iter().position(matches);
        let sequence = match (waiting, running) {
            (Some(index), _) => self.waiting.remove(index),
            (None, Some(index)) => Some(self.running.remove(index)),
            (None, None) => None,
        };
        let Some(sequence) = sequence else { return false };
        let _ = sequence.output.send(EngineEvent::Cancelled);
        self.count_cancelled(&sequence);
        true
    }

    /// Starts a step and returns its duration; `None` if there is nothing to do.
    pub fn begin_step(&mut self, now: Instant) -> Option<Duration> {
        self.drop_abandoned();
        if let Some(until) = self.collapsed_until.filter(|until| *until > now) {
            return Some(until - now);
        }
        self.fill_batch();
        if self.running.is_empty() {
            return None;
        }
        let prefill: u32 = self.prefill_shares().iter().sum();
        let decoding = self.running.iter().filter(|sequence| sequence.prefill_left == 0).count();
        let hardware = &self.settings.hardware;
        let decode = hardware.step_per_sequence * u32::try_from(decoding).unwrap_or(u32::MAX);
        let compute = Duration::from_secs_f64(f64::from(prefill) / hardware.prefill_rate);
        Some((hardware.step_base + decode + compute).mul_f64(self.slowness))
    }

    /// Ends a step: prompts advance, and each decoding sequence gets a token. Returns whether a request
    /// crashed the engine.
    pub fn finish_step(&mut self, now: Instant) -> bool {
        if self.collapsed_until.is_some_and(|until| until > now) {
            return false;
        }
        let shares = self.prefill_shares();
        let mut crashed = false;
        let mut index = 0;
        for share in shares {
            crashed |= self.advance(index, share, now);
            if self.running[index].next_index >= self.running[index].end_index {
                self.finish(index);
            } else {
                index += 1;
            }
        }
        crashed
    }

    /// Prompt tokens that each running sequence gets in this step, in the order of admission.
    fn prefill_shares(&self) -> Vec<u32> {
        let mut left = self.settings.hardware.prefill_chunk;
        let share = |sequence: &Sequence| {
            let share = sequence.prefill_left.min(left);
            left -= share;
            share
        };
        self.running.iter().map(share).collect()
    }

    fn fill_batch(&mut self) {
        let room = usize::try_from(self.settings.hardware.max_batch).unwrap_or(usize::MAX);
        while self.running.len() < room {
            let Some(mut sequence) = self.waiting.pop_front() else { break };
            let held = self.cache.use_prefix(&sequence.blocks);
            // At least one token is always computed: the first output token depends on it.
            let cached = u32::try_from(held * TOKENS_PER_BLOCK).unwrap_or(u32::MAX);
            sequence.cached_tokens = cached.min(sequence.prompt_tokens - 1);
            sequence.prefill_left = sequence.prompt_tokens - sequence.cached_tokens;
            self.counters.prefill_cached += u64::from(sequence.cached_tokens);
            if let Some(ledger) = &self.settings.ledger {
                self.counters.prefill_repeated += ledger.note(&sequence.blocks[held..]);
            }
            self.running.push(sequence);
        }
    }

    /// Moves one sequence on by a step. Returns whether it crashed the engine.
    fn advance(&mut self, index: usize, share: u32, now: Instant) -> bool {
        let sequence = &mut self.running[index];
        if sequence.prefill_left > 0 {
            sequence.prefill_left -= share;
            self.counters.prefill_computed += u64::from(share);
            if sequence.prefill_left > 0 {
                return false;
            }
            self.cache.store(&sequence.blocks, now);
            if sequence.crashes {
                return true;
            }
        }
        if sequence.next_index < sequence.end_index {
            let text = token_text(sequence.seed, sequence.next_index);
            let prefill =
                (!sequence.started).then(|| (sequence.prefill_done(), sequence.cached_tokens));
            let event = EngineEvent::Token { index: sequence.next_index, text, prefill };
            let _ = sequence.output.send(event);
            sequence.started = true;
            sequence.next_index += 1;
            self.counters.tokens_generated += 1;
        }
        false
    }

    fn finish(&mut self, index: usize) {
        let sequence = self.running.remove(index);
        let _ = sequence.output.send(EngineEvent::Finished(sequence.stop_reason));
        self.counters.finished += 1;
    }

    /// Drops requests whose caller has gone.
    fn drop_abandoned(&mut self) {
        let gone = |sequence: &Sequence| sequence.output.is_closed();
        let mut dropped: Vec<Sequence> = self.running.extract_if(.., |each| gone(each)).collect();
        let (abandoned, waiting): (Vec<_>, Vec<_>) = self.waiting.drain(..).partition(gone);
        self.waiting = waiting.into();
        dropped.extend(abandoned);
        for sequence in &dropped {
            self.count_cancelled(sequence);
        }
    }

    fn count_cancelled(&mut self, sequence: &Sequence) {
        self.counters.cancelled += 1;
        self.counters.prefill_unused += u64::from(sequence.prefill_done());
    }

    /// The process dies and starts again: all requests are lost, the cache is empty, the engine is cold.
    pub fn crash(&mut self, now: Instant) {
        self.counters.crashes += 1;
        for sequence in self.running.drain(..).chain(self.waiting.drain(..)) {
            self.counters.prefill_unused += u64::from(sequence.prefill_done());
        }
        self.cache.clear(now);
        self.restart += 1;
        self.fencing = 0;
        self.last_order = None;
        self.turn_cold(now);
    }

    /// Becomes cold without a restart.
    pub fn turn_cold(&mut self, now: Instant) {
        self.cold_until = Some(now + self.settings.cold_duration);
    }

    /// Multiplies the time of each step.
    pub fn set_slowness(&mut self, factor: f64) {
        self.slowness = factor.max(0.01);
    }

    /// Reports itself as leaving, or no longer.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Changes the text that crashes the engine.
    pub fn set_crash_text(&mut self, text: Option<String>) {
        self.settings.crash_text = text;
    }

    /// Whether the model can be used now.
    pub fn holds(&self, model: &str) -> bool {
        self.models.iter().any(|held| &**held == model)
    }

    /// Requests inside the engine.
    pub fn occupied(&self) -> u32 {
        u32::try_from(self.running.len() + self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Whether it is cold now.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| until > now)
    }

    /// Counters since the start.
    pub fn counters(&self) -> &EngineCounters {
        &self.counters
    }

    /// The engine's settings.
    pub fn settings(&self) -> &EngineSettings {
        &self.settings
    }

    /// Its load as of now.
    pub fn load_report(&self, now: Instant) -> LoadReport {
        let cold = self.is_cold(now);
        let state = match (self.leaving, cold) {
            (true, _) => TargetState::Leaving,
            (false, true) => TargetState::Cold,
            (false, false) => TargetState::Warm,
        };
        let capacity = self.settings.cache_blocks.saturating_mul(TOKENS_PER_BLOCK);
        let occupied: u64 = self.running.iter().map(Sequence::occupied_tokens).sum();
        let age = self.last_order.map(|at| now.saturating_duration_since(at).as_millis());
        LoadReport {
            restart_id: self.restart,
            state,
            capacity: if cold { self.settings.cold_bears } else { self.settings.warm_bears },
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            free_cache_tokens: u64::try_from(capacity).unwrap_or(u64::MAX).saturating_sub(occupied),
            models: self.models.clone(),
            fencing: self.fencing,
            last_order_age_ms: age.map(|age| u64::try_from(age).unwrap_or(u64::MAX)),
            lag_ms: 0,
        }
    }
}
