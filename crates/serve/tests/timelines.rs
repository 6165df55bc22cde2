//! Instances that follow a store which is restored from copies, and tell each other of its changes.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_policy::board::BoardSettings;
use agatestair_serve::{
    Changes, Member, Node, NodeSettings, Row, Table, TableUpdate, Timeline, TimelineNews,
};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::sample::select;

const TABLE: Table = Table::Endpoints;

/// Keys of rows in the table.
const KEYS: [&str; 4] = ["a", "b", "c", "d"];

type Contents = BTreeMap<&'static str, Option<u64>>;

/// A store with one table; the value of a row is unique.
#[derive(Clone, Debug, Default)]
struct Store {
    /// Version and value of each row, removed ones included.
    rows: BTreeMap<&'static str, (u64, Option<u64>)>,
    version: u64,
    oldest: u64,
    timeline: u64,
    values: u64,
}

impl Store {
    fn write(&mut self, key: &'static str, removes: bool) {
        self.version += 1;
        self.values += 1;
        let value = (!removes).then_some(self.values);
        self.rows.insert(key, (self.version, value));
    }

    fn restore(&mut self, copy: &Self) {
        *self = Self { timeline: self.timeline + 1, values: self.values, ..copy.clone() };
    }

    /// The response to a call: all rows, or the changes after a version.
    fn respond(&self, after: Option<u64>) -> Option<Changes> {
        if after.is_some_and(|after| after < self.oldest || after > self.version) {
            return None;
        }
        let rows = self.rows.iter().map(|(key, (version, value))| Row {
            key: (*key).into(),
            version: *version,
            value: value.map(|value| value.to_string().into_bytes()),
        });
        let mut rows: Vec<Row> = match after {
            Some(after) => rows.filter(|row| row.version > after).collect(),
            None => rows.filter(|row| row.value.is_some()).collect(),
        };
        rows.sort_by_key(|row| row.version);
        Some(Changes { rows, version: self.version })
    }

    fn contents(&self) -> Contents {
        let live = self.rows.iter().filter(|(_, (_, value))| value.is_some());
        live.map(|(key, (_, value))| (*key, *value)).collect()
    }
}

/// A call of an instance whose response has not arrived yet.
#[derive(Clone, Debug)]
struct Pending {
    asked: Option<u64>,
    after: Option<u64>,
    named: u64,
    response: Option<Changes>,
}

/// What a watcher tells the others.
#[derive(Clone, Debug)]
struct Told {
    timeline: Option<u64>,
    tip: u64,
    span: (u64, u64),
    update: Option<TableUpdate>,
}

struct Instance {
    node: Node,
    rows: Contents,
    pending: Option<Pending>,
    updates: VecDeque<(Option<u64>, TableUpdate)>,
}

impl Instance {
    fn new(index: usize) -> Self {
        let own = Member {
            name: format!("i{index}").into(),
            domain: "a".into(),
            callers: ([127, 0, 0, 1], 1).into(),
            peers: ([127, 0, 0, 1], 2).into(),
            born: 1,
            weight: 1,
        };
        let retry = agatestair_policy::RetrySettings::default();
        let settings = NodeSettings { own, board: BoardSettings::default(), retry, draw: 0.5 };
        let (pending, updates) = (None, VecDeque::new());
        Self { node: Node::new(settings), rows: Contents::new(), pending, updates }
    }

    fn ask(&mut self, store: &Store) {
        let cursor = self.node.cursor(TABLE);
        let after = cursor.known.filter(|_| !cursor.may_have_skipped());
        let asked = self.node.timeline.current();
        let response = store.respond(after);
        self.pending = Some(Pending { asked, after, named: store.timeline, response });
    }

    fn receive(&mut self, now: Moment) {
        let Some(Pending { asked, after, named, response }) = self.pending.take() else { return };
        self.node.note_timeline(Some(named), now);
        let whole = after.is_none();
        if !self.node.timeline.admits(asked, Some(named), whole && response.is_some()) {
            return;
        }
        let timeline = self.node.timeline.current();
        let cursor = self.node.cursor(TABLE);
        let Some(changes) = response else { return cursor.reset() };
        let known = cursor.known;
        let update = cursor.note_response(&changes, whole);
        self.updates.extend(update.map(|update| (timeline, update)));
        if whole {
            self.rows.clear();
        }
        let news = |row: &Row| whole || known.is_none_or(|known| row.version > known);
        self.apply(changes.rows.into_iter().filter(news));
    }

