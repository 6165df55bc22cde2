//! Exported KV caches of all engines in this process.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Maximum number of exports kept; the oldest are dropped first.
const MAX_EXPORTS: usize = 4096;

/// One exported KV cache.
#[derive(Clone, Debug)]
pub struct KvExported {
    /// Address of the engine that holds it.
    pub source: String,
    /// Model that it was computed with.
    pub model: String,
    /// Prompt that it was computed from.
    pub prompt: String,
}

#[derive(Default)]
struct Exports {
    by_handle: HashMap<String, KvExported>,
    order: BTreeMap<u64, String>,
    next: u64,
}

/// Store of exported KV caches. An export is kept until its engine crashes or it is displaced by
/// newer exports.
#[derive(Default)]
pub struct KvStore {
    exports: Mutex<Exports>,
}

impl KvStore {
    fn lock(&self) -> MutexGuard<'_, Exports> {
        self.exports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stores an exported cache; returns its handle.
    pub fn insert(&self, exported: KvExported) -> String {
        let mut exports = self.lock();
        exports.next += 1;
        let number = exports.next;
        let handle = format!("kv-{}-{number}", exported.source);
        exports.by_handle.insert(handle.clone(), exported);
        exports.order.insert(number, handle.clone());
        if exports.order.len() > MAX_EXPORTS
            && let Some((_, oldest)) = exports.order.pop_first()
        {
            exports.by_handle.remove(&oldest);
        }
        handle
    }

    /// Whether `handle` refers to an export for this model and prompt.
    pub fn covers(&self, handle: &str, model: &str, prompt: &str) -> bool {
        let exports = self.lock();
        let found = exports.by_handle.get(handle);
        found.is_some_and(|exported| exported.model == model && exported.prompt == prompt)
    }

    /// Drops the exports held by the engine at address `source`.
    pub fn drop_source(&self, source: &str) {
        self.lock().by_handle.retain(|_, exported| exported.source != source);
    }
}
