//! Leases on shards of endpoints: the lease rows as last read, and the leases this instance holds.
//!
//! The table stores no timestamps. An instance may take a lease after it has seen the row unchanged
//! for the whole lease duration by its own clock. The holder measures the duration from before it
//! sent its last renewal, on a clock that keeps running while the machine is suspended, and stops a
//! margin before expiry. It therefore always stops before another instance can take over, whatever
//! the offset between the clocks.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_policy::assign::assign_evenly;
use agatestair_schema::lists::{FormerHolder, LeaseRow};

/// Minimum time between two leases that an instance releases for balance.
const HANDOVER_INTERVAL: Duration = Duration::from_secs(2);

/// Time for which the candidates must stay unchanged before this instance takes leases.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Number of shards and timing of the leases.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSettings {
    /// Number of shards.
    pub shards: u32,
    /// Duration of a lease.
    pub duration: Duration,
    /// Time before expiry at which the holder stops; `None` (tests only) if it never stops.
    pub margin: Option<Duration>,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            shards: 8,
            duration: Duration::from_secs(6),
            margin: Some(Duration::from_millis(1500)),
        }
    }
}

/// A lease that this instance holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// Epoch; it rises by one with each new holder.
    pub epoch: u64,
    /// Fencing number that goes into each order under this lease.
    pub fencing: u64,
    /// Time from which no order may be sent.
    pub deadline: Moment,
    /// Sequence number of the last order.
    pub sequence: u64,
    /// Whether the order rows were read after the lease was taken.
    pub orders_loaded: bool,
}

/// State of one shard's lease.
#[derive(Clone, Debug, Default)]
pub struct ShardLease {
    /// Row as last read or written; `None` if it was never read.
    pub row: Option<LeaseRow>,
    /// Version of the row; 0 if there is none.
    pub version: u64,
    /// When this version of the row was first seen.
    pub unchanged_since: Moment,
    /// The lease, if this instance holds it.
    pub held: Option<HeldLease>,
}

/// A transaction on lease rows.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseOp {
    /// Purpose.
    pub kind: LeaseOpKind,
    /// New rows, each with the version that it replaces.
    pub rows: Vec<(LeaseRow, u64)>,
}

/// Purpose of a [`LeaseOp`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseOpKind {
    /// Confirm as former holder that a lease is lost.
    Acknowledge,
    /// Release a lease.
    Release,
    /// Renew all held leases.
    Renew,
    /// Take a lease.
    Take,
}

/// Input of [`LeaseBook::plan`].
pub struct PlanInput<'a> {
    /// Current time.
    pub now: Moment,
    /// Instances that leases are spread over, sorted by name.
    pub candidates: &'a [Arc<str>],
    /// Whether this process is shutting down.
    pub shutting_down: bool,
    /// Whether a call to an engine of this shard is in flight.
    pub busy: &'a dyn Fn(u32) -> bool,
    /// Whether a run of an instance, given by name and boot identifier, is gone.
    pub is_gone: &'a dyn Fn(&str, &str) -> bool,
}

/// Leases of all shards.
pub struct LeaseBook {
    settings: LeaseSettings,
    own: Arc<str>,
    boot: Arc<str>,
    shards: Vec<ShardLease>,
    candidates: Vec<Arc<str>>,
    stable_since: Moment,
    last_handover: Option<Moment>,
}

impl LeaseBook {
    /// Creates a book without rows or held leases, for run `boot` of instance `own`.
    pub fn new(settings: LeaseSettings, own: Arc<str>, boot: Arc<str>) -> Self {
        let shards = (0..settings.shards).map(|_| ShardLease::default()).collect();
        Self {
            settings,
            own,
            boot,
            shards,
            candidates: Vec::new(),
            stable_since: Moment(0),
            last_handover: None,
        }
    }

    /// All shards by number.
    pub fn shards(&self) -> &[ShardLease] {
        &self.shards
    }

