//! In-memory platform that records the calls it accepted.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use super::{Fault, Holder, Order, Platform, Usage};

/// Accepted call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    Usage(Usage),
    Order(Order),
}

#[derive(Debug, Default)]
struct State {
    accepted: Vec<(Holder, Call)>,
    faults: VecDeque<Fault>,
}

/// Platform in memory; clones share its state.
#[derive(Clone, Debug, Default)]
pub struct Fake(Arc<Mutex<State>>);

impl Fake {
    /// Calls that took effect, in order.
    #[must_use]
    pub fn accepted(&self) -> Vec<(Holder, Call)> {
        self.lock().accepted.clone()
    }

    /// Lets a later call fail, in the order of these calls. One with an unknown outcome takes
    /// effect.
    pub fn add_fault(&self, fault: Fault) {
        self.lock().faults.push_back(fault);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn call(&self, holder: &Holder, call: Call) -> Result<(), Fault> {
        let mut state = self.lock();
        let fault = state.faults.pop_front();
        if matches!(fault, None | Some(Fault::Unknown(_))) {
            state.accepted.push((holder.clone(), call));
        }
        fault.map_or(Ok(()), Err)
    }
}

impl Platform for Fake {
    async fn report_usage(&self, holder: &Holder, usage: &Usage) -> Result<(), Fault> {
        self.call(holder, Call::Usage(usage.clone()))
    }

    async fn order_workers(&self, holder: &Holder, order: &Order) -> Result<(), Fault> {
        self.call(holder, Call::Order(order.clone()))
    }
}
