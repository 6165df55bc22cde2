//! Limits on the memory that an instance uses for answers and on the bytes that it sends to peers.

use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_serve::{Allowance, FREE_BYTES, Held, HeldTotal};
use googletest::prelude::*;

const MEGABYTE: usize = 1024 * 1024;

/// An answer that buffers bytes while ten others do the same.
struct HeldCase {
    name: &'static str,
    /// Bytes that each of the ten others tries to buffer.
    others: usize,
    /// Bytes that the answer tries to buffer.
    wanted: usize,
    fits: bool,
}

const HELD: [HeldCase; 4] = [
    HeldCase { name: "no others", others: 0, wanted: 16 * MEGABYTE, fits: true },
    HeldCase { name: "small others", others: FREE_BYTES, wanted: 16 * MEGABYTE, fits: true },
    HeldCase { name: "large others", others: 8 * MEGABYTE, wanted: 16 * MEGABYTE, fits: false },
    HeldCase {
        name: "small answer, large others",
        others: 8 * MEGABYTE,
        wanted: FREE_BYTES,
        fits: true,
    },
];

#[gtest]
fn buffered_answers_stay_within_their_share_of_memory() {
    for case in &HELD {
        // The smallest instances have 160 MB; a quarter of it may buffer answers.
        let total = HeldTotal::new(160.0);
        let mut others: Vec<Held> = (0..10).map(|_| Held::new(&total)).collect();
        for other in &mut others {
            other.set(case.others);
        }
        let mut held = Held::new(&total);
        expect_that!(held.set(case.wanted), eq(case.fits), "{}", case.name);
        expect_that!(total.bytes(), le(40 * MEGABYTE), "{}", case.name);
        drop((held, others));
        expect_that!(total.bytes(), eq(0), "{}", case.name);
    }
}

/// Messages that an instance tries to send to all peers within one second.
struct LinkCase {
    mbps: f64,
    /// Bytes of one message, summed over all peers.
    bytes: usize,
    /// Messages attempted in the second.
    count: u64,
    /// Messages that may be sent.
    allowed: u64,
}

const LINKS: [LinkCase; 4] = [
    // A configuration of 7 kB to 294 peers.
    LinkCase { mbps: 20.0, bytes: 7_000 * 294, count: 12, allowed: 0 },
    LinkCase { mbps: 200.0, bytes: 7_000 * 294, count: 3, allowed: 3 },
    // A row of one endpoint.
    LinkCase { mbps: 20.0, bytes: 300 * 294, count: 5, allowed: 5 },
    LinkCase { mbps: 20.0, bytes: 300 * 294, count: 50, allowed: 11 },
];

#[gtest]
fn row_updates_stay_within_their_share_of_the_link() {
    for case in &LINKS {
        let mut allowance = Allowance::default();
        let allowed = (0..case.count).filter(|index| {
            let now = Moment(10_000_000 + index * 1_000_000 / case.count);
            allowance.take(case.bytes, case.mbps, now)
        });
        let name = format!("{} bytes at {} Mbit/s", case.bytes, case.mbps);
        expect_that!(allowed.count() as u64, eq(case.allowed), "{name}");
    }
    // Unused bytes accumulate for one second at most.
    let mut allowance = Allowance::default();
    allowance.take(0, 20.0, Moment(0));
    let later = Moment(0) + Duration::from_secs(60);
    expect_that!(allowance.take(500_000, 20.0, later), eq(true));
    expect_that!(allowance.take(1, 20.0, later), eq(false));
}
