//! Retry budget over all instances that needs no coordination between them.

use std::collections::VecDeque;
use std::time::Duration;

use crate::moment::Moment;

/// Length of the slots in which sends are counted.
const SLOT: Duration = Duration::from_millis(250);

/// Bound on retries.
#[derive(Clone, Copy, Debug)]
pub struct RetrySettings {
    /// Retries for each first send of this instance.
    pub ratio: f64,
    /// Additional retries per window, this instance's part.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self { ratio: 0.1, slack: 1.0, window: Duration::from_secs(10) }
    }
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    begin: Moment,
    firsts: f64,
    repeats: f64,
}

/// Counts first sends and retries to one service within a sliding window.
///
/// Each instance limits its retries to its own part of the slack plus a fraction of its own first
/// sends, so that the sum over all instances stays within the bound.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    slots: VecDeque<Slot>,
}

impl RetryBudget {
    /// Records a first send.
    pub fn note_first(&mut self, settings: &RetrySettings, now: Moment) {
        self.slot(settings, now).firsts += 1.0;
    }

    /// Spends one retry; spends nothing and returns `false` if none is left.
    pub fn spend(&mut self, settings: &RetrySettings, now: Moment) -> bool {
        self.spend_part(1.0, settings, now)
    }

    /// Like [`RetryBudget::spend`], from the first part of the budget only: the rest of it is kept.
    pub fn spend_part(&mut self, part: f64, settings: &RetrySettings, now: Moment) -> bool {
        self.slot(settings, now);
        // Of the oldest slot, only retries count: not all of its first sends need be in the window.
        let whole = self.slots.iter().filter(|slot| now.since(slot.begin) <= settings.window);
        let firsts: f64 = whole.map(|slot| slot.firsts).sum();
        let repeats: f64 = self.slots.iter().map(|slot| slot.repeats).sum();
        if repeats + 1.0 > part * (settings.slack + settings.ratio * firsts) {
            return false;
        }
        self.slot(settings, now).repeats += 1.0;
        true
    }

    /// Takes back a retry that was spent at this moment and not used.
    pub fn restore(&mut self, settings: &RetrySettings, now: Moment) {
        let slot = self.slot(settings, now);
        slot.repeats = (slot.repeats - 1.0).max(0.0);
    }

    fn slot(&mut self, settings: &RetrySettings, now: Moment) -> &mut Slot {
        // A slot is dropped only when all of it is outside the window.
        let kept = settings.window + SLOT;
        while self.slots.front().is_some_and(|slot| now.since(slot.begin) > kept) {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|slot| now.since(slot.begin) >= SLOT) {
            self.slots.push_back(Slot { begin: now, firsts: 0.0, repeats: 0.0 });
        }
        self.slots.back_mut().expect("a slot was pushed")
    }
}
