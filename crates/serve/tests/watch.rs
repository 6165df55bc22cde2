//! In a large fleet a few instances, the watchers, follow the store and send its changes to all.

mod support;

use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_policy::assign::name_hash;
use agatestair_policy::board::{Board, BoardSettings, EndpointFacts};
use agatestair_serve::{Changes, Cursor, EndpointList, Pacer, Rank, Row, TableUpdate, Watchers};
use googletest::prelude::*;

use self::support::endpoint_facts;

/// Length of one step of virtual time.
const STEP: Duration = Duration::from_millis(50);

/// Steps between two bulletins of a watcher.
const BULLETIN_STEPS: u64 = 5;

/// How the store responds to an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
enum StoreState {
    /// It answers every call.
    Answers,
    /// It accepts every call and never responds.
    Silent,
    /// It refuses every call.
    Refuses,
}

/// A failure that affects the most preferred instances, among them the watchers.
struct FailureCase {
    name: &'static str,
    fleet: usize,
    /// Number of affected instances, the most preferred ones first.
    affected: usize,
    /// How the store responds to them from then on; `None` if they end.
    store: Option<StoreState>,
    /// Time within which the store must have answered an instance again, in milliseconds.
    within_ms: u64,
}

/// Changes in the store must take effect within 3 s in a fleet of 80 and within 4 s in one of 300.
const FAILURES: [FailureCase; 8] = [
    FailureCase { name: "one ends", fleet: 300, affected: 1, store: None, within_ms: 1800 },
    FailureCase { name: "all end", fleet: 300, affected: 3, store: None, within_ms: 3300 },
    FailureCase {
        name: "half the fleet ends",
        fleet: 300,
        affected: 150,
        store: None,
        within_ms: 3300,
    },
    FailureCase {
        name: "all end, fleet of 80",
        fleet: 80,
        affected: 3,
        store: None,
        within_ms: 2300,
    },
    FailureCase {
        name: "store silent to all",
        fleet: 300,
        affected: 3,
        store: Some(StoreState::Silent),
        within_ms: 3300,
    },
    FailureCase {
        name: "store silent to all, fleet of 80",
        fleet: 80,
        affected: 3,
        store: Some(StoreState::Silent),
        within_ms: 2300,
    },
    FailureCase {
        name: "store refuses all",
        fleet: 300,
        affected: 3,
        store: Some(StoreState::Refuses),
        within_ms: 3300,
    },
    FailureCase {
        name: "store silent to two",
        fleet: 300,
        affected: 2,
        store: Some(StoreState::Silent),
        within_ms: 1800,
    },
];

struct Instance {
    rank: Rank,
    watchers: Watchers,
    /// Time of the store's last response to this instance.
    answered: Option<Moment>,
    store: StoreState,
    alive: bool,
    /// Random number from 0 to 1 that delays its decision to step in.
    draw: f64,
}

/// A fleet on a virtual clock.
struct Simulation {
    instances: Vec<Instance>,
    now: Moment,
    steps: u64,
}

impl Simulation {
    fn new(size: usize) -> Self {
        let instances = (0..size).map(|index| Instance {
            rank: Rank::new(120, name_hash(&format!("i{index}"))),
            watchers: Watchers::default(),
            answered: None,
            store: StoreState::Answers,
            alive: true,
            draw: index as f64 / size as f64,
        });
        let mut instances: Vec<Instance> = instances.collect();
        instances.sort_by_key(|instance| instance.rank);
        Self { instances, now: Moment(10_000_000), steps: 0 }
    }

    /// Advances by one step and returns the number of watchers.
    fn step(&mut self) -> usize {
        self.now = self.now + STEP;
        self.steps += 1;
        let ranks: Vec<(Rank, bool)> =
            self.instances.iter().map(|instance| (instance.rank, instance.alive)).collect();
        let now = self.now;
        let mut bulletins = Vec::new();
        for instance in self.instances.iter_mut().filter(|instance| instance.alive) {
            let own = instance.rank;
            // Members that have ended are still counted for a while.
            let others = ranks.iter().filter(|(rank, _)| *rank != own).map(|(rank, _)| *rank);
            if instance.watchers.decide(own, others, instance.draw, now) {
                if instance.store == StoreState::Answers {
                    instance.answered = Some(now);
                }
                if instance.store == StoreState::Refuses {
                    instance.answered = None;
                }
                bulletins.extend(instance.answered.map(|answered| (own, now.since(answered))));
            }
        }
        if self.steps.is_multiple_of(BULLETIN_STEPS) {
            for instance in self.instances.iter_mut().filter(|instance| instance.alive) {
                for (rank, age) in bulletins.iter().filter(|(rank, _)| *rank != instance.rank) {
                    instance.watchers.note(*rank, *age, now);
                }
            }
        }
        self.watching()
    }

