//! What each plan has drawn at one entry, against its share.

use std::time::Duration;

use crate::moment::Moment;

/// Time after which a grant that is not renewed lapses.
pub(crate) const GRANT_LIFE: Duration = Duration::from_secs(2);

/// Credit that a plan keeps at most, in seconds of its rate.
const BURST_SECS: f64 = 1.0;

/// Debt that a plan carries at most, in seconds of its rate.
const DEBT_SECS: f64 = 0.5;

/// Credit of one kind of work, in seconds of engine time.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    credit: f64,
    rate: f64,
}

impl Bucket {
    fn refill(&mut self, secs: f64, rate: f64) {
        self.rate = rate;
        self.credit = (self.credit + rate * secs).min(rate * BURST_SECS);
    }

    fn draw(&mut self, work: f64) {
        self.credit -= work;
    }

    fn borrow(&mut self, work: f64) {
        let floor = self.credit.min(-self.rate * DEBT_SECS);
        self.credit = (self.credit - work).max(floor);
    }
}

/// Draw of one plan at one entry; prefill and decode are counted apart.
#[derive(Clone, Debug, Default)]
pub(crate) struct Account {
    prefill: Bucket,
    decode: Bucket,
    /// Share of the plan's allowance granted to this entry.
    share: f64,
    granted: Option<Moment>,
    refilled: Moment,
}

/// Part of each kind of work that the fleet does at present.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KindSplit {
    /// Part of the engines' time for prefill, between 0 and 1.
    pub(crate) prefill: f64,
    /// Whether no engine does both kinds.
    pub(crate) separate: bool,
}

impl Account {
    /// Takes over a grant.
    pub(crate) fn grant(&mut self, now: Moment, share: f64) {
        self.share = share.clamp(0.0, 1.0);
        self.granted = Some(now);
    }

    /// The share in force: the granted one, or `safe` when no grant is in force.
    pub(crate) fn share(&self, now: Moment, safe: f64) -> f64 {
        let fresh = self.granted.is_some_and(|at| now.since(at) < GRANT_LIFE);
        if fresh { self.share } else { safe }
    }

    /// Adds the credit earned since the last call at `rate` seconds of engine time a second.
    pub(crate) fn refill(&mut self, now: Moment, rate: f64, split: KindSplit) {
        let secs = now.since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.prefill.refill(secs, rate * split.prefill);
        self.decode.refill(secs, rate * (1.0 - split.prefill));
    }

    /// Draws engine time of both kinds, in seconds; negative amounts give back.
    pub(crate) fn draw(&mut self, prefill: f64, decode: f64) {
        self.prefill.draw(prefill);
        self.decode.draw(decode);
    }

    /// Draws engine time on idle shares of others, with a debt so bounded that it is soon paid.
    pub(crate) fn borrow(&mut self, prefill: f64, decode: f64) {
        self.prefill.borrow(prefill);
        self.decode.borrow(decode);
    }

    /// Whether the plan is within its share.
    pub(crate) fn within(&self, split: KindSplit) -> bool {
        if split.separate {
            self.prefill.credit > 0.0 && self.decode.credit > 0.0
        } else {
            self.prefill.credit + self.decode.credit > 0.0
        }
    }
}