    /// The held lease of a shard, if an order may be sent under it now.
    ///
    /// If `acknowledged` is set, returns `None` while a former holder may not know that it lost the
    /// lease.
    pub fn usable(
        &mut self,
        now: Moment,
        shard: u32,
        acknowledged: bool,
    ) -> Option<&mut HeldLease> {
        let shard = self.shards.get_mut(shard as usize)?;
        let former = shard.row.as_ref().map_or(0, |row| row.former.len());
        if acknowledged && former > 0 {
            return None;
        }
        shard.held.as_mut().filter(|held| held.orders_loaded && now < held.deadline)
    }

    /// Whether any held lease has not reached its deadline.
    pub fn holds_any(&self, now: Moment) -> bool {
        let held = self.shards.iter().filter_map(|shard| shard.held.as_ref());
        held.into_iter().any(|held| now < held.deadline)
    }

    /// Drops a held lease after an engine refused an order as stale.
    pub fn invalidate(&mut self, shard: u32) {
        if let Some(shard) = self.shards.get_mut(shard as usize) {
            shard.held = None;
        }
    }

    /// Whether this instance holds the lease of a shard.
    pub fn holds(&self, shard: u32) -> bool {
        self.shards.get(shard as usize).is_some_and(|shard| shard.held.is_some())
    }

    /// Requires the order rows to be read again before the next order.
    pub fn reload_orders(&mut self, shard: u32) {
        let shard = self.shards.get_mut(shard as usize);
        if let Some(held) = shard.and_then(|shard| shard.held.as_mut()) {
            held.orders_loaded = false;
        }
    }

    /// Records that the order rows were read after these leases (shard, epoch) were taken.
    pub fn note_orders_loaded(&mut self, epochs: &[(u32, u64)]) {
        for (shard, epoch) in epochs {
            let held = self.shards.get_mut(*shard as usize).and_then(|s| s.held.as_mut());
            if let Some(held) = held.filter(|held| held.epoch == *epoch) {
                held.orders_loaded = true;
            }
        }
    }

    /// Held leases (shard, epoch) whose order rows have not been read yet.
    pub fn without_orders(&self) -> Vec<(u32, u64)> {
        let held =
            self.shards.iter().zip(0..).filter_map(|(s, index)| Some((index, s.held.as_ref()?)));
        held.filter(|(_, held)| !held.orders_loaded)
            .map(|(index, held)| (index, held.epoch))
            .collect()
    }

    /// Updates the shards from the rows read; returns the rows that show a lease as lost.
    pub fn note_rows(&mut self, now: Moment, rows: Vec<(LeaseRow, u64)>) -> Vec<LeaseRow> {
        let mut losses = Vec::new();
        for (row, version) in rows {
            losses.extend(self.note_row(now, row, version));
        }
        losses
    }

    fn note_row(&mut self, now: Moment, row: LeaseRow, version: u64) -> Option<LeaseRow> {
        let own_row = *row.holder == *self.own && *row.boot == *self.boot && !row.released;
        let shard = self.shards.get_mut(row.shard as usize)?;
        if version < shard.version {
            return None;
        }
        if version != shard.version {
            shard.unchanged_since = now;
        }
        let lost = shard.held.as_ref().is_some_and(|held| !own_row || held.epoch != row.epoch);
        if lost {
            shard.held = None;
        }
        if own_row && shard.held.is_none() {
            shard.held = Some(new_held_lease(&row, Moment(0)));
        }
        shard.version = version;
        shard.row = Some(row.clone());
        lost.then_some(row)
    }

