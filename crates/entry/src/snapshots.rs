//! Writes the service-level counters to the object store.

use std::io;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{self, JoinHandle};

use agatestair_runtime::log_event;
use agatestair_schema::push_sample;
use agatestair_schema::settings::InstanceSettings;
use agatestair_schema::slo::{SloCounts, SloIndex, SloSample, SloSnapshot};
use agatestair_store::{PlatformClient, Purpose, put_row_ttl};
use slog::Logger;

use crate::claims::record::now_ms;
use crate::events::SNAPSHOT_FAILED;

/// TTL of the index row that names the object, in milliseconds: four days.
const INDEX_TTL_MS: u64 = 4 * 24 * 60 * 60 * 1000;

/// Writes snapshots on a dedicated thread, which exits when all senders are dropped.
pub struct SnapshotWriter {
    platform: PlatformClient,
    snapshot: SloSnapshot,
    indexed: bool,
    log: Logger,
}

impl SnapshotWriter {
    /// Starts the thread and returns the sender that feeds it counters.
    ///
    /// # Errors
    ///
    /// The operating system's error if the thread cannot be started.
    pub fn start(
        platform: PlatformClient,
        instance: &InstanceSettings,
        boot: &Arc<str>,
        log: Logger,
    ) -> io::Result<(Sender<Vec<SloCounts>>, JoinHandle<()>)> {
        let snapshot = SloSnapshot {
            instance: instance.name.clone(),
            boot: boot.to_string(),
            domain: instance.domain.clone(),
            started_ms: now_ms(),
            samples: Vec::new(),
        };
        let (sender, receiver) = channel();
        let writer = Self { platform, snapshot, indexed: false, log };
        let thread = thread::Builder::new().name("snapshots".to_owned());
        let handle = thread.spawn(move || writer.run(&receiver))?;
        Ok((sender, handle))
    }

    fn run(mut self, counters: &Receiver<Vec<SloCounts>>) {
        while let Ok(mut counts) = counters.recv() {
            // Counters are cumulative: after a slow write, only the latest ones are needed.
            while let Ok(newer) = counters.try_recv() {
                counts = newer;
            }
            self.write(counts);
        }
    }

    fn write(&mut self, counts: Vec<SloCounts>) {
        push_sample(&mut self.snapshot.samples, SloSample { at_ms: now_ms(), counts });
        let key = format!("slo/{}/{}", self.snapshot.instance, self.snapshot.boot);
        let body = serde_json::to_vec(&self.snapshot).expect("wire types serialize to JSON");
        let stored = self.platform.objects().put(Purpose::Report, &key, &body);
        let indexed = stored.and_then(|()| self.write_index(&key));
        if let Err(error) = indexed {
            log_event!(self.log, SNAPSHOT_FAILED, "error" => error.to_string());
        }
    }

    /// Writes the index row that names the object, once per process.
    fn write_index(&mut self, key: &str) -> Result<(), agatestair_store::PlatformError> {
        if self.indexed {
            return Ok(());
        }
        let index = SloIndex {
            instance: self.snapshot.instance.clone(),
            boot: self.snapshot.boot.clone(),
            started_ms: self.snapshot.started_ms,
        };
        let write = put_row_ttl(key, &index, INDEX_TTL_MS);
        self.platform.table().transact(Purpose::Report, Vec::new(), vec![write])?;
        self.indexed = true;
        Ok(())
    }
}
