//! Limits on the memory that an instance uses for responses and on the bytes that it sends to
//! peers.

use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_serve::{BufferGuard, BufferLimit, TokenBucket, UNCOUNTED_BYTES};
use googletest::prelude::*;

const MEGABYTE: usize = 1024 * 1024;

/// A response that buffers bytes while ten others do the same.
struct BufferCase {
    name: &'static str,
    /// Bytes that each of the ten others tries to buffer.
    others: usize,
    /// Bytes that the response tries to buffer.
    wanted: usize,
    fits: bool,
}

const BUFFERS: [BufferCase; 4] = [
    BufferCase { name: "no others", others: 0, wanted: 16 * MEGABYTE, fits: true },
    BufferCase { name: "small others", others: UNCOUNTED_BYTES, wanted: 16 * MEGABYTE, fits: true },
    BufferCase { name: "large others", others: 8 * MEGABYTE, wanted: 16 * MEGABYTE, fits: false },
    BufferCase {
        name: "small response, large others",
        others: 8 * MEGABYTE,
        wanted: UNCOUNTED_BYTES,
        fits: true,
    },
];

#[gtest]
fn buffered_responses_stay_within_their_share_of_memory() {
    for case in &BUFFERS {
        // The smallest instances have 160 MB; a quarter of it may buffer responses.
        let total = BufferLimit::new(160.0);
        let mut others: Vec<BufferGuard> = (0..10).map(|_| BufferGuard::new(&total)).collect();
        for other in &mut others {
            other.set(case.others);
        }
        let mut buffer = BufferGuard::new(&total);
        expect_that!(buffer.set(case.wanted), eq(case.fits), "{}", case.name);
        expect_that!(total.bytes(), le(40 * MEGABYTE), "{}", case.name);
        drop((buffer, others));
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
        let mut bucket = TokenBucket::default();
        let allowed = (0..case.count).filter(|index| {
            let now = Moment(10_000_000 + index * 1_000_000 / case.count);
            bucket.take(case.bytes, case.mbps, now)
        });
        let name = format!("{} bytes at {} Mbit/s", case.bytes, case.mbps);
        expect_that!(allowed.count() as u64, eq(case.allowed), "{name}");
    }
    // Unused bytes accumulate for one second at most.
    let mut bucket = TokenBucket::default();
    bucket.take(0, 20.0, Moment(0));
    let later = Moment(0) + Duration::from_secs(60);
    expect_that!(bucket.take(500_000, 20.0, later), eq(true));
    expect_that!(bucket.take(1, 20.0, later), eq(false));
}
