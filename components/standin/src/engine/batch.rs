//! Continuous batching of one engine: priority queue, running batch and token generation.

use std::{cmp::Reverse, collections::BinaryHeap, hash::Hasher};

use filbertsail_api::engine::{Completion, Event, Finish, Label};
use filbertsail_clock::{Boot, Source};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHasher;
use tokio::sync::mpsc::UnboundedSender;

use super::{Options, cache, record};

/// Part of a response.
#[derive(Debug)]
pub(super) enum Chunk {
    Token(Event),
    Finish(Finish),
}

#[derive(Debug)]
struct Job {
    request_id: String,
    prefix: String,
    run: u64,
    next_index: u32,
    target_tokens: u32,
    max_tokens: u32,
    /// `None` until the first step of the job.
    remaining_prefill_steps: Option<u32>,
    labels: Vec<Label>,
    text: String,
    cancelled: bool,
    output: UnboundedSender<Chunk>,
}

#[derive(Debug, Default)]
pub(super) struct Batch {
    running: Vec<Job>,
    /// Highest priority first, then in order of arrival. The second value is the key in `waiting`.
    queue: BinaryHeap<(u32, Reverse<u64>)>,
    waiting: std::collections::HashMap<u64, Job>,
    arrivals: u64,
}

/// Response length in tokens, determined by seed, prompt and request identifier.
fn response_tokens(options: &Options, completion: &Completion) -> u32 {
    let mut hasher = FxHasher::default();
    hasher.write(completion.prompt.as_bytes());
    hasher.write(completion.request_id.as_bytes());
    hasher.write_u64(options.seed);
    let mut random = ChaCha8Rng::seed_from_u64(hasher.finish());
    let typical =
        random.random_range(options.typical_tokens / 2..=options.typical_tokens * 3 / 2).max(1);
    let is_straggler = random.random::<f64>() < options.straggler_fraction;
    let tokens = if is_straggler { typical * options.straggler_factor } else { typical };
    tokens.min(completion.max_tokens.max(1))
}

impl Batch {
    pub fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    pub fn queued(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Adds a request to the queue.
    pub fn add(
        &mut self,
        options: &Options,
        completion: &Completion,
        record: &record::Record,
        output: UnboundedSender<Chunk>,
    ) {
        let resume = completion.resume_from.clone();
        let first_index = resume.as_ref().map_or(0, |resume| resume.tokens);
        let run = record.add(record::Run {
            number: 0,
            worker: options.name.clone(),
            request_id: completion.request_id.clone(),
            prompt: completion.prompt.clone(),
            arrived_at: Boot.now(),
            first_index,
            token_versions: Vec::new(),
            total_tokens: None,
        });
        let job = Job {
            request_id: completion.request_id.clone(),
            prefix: cache::prefix_hash(&completion.prompt),
            run,
            next_index: first_index,
            target_tokens: response_tokens(options, completion).max(first_index + 1),
            max_tokens: completion.max_tokens,
            remaining_prefill_steps: None,
            labels: resume.as_ref().map(|resume| resume.labels.clone()).unwrap_or_default(),
            text: resume.map(|resume| resume.text).unwrap_or_default(),
            cancelled: false,
            output,
        };
        self.arrivals += 1;
        self.queue.push((completion.priority, Reverse(self.arrivals)));
        self.waiting.insert(self.arrivals, job);
    }

    /// Cancels a request; returns whether it was found.
    pub fn cancel(&mut self, request_id: &str) -> bool {
        let jobs = self.running.iter_mut().chain(self.waiting.values_mut());
        let mut found = false;
        for job in jobs.filter(|job| job.request_id == request_id) {
            job.cancelled = true;
            found = true;
        }
        found
    }

    /// Drops all requests, which aborts their responses.
    pub fn abort_all(&mut self) {
        *self = Self::default();
    }

    /// Starts queued requests and advances all running ones by one step; without weights, none
    /// advance.
    pub fn step(
        &mut self,
        options: &Options,
        version: Option<u64>,
        cache: &mut cache::Cache,
        record: &record::Record,
    ) {
        self.waiting.retain(|_, job| !job.output.is_closed());
        while self.running() < options.max_running
            && let Some((_, Reverse(arrival))) = self.queue.pop()
        {
            self.running.extend(self.waiting.remove(&arrival));
        }
        let Some(version) = version else { return };
        self.running.retain_mut(|job| job.advance(options, version, cache, record));
    }
}

impl Job {
    /// Executes one step; returns whether the job continues.
    fn advance(
        &mut self,
        options: &Options,
        version: u64,
        cache: &mut cache::Cache,
        record: &record::Record,
    ) -> bool {
        if self.cancelled {
            self.finish("cancelled");
            return false;
        }
        if self.output.is_closed() {
            return false;
        }
        let remaining_prefill_steps = self.remaining_prefill_steps.get_or_insert_with(|| {
            let is_cached = cache.touch(&self.prefix, Boot.now());
            if is_cached { 0 } else { options.prefill_steps }
        });
        if *remaining_prefill_steps > 0 {
            *remaining_prefill_steps -= 1;
            return true;
        }
        self.generate_token(version, record);
        if self.next_index < self.target_tokens {
            return true;
        }
        record.update(self.run, |run| run.total_tokens = Some(self.next_index));
        self.finish(if self.next_index >= self.max_tokens { "length" } else { "stop" });
        false
    }

    fn generate_token(&mut self, version: u64, record: &record::Record) {
        let text = record::token_text(
            self.run,
            self.next_index,
            self.next_index + 1 >= self.target_tokens,
        );
        record.update(self.run, |run| run.token_versions.push(version));
        self.text.push_str(&text);
        let index = self.next_index;
        self.next_index += 1;
        match self.labels.last_mut() {
            Some(label) if label.version == version && label.to == index => {
                label.to = self.next_index;
            }
            _ => self.labels.push(Label { version, from: index, to: self.next_index }),
        }
        let request_id = self.request_id.clone();
        let event = Event { index, request_id, text, weight_version: version };
        // If the output is closed, the job ends at its next step.
        let _ = self.output.send(Chunk::Token(event));
    }

    fn finish(&mut self, reason: &str) {
        let finish = Finish {
            done: true,
            labels: self.labels.clone(),
            reason: reason.to_owned(),
            request_id: self.request_id.clone(),
            text: Some(std::mem::take(&mut self.text)),
            tokens: self.next_index,
        };
        // Fails only if the caller has disconnected.
        let _ = self.output.send(Chunk::Finish(finish));
    }
}
