//! Leases: reads the rows, writes the planned transactions and handles lost leases.

use std::collections::BTreeMap;

use agatestair_policy::Moment;
use agatestair_runtime::log_event;
use agatestair_schema::link::{LeaseLoss, LinkMessage};
use agatestair_schema::lists::LeaseRow;
use agatestair_store::{Outcome, PlatformError, Purpose, put_row, require};

use super::Control;
use crate::event::{Event, LeaseWrite};
use crate::events::{LEASE_LOST, LEASE_RELEASED, LEASE_TAKEN};
use crate::lease::{LeaseOp, LeaseOpKind, PlanInput};
use crate::store::{lease_key, read_leases, read_orders};
use agatestair_runtime::BootClock;

impl Control {
    /// Starts a round that reads the lease rows and writes the planned changes.
    pub(super) fn run_leases(&mut self, now: Moment) {
        if !self.may_lease() || !self.timers.leases.try_start_exclusive(now) {
            return;
        }
        let platform = self.platform.clone();
        self.workers.leases.run(move || Event::Leases(read_leases(&platform)));
    }

    /// Whether this instance may hold leases: only once the platform lists its current run.
    fn may_lease(&self) -> bool {
        self.members.is_own_listed()
    }

    pub(super) fn on_leases(
        &mut self,
        now: Moment,
        result: Result<Vec<(LeaseRow, u64)>, PlatformError>,
    ) {
        let rows = match result {
            Ok(rows) => rows,
            Err(error) => {
                self.note_failure("leases", &error);
                self.timers.leases.finish();
                return;
            }
        };
        self.note_response(now);
        self.leases_read = Some(now);
        for row in self.leases.note_rows(now, rows) {
            self.on_loss(&row);
        }
        self.load_orders();
        let candidates = self.members.lease_candidates(now, self.presence());
        let orders = &self.orders;
        let members = &self.members;
        let ops = self.leases.plan(&PlanInput {
            now,
            candidates: &candidates,
            shutting_down: self.shutdown_started.is_some(),
            busy: &|shard| orders.is_busy(shard),
            is_gone: &|name, boot| members.is_gone(now, name, boot),
        });
        self.lease_writes = ops.len();
        if ops.is_empty() {
            self.timers.leases.finish();
        }
        for op in ops {
            self.write_leases(op);
        }
    }

    fn write_leases(&self, op: LeaseOp) {
        let table = self.platform.table();
        self.workers.leases.run(move || {
            let checks =
                op.rows.iter().map(|(row, version)| require(&lease_key(row.shard), *version));
            let writes = op.rows.iter().map(|(row, _)| put_row(&lease_key(row.shard), row));
            let (checks, writes) = (checks.collect(), writes.collect());
            let sent = BootClock.now();
            let outcome = table.transact(Purpose::Lease, checks, writes);
            Event::LeaseWritten(LeaseWrite { op, sent, outcome })
        });
    }

    pub(super) fn on_lease_written(&mut self, now: Moment, write: LeaseWrite) {
        self.lease_writes = self.lease_writes.saturating_sub(1);
        if self.lease_writes == 0 {
            self.timers.leases.finish();
        }
        let LeaseWrite { op, sent, outcome } = write;
        match outcome {
            Ok(Outcome::Committed(rows)) => {
                self.note_response(now);
                let versions: BTreeMap<u32, u64> = rows
                    .iter()
                    .filter_map(|row| {
                        Some((row.key.strip_prefix("lease/")?.parse().ok()?, row.version))
                    })
                    .collect();
                self.leases.note_committed(sent, &op, &versions);
                self.on_lease_op(&op);
            }
            // Another instance wrote first, or the outcome is unknown: read the rows again at once.
            Ok(Outcome::Conflict(_) | Outcome::Unknown(_)) => self.timers.leases.make_due(),
            Err(error) => self.note_failure("lease write", &error),
        }
    }

    fn on_lease_op(&mut self, op: &LeaseOp) {
        for (row, _) in &op.rows {
            match op.kind {
                LeaseOpKind::Take => {
                    metrics::counter!("agatestair_leases_taken_total").increment(1);
                    log_event!(self.log, LEASE_TAKEN, "shard" => row.shard, "epoch" => row.epoch,
                        "fencing" => row.fencing, "former" => row.former.len());
                }
                LeaseOpKind::Release => {
                    self.orders.drop_shard(row.shard);
                    log_event!(self.log, LEASE_RELEASED, "shard" => row.shard, "epoch" => row.epoch);
                }
                LeaseOpKind::Renew => {}
                LeaseOpKind::Acknowledge => self.send_loss(row),
            }
        }
        if op.kind == LeaseOpKind::Take {
            self.load_orders();
        }
    }

    /// Reads the order rows if a lease was taken since they were last read.
    fn load_orders(&mut self) {
        let epochs = self.leases.without_orders();
        if epochs.is_empty() || self.loading_orders {
            return;
        }
        self.loading_orders = true;
        let platform = self.platform.clone();
        self.workers.leases.run(move || Event::Orders(epochs, read_orders(&platform)));
    }

    fn on_loss(&mut self, row: &LeaseRow) {
        metrics::counter!("agatestair_leases_lost_total").increment(1);
        log_event!(self.log, LEASE_LOST, "shard" => row.shard, "holder" => &row.holder,
            "epoch" => row.epoch);
        self.orders.drop_shard(row.shard);
    }

    /// Tells the new holder that this instance knows that it lost the lease.
    fn send_loss(&self, row: &LeaseRow) {
        let epoch = row.epoch.saturating_sub(1);
        let loss = LeaseLoss { epoch, holder: self.own.to_string(), shard: row.shard };
        self.peers.send_to(&row.holder, LinkMessage::Loss(loss));
    }
}
