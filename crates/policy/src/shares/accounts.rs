//! Accounts of the engine time that each plan uses at one entry against its share.

use std::time::Duration;

use crate::moment::Moment;

/// Time after which a grant expires if it is not renewed.
pub(crate) const GRANT_LIFETIME: Duration = Duration::from_secs(2);

/// Greatest credit of a plan, in seconds at its rate.
const BURST_SECS: f64 = 1.0;

/// Greatest debt of a plan from borrowing, in seconds at its rate.
const DEBT_SECS: f64 = 0.5;

/// Token bucket for prefill or decode, in seconds of engine time.
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

/// Account of one plan at one entry, with separate buckets for prefill and decode.
#[derive(Clone, Debug, Default)]
pub(crate) struct Account {
    prefill: Bucket,
    decode: Bucket,
    /// Share of the plan's allowance granted to this entry.
    share: f64,
    granted: Option<Moment>,
    refilled: Moment,
}

/// How the fleet's engine time is currently split between prefill and decode.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefillSplit {
    /// Fraction of the engine time for prefill, between 0 and 1.
    pub(crate) prefill: f64,
    /// Whether prefill and decode run on separate engines.
    pub(crate) separate: bool,
}

impl Account {
    /// Sets the share of a new grant.
    pub(crate) fn grant(&mut self, now: Moment, share: f64) {
        self.share = share.clamp(0.0, 1.0);
        self.granted = Some(now);
    }

    /// The current share: the granted one, or `fallback` if no grant is in force.
    pub(crate) fn share(&self, now: Moment, fallback: f64) -> f64 {
        let fresh = self.granted.is_some_and(|at| now.since(at) < GRANT_LIFETIME);
        if fresh { self.share } else { fallback }
    }

    /// Adds the credit earned since the last call at `rate` seconds of engine time per second.
    pub(crate) fn refill(&mut self, now: Moment, rate: f64, split: PrefillSplit) {
        let secs = now.since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.prefill.refill(secs, rate * split.prefill);
        self.decode.refill(secs, rate * (1.0 - split.prefill));
    }

    /// Charges prefill and decode time, in seconds; negative amounts are refunds.
    pub(crate) fn draw(&mut self, prefill: f64, decode: f64) {
        self.prefill.draw(prefill);
        self.decode.draw(decode);
    }

    /// Charges engine time that uses idle shares of other plans. The debt from it is bounded, so
    /// that it is repaid soon.
    pub(crate) fn borrow(&mut self, prefill: f64, decode: f64) {
        self.prefill.borrow(prefill);
        self.decode.borrow(decode);
    }

    /// Whether the plan is within its share, that is, has credit left.
    pub(crate) fn within(&self, split: PrefillSplit) -> bool {
        if split.separate {
            self.prefill.credit > 0.0 && self.decode.credit > 0.0
        } else {
            self.prefill.credit + self.decode.credit > 0.0
        }
    }
}