    /// Number of watchers.
    fn watching(&self) -> usize {
        let watching = |instance: &&Instance| instance.alive && instance.watchers.watching();
        self.instances.iter().filter(watching).count()
    }

    /// Time of the store's last response to any instance that is alive.
    fn last_response(&self) -> Option<Moment> {
        let alive = self.instances.iter().filter(|instance| instance.alive);
        alive.filter_map(|instance| instance.answered).max()
    }
}

#[gtest]
fn three_instances_watch_the_store_in_a_stable_fleet() {
    for size in [30, 80, 300, 343] {
        let mut sim = Simulation::new(size);
        for _ in 0..40 {
            sim.step();
        }
        for _ in 0..200 {
            expect_that!(sim.step(), eq(3), "{size} instances");
        }
    }
}

#[gtest]
fn others_replace_failed_watchers_in_time() {
    for case in &FAILURES {
        let mut sim = Simulation::new(case.fleet);
        for _ in 0..100 {
            sim.step();
        }
        let failed_at = sim.now;
        for instance in &mut sim.instances[..case.affected] {
            match case.store {
                None => instance.alive = false,
                Some(store) => instance.store = store,
            }
        }
        let mut max_watching = 0;
        while sim.last_response().is_none_or(|answered| answered <= failed_at) {
            max_watching = max_watching.max(sim.step());
            let waited_ms = sim.now.since(failed_at).as_millis() as u64;
            assert_that!(waited_ms, le(case.within_ms), "{}", case.name);
        }
        // Surplus watchers stop as soon as they receive each other's bulletins.
        for _ in 0..40 {
            sim.step();
        }
        let ineffective = usize::from(case.store.is_some()) * case.affected;
        expect_that!(sim.watching(), le(3 + ineffective), "{}", case.name);
        expect_that!(
            max_watching,
            le(case.fleet / 4 + 3),
            "{}: too many instances call the store at once",
            case.name
        );
    }
}

fn row(key: &str, version: u64, value: Option<&str>) -> Row {
    let value = value.map(|value| value.as_bytes().to_vec());
    Row { key: key.into(), version, value }
}

/// An update received by an instance that knows all changes up to version 10.
struct UpdateCase {
    name: &'static str,
    since: u64,
    upto: u64,
    /// Versions of the rows in the update.
    versions: &'static [u64],
    /// Versions of the rows that are applied.
    applied: &'static [u64],
    /// Version up to which all changes are known afterwards.
    known: u64,
    /// Whether a change is known to be missing afterwards.
    behind: bool,
}

const UPDATES: [UpdateCase; 6] = [
    UpdateCase {
        name: "the next change",
        since: 10,
        upto: 13,
        versions: &[13],
        applied: &[13],
        known: 13,
        behind: false,
    },
    UpdateCase {
        name: "the sender knows of no change for longer",
        since: 4,
        upto: 13,
        versions: &[12, 13],
        applied: &[12, 13],
        known: 13,
        behind: false,
    },
    UpdateCase {
        name: "partly known",
        since: 4,
        upto: 13,
        versions: &[9, 13],
        applied: &[13],
        known: 13,
        behind: false,
    },
    UpdateCase {
        name: "an earlier change is missing",
        since: 11,
        upto: 13,
        versions: &[13],
        applied: &[],
        known: 10,
        behind: true,
    },
    UpdateCase {
        name: "a duplicate",
        since: 4,
        upto: 10,
        versions: &[9],
        applied: &[],
        known: 10,
        behind: false,
    },
    UpdateCase {
        name: "an outdated update",
        since: 2,
        upto: 4,
        versions: &[3],
        applied: &[],
        known: 10,
        behind: false,
    },
];

