//! Bounds on what an instance holds and sends.

use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_serve::{Allowance, FREE_BYTES, Held, HeldTotal};
use googletest::prelude::*;

const MEGABYTE: usize = 1024 * 1024;

/// An answer that grows while others hold something.
struct HeldCase {
    name: &'static str,
    /// Bytes that each of ten others tries to hold.
    others: usize,
    /// Bytes of the answer.
    wanted: usize,
    fits: bool,
}

const HELD: [HeldCase; 4] = [
    HeldCase { name: "alone", others: 0, wanted: 16 * MEGABYTE, fits: true },
    HeldCase { name: "beside small ones", others: FREE_BYTES, wanted: 16 * MEGABYTE, fits: true },
    HeldCase {
        name: "beside large ones",
        others: 8 * MEGABYTE,
        wanted: 16 * MEGABYTE,
        fits: false,
    },
    HeldCase {
        name: "small beside large ones",
        others: 8 * MEGABYTE,
        wanted: FREE_BYTES,
        fits: true,
    },
];

#[gtest]
fn answers_share_a_bounded_part_of_the_memory() {
    for case in &HELD {
        // The smallest instances have 160 MB; a quarter of it is for answers.
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

/// Rows that are to be told to all others over one second.
struct LinkCase {
    mbps: f64,
    /// Bytes of one message to all.
    bytes: usize,
    /// Messages in the second.
    count: u64,
    /// Those that go out.
    told: u64,
}

const LINKS: [LinkCase; 4] = [
    // A configuration of 7 kB to 294 others.
    LinkCase { mbps: 20.0, bytes: 7_000 * 294, count: 12, told: 0 },
    LinkCase { mbps: 200.0, bytes: 7_000 * 294, count: 3, told: 3 },
    // An endpoint's row.
    LinkCase { mbps: 20.0, bytes: 300 * 294, count: 5, told: 5 },
    LinkCase { mbps: 20.0, bytes: 300 * 294, count: 50, told: 11 },
];

#[gtest]
fn rows_take_a_bounded_part_of_the_link() {
    for case in &LINKS {
        let mut allowance = Allowance::default();
        let told = (0..case.count).filter(|turn| {
            let now = Moment(10_000_000 + turn * 1_000_000 / case.count);
            allowance.take(case.bytes, case.mbps, now)
        });
        let name = format!("{} bytes at {} Mbit/s", case.bytes, case.mbps);
        expect_that!(told.count() as u64, eq(case.told), "{name}");
    }
    // What was not used is saved up for a second at most.
    let mut allowance = Allowance::default();
    allowance.take(0, 20.0, Moment(0));
    let later = Moment(0) + Duration::from_secs(60);
    expect_that!(allowance.take(500_000, 20.0, later), eq(true));
    expect_that!(allowance.take(1, 20.0, later), eq(false));
}
