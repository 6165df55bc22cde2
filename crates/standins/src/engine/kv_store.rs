//! Exported KV caches of all engines of a process.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Exports that are kept.
const KEPT_EXPORTS: usize = 4096;

/// One exported KV cache.
#[derive(Clone, Debug)]
pub struct KvExported {
    /// Address of the engine that holds it.
    pub source: String,
    /// Model.
    pub model: String,
    /// Prompt that it covers.
    pub prompt: String,
}

#[derive(Default)]
struct Exports {
    by_handle: HashMap<String, KvExported>,
    order: BTreeMap<u64, String>,
    next: u64,
}

/// Keeps exported KV caches until an import, a crash of their engine, or many later exports.
#[derive(Default)]
pub struct KvStore {
    exports: Mutex<Exports>,
}

impl KvStore {
    fn lock(&self) -> MutexGuard<'_, Exports> {
        self.exports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps a cache; returns its handle.
    pub fn insert(&self, exported: KvExported) -> String {
        let mut exports = self.lock();
        exports.next += 1;
        let number = exports.next;
        let handle = format!("kv-{}-{number}", exported.source);
        exports.by_handle.insert(handle.clone(), exported);
        exports.order.insert(number, handle.clone());
        if exports.order.len() > KEPT_EXPORTS
            && let Some((_, oldest)) = exports.order.pop_first()
        {
            exports.by_handle.remove(&oldest);
        }
        handle
    }

    /// Whether the handle names a cache that covers the prompt.
    pub fn covers(&self, handle: &str, model: &str, prompt: &str) -> bool {
        let exports = self.lock();
        let found = exports.by_handle.get(handle);
        found.is_some_and(|exported| exported.model == model && exported.prompt == prompt)
    }

    /// Drops the caches held by an engine that crashed.
    pub fn drop_source(&self, source: &str) {
        self.lock().by_handle.retain(|_, exported| exported.source != source);
    }
}