#[gtest]
fn updates_are_applied_completely_and_in_order() {
    for case in &UPDATES {
        let mut cursor = Cursor::default();
        let rows = vec![row("one", 10, Some("a"))];
        cursor.note_response(&Changes { rows, version: 10 }, true);
        let rows = case.versions.iter().map(|version| row("two", *version, None)).collect();
        let update = TableUpdate { since: case.since, upto: case.upto, rows };
        let applied = cursor.note_update(update, Moment(1));
        let applied: Vec<u64> = applied.iter().map(|row| row.version).collect();
        expect_that!(applied, eq(case.applied), "{}", case.name);
        expect_that!(cursor.known, some(eq(case.known)), "{}", case.name);
        expect_that!(cursor.behind().is_some(), eq(case.behind), "{}", case.name);
    }
}

#[gtest]
fn removals_before_a_full_read_are_not_missed() {
    // Row `x` was removed at version 8, which a full read at version 10 does not show.
    let full_read = |version| Changes { rows: vec![row("one", 3, Some("a"))], version };
    let mut sender = Cursor::default();
    sender.note_response(&full_read(10), true);
    expect_that!(sender.known, some(eq(3)), "the next call must return the removal");
    let response = Changes { rows: vec![row("x", 8, None), row("two", 12, None)], version: 12 };
    let update = sender.note_response(&response, false).expect("an update");
    let mut receiver = Cursor::default();
    receiver.note_response(&full_read(5), true);
    let applied = receiver.note_update(update, Moment(1));
    expect_that!(applied.iter().map(|row| row.version).collect::<Vec<_>>(), eq(&vec![8, 12]));
}

#[gtest]
fn an_instance_requests_changes_that_the_sender_of_an_update_may_have_missed() {
    // The sender did a full read because the store no longer had the earlier changes.
    let full_read = |version| Changes { rows: vec![row("one", 3, Some("a"))], version };
    let mut sender = Cursor::default();
    sender.reset();
    sender.note_response(&full_read(10), true);
    expect_that!(sender.known, some(eq(10)));
    let response = Changes { rows: vec![row("two", 12, None)], version: 12 };
    let update = sender.note_response(&response, false).expect("an update");
    let mut receiver = Cursor::default();
    receiver.note_response(&full_read(5), true);
    expect_that!(receiver.note_update(update.clone(), Moment(1)), is_empty());
    expect_that!(receiver.behind(), some(eq(Moment(1))));
    let response = Changes { rows: vec![row("x", 8, None), row("two", 12, None)], version: 12 };
    receiver.note_response(&response, false);
    expect_that!(receiver.behind(), none());
    expect_that!(receiver.note_update(update, Moment(2)), is_empty());
}

#[gtest]
fn spans_without_changes_are_learned_from_peers() {
    let mut cursor = Cursor::default();
    cursor.note_response(&Changes { rows: vec![row("one", 10, Some("a"))], version: 10 }, true);
    // This instance may have missed a change between versions 10 and 20.
    cursor.note_span(20, 30);
    expect_that!(cursor.known, some(eq(10)));
    cursor.note_span(7, 30);
    expect_that!(cursor.known, some(eq(30)));
    cursor.note_span(7, 25);
    expect_that!(cursor.known, some(eq(30)));
    cursor.note_tip(31, Moment(5));
    expect_that!(cursor.behind(), some(eq(Moment(5))));
}

#[gtest]
fn a_change_that_the_store_skipped_is_found_by_a_full_read() {
    let full_read = |version| Changes { rows: vec![row("one", 10, Some("a"))], version };
    let mut cursor = Cursor::default();
    cursor.note_response(&full_read(10), true);
    // A store that lost its history returns no change and continues after the skipped one.
    cursor.note_response(&Changes { rows: Vec::new(), version: 30 }, false);
    cursor.note_tip(20, Moment(1));
    expect_that!(cursor.behind(), some(eq(Moment(1))));
    expect_that!(cursor.may_have_skipped(), eq(true));
    // A full read from before the change does not help.
    cursor.note_response(&full_read(15), true);
    expect_that!(cursor.behind(), some(anything()));
    // A later one returns the change, or shows that it was a removal.
    cursor.note_response(&full_read(35), true);
    expect_that!(cursor.behind(), none());
    cursor.note_tip(20, Moment(2));
    expect_that!(cursor.behind(), none());
}

