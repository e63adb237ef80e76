//! Requests of one engine: queue by priority, batch, tokens.

use std::{cmp::Reverse, collections::BinaryHeap, hash::Hasher};

use filbertsail_api::engine::{Completion, Event, Finish, Label};
use filbertsail_clock::{Boot, Source};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHasher;
use tokio::sync::mpsc::UnboundedSender;

use super::{Options, cache, record};

/// Part of an answer.
#[derive(Debug)]
pub(super) enum Piece {
    Token(Event),
    Finish(Finish),
}

#[derive(Debug)]
struct Job {
    request_id: String,
    prefix: String,
    run: u64,
    index: u32,
    target: u32,
    max_tokens: u32,
    prefill: Option<u32>,
    labels: Vec<Label>,
    text: String,
    cancelled: bool,
    output: UnboundedSender<Piece>,
}

#[derive(Debug, Default)]
pub(super) struct Batch {
    running: Vec<Job>,
    // Highest priority first, then in order of arrival; indexes `waiting`.
    queue: BinaryHeap<(u32, Reverse<u64>)>,
    waiting: std::collections::HashMap<u64, Job>,
    arrivals: u64,
}

/// Number of tokens of an answer, fixed by seed, prompt and request identifier.
fn length(options: &Options, completion: &Completion) -> u32 {
    let mut hasher = FxHasher::default();
    hasher.write(completion.prompt.as_bytes());
    hasher.write(completion.request_id.as_bytes());
    hasher.write_u64(options.seed);
    let mut random = ChaCha8Rng::seed_from_u64(hasher.finish());
    let usual = random.random_range(options.tokens / 2..=options.tokens * 3 / 2).max(1);
    let straggles = random.random::<f64>() < options.straggler_share;
    let tokens = if straggles { usual * options.straggler_factor } else { usual };
    tokens.min(completion.max_tokens.max(1))
}

impl Batch {
    pub fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    pub fn queued(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Takes a request into the queue.
    pub fn add(
        &mut self,
        options: &Options,
        completion: &Completion,
        record: &record::Record,
        output: UnboundedSender<Piece>,
    ) {
        let resume = completion.resume_from.clone();
        let index = resume.as_ref().map_or(0, |resume| resume.tokens);
        let run = record.begin(record::Run {
            number: 0,
            worker: options.name.clone(),
            request_id: completion.request_id.clone(),
            prompt: completion.prompt.clone(),
            at: Boot.now(),
            first: index,
            versions: Vec::new(),
            tokens: None,
        });
        let job = Job {
            request_id: completion.request_id.clone(),
            prefix: cache::prefix(&completion.prompt),
            run,
            index,
            target: length(options, completion).max(index + 1),
            max_tokens: completion.max_tokens,
            prefill: None,
            labels: resume.as_ref().map(|resume| resume.labels.clone()).unwrap_or_default(),
            text: resume.map(|resume| resume.text).unwrap_or_default(),
            cancelled: false,
            output,
        };
        self.arrivals += 1;
        self.queue.push((completion.priority, Reverse(self.arrivals)));
        self.waiting.insert(self.arrivals, job);
    }

    /// Cancels a request; returns whether it was there.
    pub fn cancel(&mut self, request_id: &str) -> bool {
        let jobs = self.running.iter_mut().chain(self.waiting.values_mut());
        let mut found = false;
        for job in jobs.filter(|job| job.request_id == request_id) {
            job.cancelled = true;
            found = true;
        }
        found
    }

    /// Breaks all streams.
    pub fn break_all(&mut self) {
        *self = Self::default();
    }

    /// Admits queued requests and advances all running ones by one token.
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
    /// Produces the next token; returns whether the job goes on.
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
        let prefill = self.prefill.get_or_insert_with(|| {
            let hit = cache.touch(&self.prefix, Boot.now());
            if hit { 0 } else { options.prefill_steps }
        });
        if *prefill > 0 {
            *prefill -= 1;
            return true;
        }
        self.produce(version, record);
        if self.index < self.target {
            return true;
        }
        record.edit(self.run, |run| run.tokens = Some(self.index));
        self.finish(if self.index >= self.max_tokens { "length" } else { "stop" });
        false
    }

    fn produce(&mut self, version: u64, record: &record::Record) {
        let text = record::token(self.run, self.index, self.index + 1 >= self.target);
        record.edit(self.run, |run| run.versions.push(version));
        self.text.push_str(&text);
        let index = self.index;
        self.index += 1;
        match self.labels.last_mut() {
            Some(label) if label.version == version && label.to == index => label.to = self.index,
            _ => self.labels.push(Label { version, from: index, to: self.index }),
        }
        let request_id = self.request_id.clone();
        let event = Event { index, request_id, text, weight_version: version };
        // A closed output ends the job at its next step.
        let _ = self.output.send(Piece::Token(event));
    }

    fn finish(&mut self, reason: &str) {
        let finish = Finish {
            done: true,
            labels: self.labels.clone(),
            reason: reason.to_owned(),
            request_id: self.request_id.clone(),
            text: Some(std::mem::take(&mut self.text)),
            tokens: self.index,
        };
        // A caller that has left needs no answer.
        let _ = self.output.send(Piece::Finish(finish));
    }
}
