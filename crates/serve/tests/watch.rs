//! A few instances of a large fleet follow the store and tell the others.

mod support;

use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_policy::assign::digest;
use agatestair_policy::board::{Board, BoardSettings};
use agatestair_serve::{Changes, Cursor, Fleet, Rank, Row, TableNews, Watchers};
use googletest::prelude::*;

use self::support::record;

/// Time between two bulletins, and the step in which a fleet is played.
const STEP: Duration = Duration::from_millis(50);
const BULLETIN_STEPS: u64 = 5;

/// How the watchers' store behaves towards an instance.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Reach {
    /// It answers.
    Answers,
    /// It holds every call and never answers.
    Silent,
    /// It refuses every call.
    Refuses,
}

/// What happens to the instances that follow the store first.
struct LossCase {
    name: &'static str,
    fleet: usize,
    /// Instances that it happens to, the most preferred ones first.
    struck: usize,
    /// Whether they end, or go on without the store.
    reach: Option<Reach>,
    /// Time within which another instance must have asked the store again, in milliseconds.
    within: u64,
}

/// The bounds on changes are 3 s in a fleet of 80 and 4 s in one of 300.
const LOSSES: [LossCase; 8] = [
    LossCase { name: "one ends", fleet: 300, struck: 1, reach: None, within: 1800 },
    LossCase { name: "all end", fleet: 300, struck: 3, reach: None, within: 3300 },
    LossCase { name: "half the fleet ends", fleet: 300, struck: 150, reach: None, within: 3300 },
    LossCase { name: "all end, grown", fleet: 80, struck: 3, reach: None, within: 2300 },
    LossCase {
        name: "store silent to all",
        fleet: 300,
        struck: 3,
        reach: Some(Reach::Silent),
        within: 3300,
    },
    LossCase {
        name: "store silent to all, grown",
        fleet: 80,
        struck: 3,
        reach: Some(Reach::Silent),
        within: 2300,
    },
    LossCase {
        name: "store refuses all",
        fleet: 300,
        struck: 3,
        reach: Some(Reach::Refuses),
        within: 3300,
    },
    LossCase {
        name: "store silent to two",
        fleet: 300,
        struck: 2,
        reach: Some(Reach::Silent),
        within: 1800,
    },
];

struct Instance {
    rank: Rank,
    watchers: Watchers,
    /// The store's last answer to this instance.
    answered: Option<Moment>,
    reach: Reach,
    alive: bool,
    draw: f64,
}

struct Fleets {
    instances: Vec<Instance>,
    now: Moment,
    steps: u64,
}

impl Fleets {
    fn new(size: usize) -> Self {
        let instances = (0..size).map(|index| Instance {
            rank: Rank::new(120, digest(&format!("i{index}"))),
            watchers: Watchers::default(),
            answered: None,
            reach: Reach::Answers,
            alive: true,
            draw: index as f64 / size as f64,
        });
        let mut instances: Vec<Instance> = instances.collect();
        instances.sort_by_key(|instance| instance.rank);
        Self { instances, now: Moment(10_000_000), steps: 0 }
    }

    /// Plays one step and returns how many instances follow the store.
    fn step(&mut self) -> usize {
        self.now = self.now + STEP;
        self.steps += 1;
        let ranks: Vec<(Rank, bool)> =
            self.instances.iter().map(|instance| (instance.rank, instance.alive)).collect();
        let now = self.now;
        let mut told = Vec::new();
        for instance in self.instances.iter_mut().filter(|instance| instance.alive) {
            let own = instance.rank;
            // Members that have ended count for a while.
            let others = ranks.iter().filter(|(rank, _)| *rank != own).map(|(rank, _)| *rank);
            if instance.watchers.decide(own, others, instance.draw, now) {
                if instance.reach == Reach::Answers {
                    instance.answered = Some(now);
                }
                if instance.reach == Reach::Refuses {
                    instance.answered = None;
                }
                told.extend(instance.answered.map(|answered| (own, now.since(answered))));
            }
        }
        if self.steps.is_multiple_of(BULLETIN_STEPS) {
            for instance in self.instances.iter_mut().filter(|instance| instance.alive) {
                for (rank, age) in told.iter().filter(|(rank, _)| *rank != instance.rank) {
                    instance.watchers.note(*rank, *age, now);
                }
            }
        }
        self.watching()
    }

    fn watching(&self) -> usize {
        let watching = |instance: &&Instance| instance.alive && instance.watchers.watching();
        self.instances.iter().filter(watching).count()
    }