    /// Applies a committed transaction; `sent` is a time from before it was sent.
    pub fn note_committed(&mut self, sent: Moment, op: &LeaseOp, versions: &BTreeMap<u32, u64>) {
        for (row, before) in &op.rows {
            let deadline = self.deadline(sent);
            let Some(shard) = self.shards.get_mut(row.shard as usize) else {
                continue;
            };
            shard.version = versions.get(&row.shard).copied().unwrap_or(before + 1);
            shard.row = Some(row.clone());
            shard.unchanged_since = sent;
            match op.kind {
                LeaseOpKind::Acknowledge => {}
                LeaseOpKind::Release => shard.held = None,
                LeaseOpKind::Take => shard.held = Some(new_held_lease(row, deadline)),
                LeaseOpKind::Renew => match &mut shard.held {
                    Some(held) if held.epoch == row.epoch => held.deadline = deadline,
                    _ => shard.held = Some(new_held_lease(row, deadline)),
                },
            }
        }
    }

    fn deadline(&self, sent: Moment) -> Moment {
        match self.settings.margin {
            Some(margin) => sent + self.settings.duration.saturating_sub(margin),
            None => Moment(u64::MAX),
        }
    }

    /// Removes a former holder that acknowledged its loss; the next renewal writes the change.
    pub fn note_acknowledged(&mut self, shard: u32, holder: &str, epoch: u64) {
        let shard = self.shards.get_mut(shard as usize).filter(|shard| shard.held.is_some());
        if let Some(row) = shard.and_then(|shard| shard.row.as_mut()) {
            row.former.retain(|former| former.holder != holder || former.epoch > epoch);
        }
    }

    /// Plans the next transactions.
    pub fn plan(&mut self, input: &PlanInput<'_>) -> Vec<LeaseOp> {
        if self.candidates != input.candidates {
            self.candidates = input.candidates.to_vec();
            self.stable_since = input.now;
        }
        let names: Vec<Arc<str>> =
            (0..self.settings.shards).map(|n| format!("shard-{n}").into()).collect();
        let owners = assign_evenly(&names, input.candidates);
        let mut renewals = Vec::new();
        let mut ops = Vec::new();
        for index in 0..self.shards.len() {
            let owner = owners.get(index).and_then(|owner| input.candidates.get(*owner));
            let is_preferred = owner.is_some_and(|owner| *owner == self.own);
            match self.plan_shard(input, index, is_preferred, owner.is_some()) {
                Some(op) if op.kind == LeaseOpKind::Renew => renewals.extend(op.rows),
                op => ops.extend(op),
            }
        }
        if !renewals.is_empty() {
            ops.insert(0, LeaseOp { kind: LeaseOpKind::Renew, rows: renewals });
        }
        ops
    }

    fn plan_shard(
        &mut self,
        input: &PlanInput<'_>,
        index: usize,
        is_preferred: bool,
        has_owner: bool,
    ) -> Option<LeaseOp> {
        let number = u32::try_from(index).unwrap_or(u32::MAX);
        let shard = &self.shards[index];
        let version = shard.version;
        let busy = (input.busy)(number);
        if shard.held.is_some() {
            let row = shard.row.as_ref()?;
            let balance = !is_preferred && has_owner && self.may_hand_over(input.now);
            if !busy && (input.shutting_down || balance) {
                self.last_handover = Some(input.now);
                let row = LeaseRow {
                    holder: String::new(),
                    released: true,
                    renewal: row.renewal + 1,
                    ..row.clone()
                };
                return Some(LeaseOp { kind: LeaseOpKind::Release, rows: vec![(row, version)] });
            }
            let former = unresolved_holders(&row.former, input.is_gone);
            let row = LeaseRow { former, renewal: row.renewal + 1, ..row.clone() };
            return Some(LeaseOp { kind: LeaseOpKind::Renew, rows: vec![(row, version)] });
        }
        if let Some(row) = shard.row.as_ref().filter(|row| !busy && self.is_former_holder(row)) {
            let row = LeaseRow { former: self.without_own(&row.former), ..row.clone() };
            return Some(LeaseOp { kind: LeaseOpKind::Acknowledge, rows: vec![(row, version)] });
        }
        let settled = input.now.since(self.stable_since) >= SETTLE_TIME;
        let row = (settled && !input.shutting_down && !busy)
            .then(|| self.take_row(input, number, is_preferred))??;
        Some(LeaseOp { kind: LeaseOpKind::Take, rows: vec![(row, version)] })
    }

