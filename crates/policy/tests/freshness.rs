//! Ages of proofs, measured on a clock that is mapped to the store's.

use std::time::Duration;

use agatestair_policy::{Freshness, Moment, Proof};
use googletest::prelude::*;
use proptest::prelude::{prop, prop_assert, proptest};

fn at(ms: u64) -> Moment {
    Moment::default() + Duration::from_millis(ms)
}

fn proof(row: u64, at_ms: u64) -> Proof {
    Proof { row, timeline: None, at_ms }
}

/// What an instance learns, with times of its own clock in milliseconds.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A call of its own, as store time, sent, received.
    Call(u64, u64, u64),
    /// A proof of another instance, as row, store time, arrival.
    Proof(u64, u64, u64),
}

#[derive(Debug)]
struct AgeCase {
    /// The failure that the case guards against.
    guards: &'static str,
    steps: &'static [Step],
    /// Time of the check.
    now: u64,
    /// Bounds of the age in milliseconds; `None` if there must be none.
    age: Option<[u64; 2]>,
}

const AGES: [AgeCase; 11] = [
    AgeCase {
        guards: "age of a slow answer counted from its arrival",
        steps: &[Step::Call(5000, 0, 900), Step::Proof(7, 5000, 900)],
        now: 900,
        age: Some([900, 910]),
    },
    AgeCase {
        guards: "a slow answer that replaces a close mapping",
        steps: &[Step::Call(5000, 0, 4), Step::Call(6000, 200, 1010), Step::Proof(7, 6000, 1010)],
        now: 1010,
        age: Some([10, 20]),
    },
    AgeCase {
        guards: "a suspended machine that takes its proof for young",
        steps: &[Step::Call(5000, 0, 2), Step::Proof(7, 5000, 2)],
        now: 60_000,
        age: Some([60_000, 60_300]),
    },
    AgeCase {
        guards: "age of a late datagram counted from its arrival",
        steps: &[Step::Call(5000, 0, 2), Step::Proof(7, 5100, 4000)],
        now: 4000,
        age: Some([3900, 3920]),
    },
    AgeCase {
        guards: "an older proof that replaces a newer one",
        steps: &[Step::Call(5000, 0, 2), Step::Proof(7, 5500, 600), Step::Proof(7, 5100, 700)],
        now: 700,
        age: Some([200, 210]),
    },
    AgeCase {
        guards: "an instance that never serves again after the store's clock began anew",
        steps: &[
            Step::Call(900_000, 0, 2),
            Step::Proof(7, 900_000, 2),
            Step::Call(10, 2000, 2002),
            Step::Proof(7, 10, 2002),
        ],
        now: 2002,
        age: Some([2, 10]),
    },
    AgeCase {
        guards: "a store clock that was restarted with a later time",
        steps: &[
            Step::Call(10, 0, 2),
            Step::Call(900_000, 2000, 2002),
            Step::Proof(7, 900_000, 2002),
        ],
        now: 2002,
        age: Some([2, 10]),
    },
    AgeCase {
        guards: "a late proof of the store clock's former run that hides those of the current one",
        steps: &[
            Step::Call(900_000, 0, 2),
            Step::Call(10, 2000, 2002),
            Step::Proof(7, 900_100, 2100),
            Step::Proof(7, 100, 2100),
        ],
        now: 2100,
        age: Some([10, 20]),
    },
    AgeCase {
        guards: "a proof from the future that looks young once the clock gets there",
        steps: &[Step::Call(5000, 0, 2), Step::Proof(7, 9000, 100)],
        now: 4100,
        age: None,
    },
    AgeCase {
        guards: "a proof dated by an unknown clock",
        steps: &[Step::Proof(7, 5000, 1), Step::Call(5000, 2, 3)],
        now: 3,
        age: None,
    },
    AgeCase {
        guards: "a proof of a newer row than the one that the instance serves by",
        steps: &[Step::Call(5000, 0, 2), Step::Proof(8, 5000, 2)],
        now: 2,
        age: None,
    },
];

#[gtest]
fn ages_follow_the_stores_clock() {
    for case in &AGES {
        let mut freshness = Freshness::default();
        freshness.note_row(7, None);
        for step in case.steps {
            match *step {
                Step::Call(ms, sent, received) => freshness.note_clock(ms, at(sent), at(received)),
                Step::Proof(row, ms, now) => drop(freshness.note_proof(proof(row, ms), at(now))),
            }
        }
        let age = freshness.age(at(case.now)).map(|age| age.as_millis() as u64);
        match case.age {
            Some([least, most]) => {
                expect_that!(age, some(all!(ge(least), le(most))), "{}", case.guards);
            }
            None => expect_that!(age, none(), "{}", case.guards),
        }
    }
}

/// Guards against a proof of another row or timeline that counts, or that ends an earlier one.
#[gtest]
fn a_proof_covers_its_row_and_older_ones() {
    let mut freshness = Freshness::default();
    expect_that!(freshness.note_proof(proof(1, 0), at(0)), eq(false), "no row is known");
    freshness.note_clock(5000, at(0), at(2));
    freshness.note_row(7, Some(3));
    for (row, timeline, covers) in
        [(8, Some(3), false), (7, None, false), (7, Some(4), false), (6, Some(3), true)]
    {
        let proof = Proof { row, timeline, at_ms: 5000 };
        expect_that!(freshness.note_proof(proof, at(2)), eq(covers), "{proof:?}");
    }
    // A newer row includes all earlier changes.
    freshness.note_row(9, Some(3));
    expect_that!(freshness.age(at(2)), some(lt(Duration::from_millis(10))));
}

proptest! {
    /// Guards against an age that is underestimated, whatever the delays of calls and datagrams, the
    /// drift of the store's clock and its restarts.
    #[test]
    fn an_age_is_never_underestimated(
        drift in -0.0009_f64..0.0009,
        start in 0_u64..1_000_000,
        steps in prop::collection::vec(
            (0_u64..8000, 0_u64..900, 0_u64..900, 0_u64..6000, 0_u8..20), 1..60),
    ) {
        let mut freshness = Freshness::default();
        freshness.note_row(1, None);
        // The store's clock shows `base` at the moment `began`, and is restarted at times.
        let (mut base, mut began, mut now) = (start, 0_u64, 0_u64);
        let show = |base: u64, began: u64, at: u64| {
            base + ((at - began) as f64 * (1.0 + drift)) as u64
        };
        let mut newest: Option<u64> = None;
        for (pause, there, back, late, kind) in steps {
            now += pause;
            if kind == 0 {
                // Datagrams of the former run are among the cases above.
                (base, began) = (if there % 2 == 0 { 0 } else { base + 100_000_000 }, now);
            } else if kind < 8 {
                let (handled, received) = (now + there, now + there + back);
                freshness.note_clock(show(base, began, handled), at(now), at(received));
                if kind < 5 {
                    freshness.note_proof(proof(1, show(base, began, handled)), at(received));
                    newest = newest.max(Some(handled));
                }
                now = received;
            } else {
                let handled = now.saturating_sub(late).max(began);
                freshness.note_proof(proof(1, show(base, began, handled)), at(now));
                newest = newest.max(Some(handled));
            }
            for later in [0, 1, 1000, 100_000] {
                let age = freshness.age(at(now + later));
                let least = newest.map(|newest| Duration::from_millis(now + later - newest));
                prop_assert!(age.is_none_or(|age| Some(age) >= least), "{age:?} of {least:?}");
            }
        }
    }
}