    fn apply(&mut self, rows: impl Iterator<Item = Row>) {
        for row in rows {
            let key = KEYS.into_iter().find(|key| **key == *row.key).expect("a known key");
            let value = row.value.map(|value| String::from_utf8(value).expect("digits"));
            match value {
                Some(value) => self.rows.insert(key, value.parse().ok()),
                None => self.rows.remove(key),
            };
        }
    }

    fn tell(&mut self) -> Told {
        let timeline = self.node.timeline.current();
        let update = self.updates.pop_front().filter(|(of, _)| *of == timeline);
        let cursor = self.node.cursor(TABLE);
        let (tip, span) = (cursor.tip, cursor.span());
        Told { timeline, tip, span, update: update.map(|(_, update)| update) }
    }

    fn hear(&mut self, told: Told, now: Moment) {
        let Told { timeline, tip, span, update } = told;
        if self.node.note_peer_timeline(timeline, now) == TimelineNews::Former {
            return;
        }
        if let Some(update) = update {
            let rows = self.node.cursor(TABLE).note_update(update, now);
            self.apply(rows.into_iter());
        }
        let cursor = self.node.cursor(TABLE);
        cursor.note_span(span.0, span.1);
        cursor.note_tip(tip, now);
    }
}

/// One step of a history; instances are named by their index.
#[derive(Clone, Debug)]
enum Step {
    Write(&'static str, bool),
    Copy,
    Restore,
    Forget,
    Ask(usize),
    Receive(usize),
    Tell(usize),
    /// Delivers what was told to an instance, the oldest or the newest first.
    Hear(usize, bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (select(&KEYS[..]), any::<bool>()).prop_map(|(key, removes)| Step::Write(key, removes)),
        1 => Just(Step::Copy),
        2 => Just(Step::Restore),
        1 => Just(Step::Forget),
        5 => (0_usize..4).prop_map(Step::Ask),
        5 => (0_usize..4).prop_map(Step::Receive),
        4 => (0_usize..4).prop_map(Step::Tell),
        4 => ((0_usize..4), any::<bool>()).prop_map(|(index, newest)| Step::Hear(index, newest)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// However responses and bulletins of several timelines are delayed and cross, all instances
    /// end with the rows of the store.
    #[test]
    fn instances_agree_with_a_store_that_is_restored(
        steps in proptest::collection::vec(step(), 1..120),
        count in 1_usize..5,
    ) {
        let mut store = Store { timeline: 1, ..Store::default() };
        let mut copy = store.clone();
        let mut instances: Vec<Instance> = (0..count).map(Instance::new).collect();
        let mut told: Vec<VecDeque<Told>> = vec![VecDeque::new(); count];
        let mut now = Moment(1_000_000);
        for step in steps {
            now = now + Duration::from_millis(50);
            match step {
                Step::Write(key, removes) => store.write(key, removes),
                Step::Copy => copy = store.clone(),
                Step::Restore => store.restore(&copy.clone()),
                Step::Forget => store.oldest = store.version,
                Step::Ask(index) => instances[index % count].ask(&store),
                Step::Receive(index) => instances[index % count].receive(now),
                Step::Tell(index) => {
                    let news = instances[index % count].tell();
                    told.iter_mut().for_each(|queue| queue.push_back(news.clone()));
                }
                Step::Hear(index, newest) => {
                    let queue = &mut told[index % count];
                    let news = if newest { queue.pop_back() } else { queue.pop_front() };
                    if let Some(news) = news {
                        instances[index % count].hear(news, now);
                    }
                }
            }
        }
        for instance in &mut instances {
            // A response that is dropped or a full read that restarts the position needs more calls.
            for _ in 0..4 {
                now = now + Duration::from_millis(50);
                instance.ask(&store);
                instance.receive(now);
            }
            prop_assert_eq!(&instance.rows, &store.contents());
        }
    }
}

/// What responses name one after the other, and what is followed then.
struct NamedCase {
    name: &'static str,
    /// Timelines that responses name, and when, in seconds.
    named: &'static [(Option<u64>, u64)],
    current: Option<u64>,
    /// Number of restores that are seen.
    restores: usize,
}

const NAMED: [NamedCase; 9] = [
    NamedCase { name: "none", named: &[(None, 0), (None, 9)], current: None, restores: 0 },
    NamedCase { name: "one", named: &[(Some(3), 0), (Some(3), 9)], current: Some(3), restores: 1 },
    NamedCase { name: "next", named: &[(Some(3), 0), (Some(4), 1)], current: Some(4), restores: 2 },
    NamedCase { name: "jump", named: &[(Some(3), 0), (Some(9), 1)], current: Some(9), restores: 2 },
    NamedCase { name: "missing", named: &[(Some(3), 0), (None, 1)], current: Some(3), restores: 1 },
    NamedCase {
        name: "late",
        named: &[(Some(3), 0), (Some(2), 1), (Some(3), 2), (Some(2), 13), (Some(3), 14)],
        current: Some(3),
        restores: 1,
    },
    NamedCase {
        name: "replaced by a store that counts anew",
        named: &[(Some(9), 0), (Some(1), 1), (Some(1), 6), (Some(1), 11)],
        current: Some(1),
        restores: 2,
    },
    NamedCase {
        name: "largest",
        named: &[(Some(u64::MAX), 0), (Some(u64::MAX), 1)],
        current: Some(u64::MAX),
        restores: 1,
    },
    NamedCase { name: "zero", named: &[(Some(0), 0), (Some(1), 1)], current: Some(1), restores: 2 },
];

#[gtest]
fn a_timeline_begins_when_a_response_names_a_later_one() {
    for case in &NAMED {
        let mut timeline = Timeline::default();
        let mut restores = 0;
        for (named, seconds) in case.named {
            let now = Moment(0) + Duration::from_secs(*seconds);
            let news = timeline.note_response(*named, now);
            restores += usize::from(matches!(news, TimelineNews::Began { .. }));
        }
        expect_that!(timeline.current(), eq(case.current), "{}", case.name);
        expect_that!(restores, eq(case.restores), "{}", case.name);
    }
}

/// A timeline that an instance follows, the one that another names, and what that means.
struct PeerCase {
    own: Option<u64>,
    named: Option<u64>,
    news: TimelineNews,
}

const PEERS: [PeerCase; 6] = [
    PeerCase { own: None, named: None, news: TimelineNews::Current },
    PeerCase { own: None, named: Some(2), news: TimelineNews::Began { former: None } },
    PeerCase { own: Some(2), named: None, news: TimelineNews::Former },
    PeerCase { own: Some(2), named: Some(1), news: TimelineNews::Former },
    PeerCase { own: Some(2), named: Some(2), news: TimelineNews::Current },
    PeerCase { own: Some(2), named: Some(7), news: TimelineNews::Began { former: Some(2) } },
];

#[gtest]
fn a_peer_that_has_not_learned_of_a_restore_is_recognized() {
    for case in &PEERS {
        let mut timeline = Timeline::default();
        timeline.note_response(case.own, Moment(0));
        let news = timeline.note_peer(case.named);
        expect_that!(news, eq(case.news), "{:?}, {:?}", case.own, case.named);
    }
}

#[gtest]
fn a_reading_after_a_restore_is_spread_over_a_large_fleet() {
    for (count, max) in [(6_u64, 0), (77, 400), (342, 1800)] {
        let mut delays = Vec::new();
        for index in 0..=20_u64 {
            let mut instance = Instance::new(0);
            instance.node = Node::new(NodeSettings {
                own: Member { weight: 0, ..instance.node.own().0 },
                board: BoardSettings::default(),
                retry: agatestair_policy::RetrySettings::default(),
                draw: index as f64 / 20.0,
            });
            let now = Moment(1_000_000);
            for other in 1..=count {
                let member =
                    Member { name: format!("i{other}").into(), weight: 5, ..instance.node.own().0 };
                instance.node.members.note_heard(member, Default::default(), now);
            }
            delays.push(instance.node.restart_delay(now).as_millis());
        }
        expect_that!(delays.iter().max(), some(le(&max)), "{count}");
        let immediate = delays.iter().filter(|delay| **delay == 0).count();
        expect_that!(immediate == delays.len(), eq(count < 25), "{count}");
    }
}
