//! Fake peer port of a gateway with one model worker.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use filbertsail_clock::{Boot, Instant, Source};
use filbertsail_wire::{
    Frame,
    frame::{Dispatch, Finish, Hello, Label, Order, Outcome, Token, Worker, Workers},
    link::server::{Handler, Sender},
};
use tokio::time::sleep;

#[derive(Clone)]
pub struct Engine {
    /// Weight version of the next token.
    pub version: Arc<AtomicU64>,
    /// Whether labels claim one version more than the tokens.
    pub false_labels: Arc<AtomicBool>,
    /// Delay of the first attempt at a slot, by `group/slot`.
    pub slow_slots: Arc<Mutex<HashMap<String, Duration>>>,
    /// Dispatches received.
    pub dispatches: Arc<Mutex<Vec<Dispatch>>>,
    /// Orders received, with the time of arrival.
    pub orders: Arc<Mutex<Vec<(Instant, Order)>>>,
    /// Highest fencing token seen; orders with a lower one are refused.
    pub epoch: Arc<AtomicU64>,
}

impl Default for Engine {
    fn default() -> Self {
        let version = Arc::new(AtomicU64::new(1));
        let (false_labels, slow_slots, dispatches, orders, epoch) = Default::default();
        Self { version, false_labels, slow_slots, dispatches, orders, epoch }
    }
}

impl Engine {
    pub fn dispatch_count(&self) -> usize {
        self.dispatches.lock().expect("lock").len()
    }

    async fn generate(&self, dispatch: Dispatch, replies: &mut Sender) {
        let parts: Vec<&str> = dispatch.request_id.split('/').collect();
        let slot = format!("{}/{}", parts[2], parts[3]);
        let delay = self.slow_slots.lock().expect("lock").remove(&slot);
        self.dispatches.lock().expect("lock").push(dispatch.clone());
        sleep(Duration::from_millis(5)).await;
        let version = self.version.load(Ordering::SeqCst);
        let mut text = String::new();
        for index in 0..4 {
            let part = format!("{}#{index} ", dispatch.request_id);
            text.push_str(&part);
            if replies.send(Token { index, text: part, weight_version: version }).await.is_err() {
                return;
            }
            if let Some(delay) = delay.filter(|_| index == 0) {
                sleep(delay).await;
            }
        }
        let version_error = u64::from(self.false_labels.load(Ordering::SeqCst));
        let labels = vec![Label { version: version + version_error, from: 0, to: 4 }];
        // Fails if the caller has cancelled.
        let _ =
            replies.send(Finish { worker: "kettle-1".to_owned(), tokens: 4, labels, text }).await;
    }

    fn order(&self, order: Order) -> Outcome {
        let epoch = self.epoch.fetch_max(order.epoch, Ordering::SeqCst).max(order.epoch);
        let accepted = order.epoch == epoch;
        if accepted {
            self.version.store(order.load_version, Ordering::SeqCst);
        }
        self.orders.lock().expect("lock").push((Boot.now(), order));
        Outcome { accepted, weight_version: None, epoch }
    }

    fn workers(&self) -> Workers {
        let worker = Worker {
            name: "kettle-1".to_owned(),
            zone: "lahti-c".to_owned(),
            live: true,
            leaving: false,
            running: 0,
            queued: 0,
            capacity: 64,
            weight_version: Some(self.version.load(Ordering::SeqCst)),
            age_ms: 0,
        };
        Workers { workers: vec![worker] }
    }
}

impl Handler for Engine {
    async fn handle(&self, _caller: Hello, request: Frame, mut replies: Sender) {
        match request {
            Frame::Dispatch(dispatch) => self.generate(dispatch, &mut replies).await,
            Frame::Survey(_) => {
                // Fails if the caller no longer waits.
                let _ = replies.send(self.workers()).await;
            }
            Frame::Order(order) => {
                // Fails if the caller no longer waits.
                let _ = replies.send(self.order(order)).await;
            }
            other => panic!("unexpected call: {other:?}"),
        }
    }
}