#[gtest]
fn news_is_ignored_before_the_first_full_read() {
    let mut cursor = Cursor::default();
    let update = TableUpdate { since: 0, upto: 5, rows: vec![row("one", 5, Some("a"))] };
    expect_that!(cursor.note_update(update, Moment(1)), is_empty());
    expect_that!(cursor.known, none());
}

/// What a watcher reports about the store before and after an entry disappears.
struct ContactCase {
    name: &'static str,
    /// Time from the store's recovery to the removal, in milliseconds; `None` without an outage.
    returned_ms: Option<u64>,
    /// Time from the removal to the store's next response to the watcher, in milliseconds.
    answered_ms: u64,
    kept_at_once: bool,
    kept_after: bool,
}

const CONTACTS: [ContactCase; 4] = [
    ContactCase {
        name: "no outage",
        returned_ms: None,
        answered_ms: 3000,
        kept_at_once: false,
        kept_after: false,
    },
    ContactCase {
        name: "expired, grace period over",
        returned_ms: Some(100),
        answered_ms: 3000,
        kept_at_once: true,
        kept_after: false,
    },
    ContactCase {
        name: "expired, within the grace period",
        returned_ms: Some(100),
        answered_ms: 1000,
        kept_at_once: true,
        kept_after: true,
    },
    ContactCase {
        name: "outage ended long ago",
        returned_ms: Some(5000),
        answered_ms: 3000,
        kept_at_once: false,
        kept_after: false,
    },
];

#[gtest]
fn expired_entries_get_a_grace_period_if_a_watcher_reports_an_outage() {
    for case in &CONTACTS {
        let mut board = Board::new(BoardSettings::default());
        let mut endpoint_list = EndpointList::default();
        let now = Moment(20_000_000);
        endpoint_list.upsert(&mut board, endpoint_facts("one", false));
        let returned = case.returned_ms.map(|ms| now - Duration::from_millis(ms));
        endpoint_list.note_peer_contact(now, returned);
        endpoint_list.remove(&mut board, "one", now);
        expect_that!(board.find("one").is_some(), eq(case.kept_at_once), "{}", case.name);
        endpoint_list.note_peer_contact(now + Duration::from_millis(case.answered_ms), returned);
        endpoint_list.expire(&mut board);
        expect_that!(board.find("one").is_some(), eq(case.kept_after), "{}", case.name);
    }
}

/// Rows that an instance sends to all others.
struct BurstCase {
    name: &'static str,
    link_mbps: f64,
    audience: usize,
    bytes: usize,
    /// Time until the rows are sent again, in milliseconds.
    repeat_ms: u64,
}

const BURSTS: [BurstCase; 4] = [
    BurstCase {
        name: "configuration",
        link_mbps: 200.0,
        audience: 294,
        bytes: 5700,
        repeat_ms: 120,
    },
    BurstCase {
        name: "sent again at the same time",
        link_mbps: 200.0,
        audience: 294,
        bytes: 5700,
        repeat_ms: 0,
    },
    BurstCase { name: "endpoint", link_mbps: 20.0, audience: 294, bytes: 300, repeat_ms: 120 },
    BurstCase {
        name: "largest datagram",
        link_mbps: 1000.0,
        audience: 342,
        bytes: 60_000,
        repeat_ms: 120,
    },
];

/// Time for which the bytes in a link's queue may occupy the link. A queue that holds 50 ms loses
/// the rest of a larger burst.
const MAX_QUEUE_MS: f64 = 20.0;