    /// Whether this instance may release a lease for balance.
    fn may_hand_over(&self, now: Moment) -> bool {
        let interval_passed =
            self.last_handover.is_none_or(|at| now.since(at) >= HANDOVER_INTERVAL);
        interval_passed && now.since(self.stable_since) >= self.settings.duration
    }

    fn is_former_holder(&self, row: &LeaseRow) -> bool {
        row.former.iter().any(|former| self.is_own(former))
    }

    fn is_own(&self, former: &FormerHolder) -> bool {
        *former.holder == *self.own && *former.boot == *self.boot
    }

    fn without_own(&self, former: &[FormerHolder]) -> Vec<FormerHolder> {
        former.iter().filter(|former| !self.is_own(former)).cloned().collect()
    }

    /// The row that takes a shard's lease, or `None` if it must not be taken yet.
    ///
    /// Instances other than the preferred one wait one more lease duration.
    fn take_row(&self, input: &PlanInput<'_>, shard: u32, is_preferred: bool) -> Option<LeaseRow> {
        let known = &self.shards[shard as usize];
        let extra_wait = if is_preferred { Duration::ZERO } else { self.settings.duration };
        let unchanged = input.now.since(known.unchanged_since);
        let Some(row) = &known.row else {
            let free = is_preferred || input.now.since(self.stable_since) >= self.settings.duration;
            return free.then(|| self.first_row(shard));
        };
        let mut former = row.former.clone();
        let free = row.released || row.holder.is_empty();
        let gone = !free && (input.is_gone)(&row.holder, &row.boot);
        if free || gone {
            if unchanged < extra_wait {
                return None;
            }
        } else {
            if unchanged < self.settings.duration + extra_wait {
                return None;
            }
            former.push(FormerHolder {
                boot: row.boot.clone(),
                epoch: row.epoch,
                holder: row.holder.clone(),
            });
        }
        Some(LeaseRow {
            boot: self.boot.to_string(),
            epoch: row.epoch + 1,
            fencing: row.fencing + 1,
            former: unresolved_holders(&former, input.is_gone),
            holder: self.own.to_string(),
            released: false,
            renewal: row.renewal + 1,
            ..row.clone()
        })
    }

    fn first_row(&self, shard: u32) -> LeaseRow {
        LeaseRow {
            boot: self.boot.to_string(),
            epoch: 1,
            expires_ms: u64::try_from(self.settings.duration.as_millis()).unwrap_or(u64::MAX),
            fencing: 1,
            former: Vec::new(),
            holder: self.own.to_string(),
            released: false,
            renewal: 1,
            shard,
        }
    }
}

fn new_held_lease(row: &LeaseRow, deadline: Moment) -> HeldLease {
    HeldLease {
        epoch: row.epoch,
        fencing: row.fencing,
        deadline,
        sequence: 0,
        orders_loaded: false,
    }
}

/// Former holders whose run is not gone, so that they may not know of their loss.
fn unresolved_holders(
    former: &[FormerHolder],
    is_gone: &dyn Fn(&str, &str) -> bool,
) -> Vec<FormerHolder> {
    former.iter().filter(|former| !is_gone(&former.holder, &former.boot)).cloned().collect()
}

/// Shard of a service's endpoints.
///
/// All endpoints of a service are in one shard, so that a single holder plans all of their roles.
pub fn shard_of(service: &str, shards: u32) -> u32 {
    let names: Vec<String> = (0..shards).map(|number| format!("shard-{number}")).collect();
    let index = agatestair_policy::assign::owner(service, &names).unwrap_or(0);
    u32::try_from(index).unwrap_or(0)
}
