//! In-memory object store.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use filbertsail_ports::object::{Error, Store};

#[derive(Clone, Default)]
pub struct Objects(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    objects: BTreeMap<String, Bytes>,
    down: bool,
}

impl Objects {
    pub fn set_down(&self, down: bool) {
        self.0.lock().expect("lock").down = down;
    }

    /// Number of objects whose key starts with `prefix`.
    pub fn count(&self, prefix: &str) -> usize {
        let state = self.0.lock().expect("lock");
        state.objects.keys().filter(|key| key.starts_with(prefix)).count()
    }

    fn check(&self) -> Result<(), Error> {
        let down = self.0.lock().expect("lock").down;
        if down { Err(Error::Unavailable("down".to_owned())) } else { Ok(()) }
    }
}

impl Store for Objects {
    async fn put(&self, key: &str, body: Bytes) -> Result<(), Error> {
        self.check()?;
        self.0.lock().expect("lock").objects.insert(key.to_owned(), body);
        Ok(())
    }

    async fn get(&self, key: &str) -> Result<Bytes, Error> {
        self.check()?;
        self.0.lock().expect("lock").objects.get(key).cloned().ok_or(Error::NotFound)
    }

    async fn delete(&self, key: &str) -> Result<(), Error> {
        self.check()?;
        self.0.lock().expect("lock").objects.remove(key);
        Ok(())
    }
}