    /// The store's last answer to an instance that still is in the fleet.
    fn last_answer(&self) -> Option<Moment> {
        let alive = self.instances.iter().filter(|instance| instance.alive);
        alive.filter_map(|instance| instance.answered).max()
    }
}

#[gtest]
fn three_instances_follow_the_store_in_a_calm_fleet() {
    for size in [30, 80, 300, 343] {
        let mut fleet = Fleets::new(size);
        for _ in 0..40 {
            fleet.step();
        }
        for _ in 0..200 {
            expect_that!(fleet.step(), eq(3), "{size} instances");
        }
    }
}

#[gtest]
fn others_step_in_before_the_bounds_on_changes_are_over() {
    for case in &LOSSES {
        let mut fleet = Fleets::new(case.fleet);
        for _ in 0..100 {
            fleet.step();
        }
        let struck = fleet.now;
        for instance in &mut fleet.instances[..case.struck] {
            match case.reach {
                None => instance.alive = false,
                Some(reach) => instance.reach = reach,
            }
        }
        let mut most = 0;
        while fleet.last_answer().is_none_or(|answered| answered <= struck) {
            most = most.max(fleet.step());
            let waited = fleet.now.since(struck).as_millis() as u64;
            assert_that!(waited, le(case.within), "{}", case.name);
        }
        // However many step in, most stand down as soon as they hear of each other.
        for _ in 0..40 {
            fleet.step();
        }
        let useless = usize::from(case.reach.is_some()) * case.struck;
        expect_that!(fleet.watching(), le(3 + useless), "{}", case.name);
        expect_that!(most, le(case.fleet / 4 + 3), "{}: calls in a rush", case.name);
    }
}

fn row(key: &str, version: u64, value: Option<&str>) -> Row {
    let value = value.map(|value| value.as_bytes().to_vec());
    Row { key: key.into(), version, value }
}

/// News that arrive at an instance that knows all changes up to version 10.
struct NewsCase {
    name: &'static str,
    since: u64,
    upto: u64,
    versions: &'static [u64],
    taken: &'static [u64],
    known: u64,
    behind: bool,
}

const NEWS: [NewsCase; 6] = [
    NewsCase {
        name: "the next change",
        since: 10,
        upto: 13,
        versions: &[13],
        taken: &[13],
        known: 13,
        behind: false,
    },
    NewsCase {
        name: "its sender knows no change since before",
        since: 4,
        upto: 13,
        versions: &[12, 13],
        taken: &[12, 13],
        known: 13,
        behind: false,
    },
    NewsCase {
        name: "known in part",
        since: 4,
        upto: 13,
        versions: &[9, 13],
        taken: &[13],
        known: 13,
        behind: false,
    },
    NewsCase {
        name: "a change before it is missing",
        since: 11,
        upto: 13,
        versions: &[13],
        taken: &[],
        known: 10,
        behind: true,
    },
    NewsCase {
        name: "a second copy",
        since: 4,
        upto: 10,
        versions: &[9],
        taken: &[],
        known: 10,
        behind: false,
    },
    NewsCase {
        name: "an old one",
        since: 2,
        upto: 4,
        versions: &[3],
        taken: &[],
        known: 10,
        behind: false,
    },
];

#[gtest]
fn news_are_taken_whole_and_in_order() {
    for case in &NEWS {
        let mut cursor = Cursor::default();
        let rows = vec![row("one", 10, Some("a"))];
        cursor.note_answer(&Changes { rows, version: 10 }, true);
        let rows = case.versions.iter().map(|version| row("two", *version, None)).collect();
        let news = TableNews { since: case.since, upto: case.upto, rows };
        let taken = cursor.note_news(news, Moment(1));
        let taken: Vec<u64> = taken.iter().map(|row| row.version).collect();
        expect_that!(taken, eq(case.taken), "{}", case.name);
        expect_that!(cursor.known, some(eq(case.known)), "{}", case.name);
        expect_that!(cursor.behind().is_some(), eq(case.behind), "{}", case.name);
    }
}

#[gtest]
fn removals_before_a_whole_reading_are_not_missed() {
    // Row `x` was removed at version 8, which a whole reading at version 10 does not show.
    let whole = |version| Changes { rows: vec![row("one", 3, Some("a"))], version };
    let mut sender = Cursor::default();
    sender.note_answer(&whole(10), true);
    expect_that!(sender.known, some(eq(3)), "the next call tells of the removal");
    let answer = Changes { rows: vec![row("x", 8, None), row("two", 12, None)], version: 12 };
    let news = sender.note_answer(&answer, false).expect("changes are news");
    let mut receiver = Cursor::default();
    receiver.note_answer(&whole(5), true);
    let taken = receiver.note_news(news, Moment(1));
    expect_that!(taken.iter().map(|row| row.version).collect::<Vec<_>>(), eq(&vec![8, 12]));
}