#[gtest]
fn rows_for_a_large_fleet_do_not_overflow_the_links_queue() {
    for case in &BURSTS {
        let start = Moment(1_000_000);
        let mut pacer = Pacer::default();
        // Time of the next datagram of each copy, and the number of its datagrams left.
        let repeat = start + Duration::from_millis(case.repeat_ms);
        let mut copies = [(start, case.audience), (repeat, case.audience)];
        let (mut queued, mut at) = (0.0, start);
        let bytes_per_ms = case.link_mbps * 125.0;
        while let Some(copy) = copies.iter_mut().filter(|copy| copy.1 > 0).min_by_key(|copy| copy.0)
        {
            let now = copy.0;
            let delay = pacer.delay(case.bytes, case.link_mbps, now);
            *copy = (now + delay, copy.1 - 1);
            // Datagrams are sent in the order of their times.
            let sent = (now + delay).max(at);
            let drained = sent.since(at).as_secs_f64() * 1000.0 * bytes_per_ms;
            queued = f64::max(queued - drained, 0.0) + case.bytes as f64;
            at = sent;
            assert_that!(queued / bytes_per_ms, le(MAX_QUEUE_MS), "{}", case.name);
        }
        let limit = Duration::from_millis(case.repeat_ms)
            + Duration::from_secs_f64((4 * case.audience * case.bytes) as f64 / bytes_per_ms / 1e3);
        expect_that!(at.since(start), le(limit + STEP), "{}: all are sent in time", case.name);
    }
}

/// What is known of an endpoint before a restore, the state that the restored store lists, and
/// whether the endpoint is open for work: after the reading, after 4.9 s and after 5 s.
struct HeldCase {
    name: &'static str,
    left: bool,
    known_leaving: bool,
    listed_leaving: bool,
    born: u64,
    open: [bool; 3],
}

const HELD: [HeldCase; 6] = [
    HeldCase {
        name: "as before",
        left: false,
        known_leaving: false,
        listed_leaving: false,
        born: 1,
        open: [true; 3],
    },
    HeldCase {
        name: "drains, the copy does not know it",
        left: false,
        known_leaving: true,
        listed_leaving: false,
        born: 1,
        open: [false; 3],
    },
    HeldCase {
        name: "drains, as the copy says",
        left: false,
        known_leaving: true,
        listed_leaving: true,
        born: 1,
        open: [false; 3],
    },
    HeldCase {
        name: "drained, started again",
        left: false,
        known_leaving: true,
        listed_leaving: false,
        born: 2,
        open: [true; 3],
    },
    HeldCase {
        name: "left",
        left: true,
        known_leaving: false,
        listed_leaving: false,
        born: 1,
        open: [false, false, true],
    },
    HeldCase {
        name: "left, started again",
        left: true,
        known_leaving: false,
        listed_leaving: false,
        born: 2,
        open: [true; 3],
    },
];

#[gtest]
fn an_entry_of_a_restored_store_does_not_open_an_endpoint_that_left() {
    for case in &HELD {
        let mut board = Board::new(BoardSettings::default());
        let mut endpoint_list = EndpointList::default();
        let now = Moment(20_000_000);
        endpoint_list.upsert(&mut board, endpoint_facts("one", case.known_leaving));
        if case.left {
            endpoint_list.remove(&mut board, "one", now);
        }
        endpoint_list.note_restored(now);
        let listed = endpoint_facts("one", case.listed_leaving);
        let listed = EndpointFacts { born: case.born, ..listed };
        endpoint_list.upsert_restored(&mut board, listed, 7, now);
        let mut open = Vec::new();
        for ms in [0, 4900, 5000] {
            endpoint_list.release(&mut board, now + Duration::from_millis(ms));
            open.push(board.find("one").is_some_and(|key| board.is_open(key)));
        }
        expect_that!(open, eq(&case.open.to_vec()), "{}", case.name);
    }
}

#[gtest]
fn a_held_entry_ends_with_its_row() {
    let mut board = Board::new(BoardSettings::default());
    let mut endpoint_list = EndpointList::default();
    let now = Moment(20_000_000);
    endpoint_list.upsert(&mut board, endpoint_facts("one", false));
    endpoint_list.remove(&mut board, "one", now);
    endpoint_list.upsert_restored(&mut board, endpoint_facts("one", false), 7, now);
    // Another reading shows the same row, and one of a later version that counts.
    expect_that!(endpoint_list.is_held("one", 7), eq(true));
    expect_that!(endpoint_list.is_held("one", 9), eq(false));
    endpoint_list.retain(&mut board, &[], now);
    let later = now + Duration::from_secs(60);
    expect_that!(endpoint_list.release(&mut board, later), is_empty());
    expect_that!(board.find("one"), none());
}