#[gtest]
fn an_instance_asks_for_changes_that_the_sender_of_news_may_not_know() {
    // The sender read the table whole since the store no longer had the changes before it.
    let whole = |version| Changes { rows: vec![row("one", 3, Some("a"))], version };
    let mut sender = Cursor::default();
    sender.forget();
    sender.note_answer(&whole(10), true);
    expect_that!(sender.known, some(eq(10)));
    let answer = Changes { rows: vec![row("two", 12, None)], version: 12 };
    let news = sender.note_answer(&answer, false).expect("changes are news");
    let mut receiver = Cursor::default();
    receiver.note_answer(&whole(5), true);
    expect_that!(receiver.note_news(news.clone(), Moment(1)), is_empty());
    expect_that!(receiver.behind(), some(eq(Moment(1))));
    let answer = Changes { rows: vec![row("x", 8, None), row("two", 12, None)], version: 12 };
    receiver.note_answer(&answer, false);
    expect_that!(receiver.behind(), none());
    expect_that!(receiver.note_news(news, Moment(2)), is_empty());
}

#[gtest]
fn quiet_times_are_known_without_a_call() {
    let mut cursor = Cursor::default();
    cursor.note_answer(&Changes { rows: vec![row("one", 10, Some("a"))], version: 10 }, true);
    // A change between 10 and 20 may be unknown here.
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
fn a_change_that_the_store_passed_over_is_read_whole() {
    let whole = |version| Changes { rows: vec![row("one", 10, Some("a"))], version };
    let mut cursor = Cursor::default();
    cursor.note_answer(&whole(10), true);
    // While its history is lost the store tells of no change, and goes on from after it.
    cursor.note_answer(&Changes { rows: Vec::new(), version: 30 }, false);
    cursor.note_tip(20, Moment(1));
    expect_that!(cursor.behind(), some(eq(Moment(1))));
    expect_that!(cursor.is_doubtful(), eq(true));
    // A reading from before the change brings nothing.
    cursor.note_answer(&whole(15), true);
    expect_that!(cursor.behind(), some(anything()));
    // A later one brings it, or shows that it was a removal.
    cursor.note_answer(&whole(35), true);
    expect_that!(cursor.behind(), none());
    cursor.note_tip(20, Moment(2));
    expect_that!(cursor.behind(), none());
}

#[gtest]
fn an_instance_that_has_read_nothing_yet_takes_no_news() {
    let mut cursor = Cursor::default();
    let news = TableNews { since: 0, upto: 5, rows: vec![row("one", 5, Some("a"))] };
    expect_that!(cursor.note_news(news, Moment(1)), is_empty());
    expect_that!(cursor.known, none());
}

/// What an instance hears of the store before and after an entry lapses.
struct HearsayCase {
    name: &'static str,
    /// Milliseconds before the removal at which the store came back, as a watcher says.
    returned: Option<u64>,
    /// Milliseconds after the removal at which the store answered the watcher again.
    answered: u64,
    kept_at_once: bool,
    kept_after: bool,
}

const HEARSAY: [HearsayCase; 4] = [
    HearsayCase {
        name: "no outage",
        returned: None,
        answered: 3000,
        kept_at_once: false,
        kept_after: false,
    },
    HearsayCase {
        name: "lapsed, time over",
        returned: Some(100),
        answered: 3000,
        kept_at_once: true,
        kept_after: false,
    },
    HearsayCase {
        name: "lapsed, time not over",
        returned: Some(100),
        answered: 1000,
        kept_at_once: true,
        kept_after: true,
    },
    HearsayCase {
        name: "outage long over",
        returned: Some(5000),
        answered: 3000,
        kept_at_once: false,
        kept_after: false,
    },
];

#[gtest]
fn lapsed_entries_get_time_by_what_others_say_of_the_store() {
    for case in &HEARSAY {
        let mut board = Board::new(BoardSettings::default());
        let mut fleet = Fleet::default();
        let now = Moment(20_000_000);
        fleet.upsert(&mut board, record("one", false));
        let returned = case.returned.map(|ms| now - Duration::from_millis(ms));
        fleet.hear_contact(now, returned);
        fleet.remove(&mut board, "one", now);
        expect_that!(board.find("one").is_some(), eq(case.kept_at_once), "{}", case.name);
        fleet.hear_contact(now + Duration::from_millis(case.answered), returned);
        fleet.expire(&mut board);
        expect_that!(board.find("one").is_some(), eq(case.kept_after), "{}", case.name);
    }
}
