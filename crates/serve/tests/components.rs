//! Tests of single components: event streams, routes, the member directory, expired endpoint
//! entries and datagrams.

mod support;

use std::future::Future;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use agatestair_policy::board::{Board, BoardSettings};
use agatestair_policy::{EndpointKey, Moment};
use agatestair_serve::{
    Bulletin, BulletinTable, BulletinUpdate, Configuration, Cursor, Datagram, Digest, DigestNews,
    DomainSums, EndpointList, EventSplitter, Hub, Identity, Limits, LoadChanges, Member,
    MemberState, Members, Node, NodeSettings, Pulse, PulseCrash, PulseCrashes, PulseLimit,
    PulseLimits, PulseLoad, PulseSurvival, PulseVerdict, Route, RouteKind, Service, TableState,
    Target, catch_panic, explain,
};
use googletest::prelude::*;
use proptest::prelude::*;

use self::support::endpoint_facts;

proptest! {
    /// However a stream is split into chunks, its bytes and its last event ID are preserved, and
    /// only whole events are passed on.
    #[test]
    fn only_whole_events_are_passed_on(
        count in 1_u32..20,
        cuts in proptest::collection::vec(0_usize..400, 0..20),
    ) {
        let text: String = (1..=count).map(|id| format!("id: {id}\r\ndata: piece {id}\n\r\n")).collect();
        let bytes = text.as_bytes();
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(bytes.len())).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let mut splitter = EventSplitter::default();
        let mut out = Vec::new();
        for pair in cuts.windows(2) {
            let whole = splitter.push(&bytes[pair[0]..pair[1]]).expect("events are small");
            prop_assert!(whole.is_empty() || whole.ends_with(b"\n\r\n"));
            out.extend_from_slice(&whole);
        }
        prop_assert_eq!(&out, bytes);
        prop_assert_eq!(splitter.last.clone(), Some(count.to_string()));
        prop_assert_eq!(splitter.events, u64::from(count));
        prop_assert!(splitter.take_rest().is_empty());
    }
}

#[gtest]
fn an_incomplete_event_is_held_back() {
    let mut splitter = EventSplitter::default();
    let whole = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda").expect("events are small");
    expect_that!(whole.as_ref(), eq(b"id: 1\ndata: a\n\n"));
    expect_that!(splitter.last.as_deref(), some(eq("1")));
    expect_that!(splitter.take_rest().as_ref(), eq(b"id: 2\nda"));
}

/// Identifiers of events before a resumption, and the first one after it.
struct ResumptionCase {
    before: &'static [&'static str],
    next: &'static str,
    continues: bool,
}

const RESUMPTIONS: [ResumptionCase; 10] = [
    ResumptionCase { before: &["1", "2", "3"], next: "4", continues: true },
    ResumptionCase { before: &["1", "2", "3"], next: "3", continues: false },
    ResumptionCase { before: &["1", "2", "3"], next: "1", continues: false },
    ResumptionCase { before: &["1", "2", "3"], next: "5", continues: false },
    ResumptionCase { before: &["11", "22", "33"], next: "44", continues: true },
    ResumptionCase { before: &["11", "22", "33"], next: "33", continues: false },
    // One event does not show by how much identifiers increase.
    ResumptionCase { before: &["1"], next: "3", continues: true },
    ResumptionCase { before: &["1"], next: "1", continues: false },
    ResumptionCase { before: &["a", "b"], next: "x", continues: true },
    ResumptionCase { before: &[], next: "7", continues: true },
];

#[gtest]
fn a_resumed_stream_continues_after_its_last_event() {
    for case in &RESUMPTIONS {
        let mut splitter = EventSplitter::default();
        for id in case.before {
            let event = format!("id: {id}\n\n");
            splitter.push(event.as_bytes()).expect("a stream in order");
        }
        splitter.push(b"id: 9").expect("an event that is not complete");
        splitter.resume();
        let first = format!(": comment\n\nid: {}\n\n", case.next);
        let pushed = splitter.push(first.as_bytes());
        expect_that!(pushed.is_ok(), eq(case.continues), "{:?}, {}", case.before, case.next);
        let last = if case.continues { Some(case.next) } else { case.before.last().copied() };
        expect_that!(splitter.last.as_deref(), eq(last), "{:?}, {}", case.before, case.next);
    }
}

#[gtest]
fn a_log_explains_one_request() {
    let log = "not a record\n\
        {\"msg\":\"attempt placed\",\"ts\":\"t1\",\"instance\":\"i\",\"event\":5020,\"request\":\"r1\",\"busy\":3}\n\
        {\"msg\":\"attempt placed\",\"ts\":\"t2\",\"instance\":\"i\",\"event\":5020,\"request\":\"r2\"}\n\
        {\"msg\":\"request answered\",\"ts\":\"t3\",\"instance\":\"i\",\"event\":5022,\"request\":\"r1\",\"cause\":null}\n";
    let mut out = Vec::new();
    let found = explain(log.as_bytes(), "r1", &mut out).expect("reading from memory succeeds");
    expect_that!(found, eq(2));
    let text = String::from_utf8(out).expect("the output is UTF-8");
    expect_that!(text, eq("t1 i 5020 attempt placed busy=3\nt3 i 5022 request answered\n"));
    let found =
        explain(log.as_bytes(), "r9", &mut Vec::new()).expect("reading from memory succeeds");
    expect_that!(found, eq(0));
}

fn route(name: &str, host: &str, prefix: &str, services: &[(&str, u32)]) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Once,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        max_gap: Duration::from_millis(100),
        rank: 0,
        targets: services
            .iter()
            .map(|(service, weight)| Target { service: (*service).into(), weight: *weight })
            .collect(),
        attempts: 1,
        public: false,
    }
}

struct RouteCase {
    host: &'static str,
    path: &'static str,
    route: Option<&'static str>,
}

const ROUTES: [RouteCase; 8] = [
    RouteCase { host: "a.example", path: "/x/1", route: Some("x") },
    RouteCase { host: "a.example", path: "/x/y/1", route: Some("xy") },
    RouteCase { host: "A.Example:80", path: "/x/y/", route: Some("xy") },
    RouteCase { host: "a.example", path: "/x/yy/1", route: Some("x") },
    RouteCase { host: "a.example", path: "/x", route: None },
    RouteCase { host: "a.example", path: "/z/1", route: None },
    RouteCase { host: "b.example", path: "/x/1", route: Some("other") },
    RouteCase { host: "c.example", path: "/x/1", route: None },
];

#[gtest]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("x", "a.example", "/x/", &[("s", 1)]),
        route("xy", "a.example", "/x/y/", &[("s", 1)]),
        route("other", "b.example", "/x/", &[("s", 1)]),
    ];
    let service = Service { name: "s".into(), connections: Some(1), engine: None, scaling: None };
    let services = vec![service];
    let configuration = Configuration::new(1, routes, services, Limits::default());
    for case in &ROUTES {
        let found = configuration.route(case.host, case.path).map(|route| route.name.to_string());
        expect_that!(found.as_deref(), eq(case.route), "{} {}", case.host, case.path);
    }
}

#[gtest]
fn requests_are_split_by_weight() {
    let route = route("x", "h", "/x/", &[("s", 90), ("t", 10), ("u", 0)]);
    let draws = (0..1000).map(|draw| f64::from(draw) / 1000.0);
    let targets: Vec<String> =
        draws.filter_map(|draw| route.target(draw).map(ToString::to_string)).collect();
    let count = |name: &str| targets.iter().filter(|service| *service == name).count();
    expect_that!((count("s"), count("t"), count("u")), eq((900, 100, 0)));
}

/// An endpoint's entry that disappears from the store, and whether the endpoint stays in use.
struct ExpiryCase {
    name: &'static str,
    /// Whether the store was unreachable just before.
    outage: bool,
    /// Whether the endpoint was already leaving.
    leaving: bool,
    /// Whether the entry is written again within the grace period.
    returns: bool,
    /// Whether the store responds after the grace period.
    responds: bool,
    kept_at_once: bool,
    kept_after: bool,
}

const EXPIRIES: [ExpiryCase; 5] = [
    ExpiryCase {
        name: "removed without an outage",
        outage: false,
        leaving: false,
        returns: false,
        responds: true,
        kept_at_once: false,
        kept_after: false,
    },
    ExpiryCase {
        name: "expired, written again in time",
        outage: true,
        leaving: false,
        returns: true,
        responds: true,
        kept_at_once: true,
        kept_after: true,
    },
    ExpiryCase {
        name: "expired, not written again",
        outage: true,
        leaving: false,
        returns: false,
        responds: true,
        kept_at_once: true,
        kept_after: false,
    },
    ExpiryCase {
        name: "expired, store unreachable again",
        outage: true,
        leaving: false,
        returns: false,
        responds: false,
        kept_at_once: true,
        kept_after: true,
    },
    ExpiryCase {
        name: "leaving before the outage",
        outage: true,
        leaving: true,
        returns: false,
        responds: true,
        kept_at_once: false,
        kept_after: false,
    },
];

#[gtest]
fn entries_that_expire_in_an_outage_get_a_grace_period() {
    for case in &EXPIRIES {
        let mut board = Board::new(BoardSettings::default());
        let mut endpoint_list = EndpointList::default();
        let start = Moment(1_000_000);
        endpoint_list.note_store_up(start);
        endpoint_list.upsert(&mut board, endpoint_facts("one", case.leaving));
        if case.outage {
            endpoint_list.note_store_down(start);
            endpoint_list.note_store_up(start + Duration::from_secs(5));
        }
        let back = start + Duration::from_secs(5);
        endpoint_list.remove(&mut board, "one", back + Duration::from_millis(100));
        expect_that!(board.find("one").is_some(), eq(case.kept_at_once), "{}", case.name);
        // The store is queried again exactly when the grace period ends, whatever the usual
        // duration of its long polls.
        let due = (case.outage && case.kept_at_once).then(|| Duration::from_millis(1900));
        expect_that!(
            endpoint_list.due(back + Duration::from_millis(100)),
            eq(due),
            "{}",
            case.name
        );
        if case.returns {
            endpoint_list.upsert(&mut board, endpoint_facts("one", false));
        }
        if case.responds {
            endpoint_list.note_store_up(back + Duration::from_secs(3));
        } else {
            endpoint_list.note_store_down(back + Duration::from_secs(1));
        }
        endpoint_list.expire(&mut board);
        expect_that!(board.find("one").is_some(), eq(case.kept_after), "{}", case.name);
    }
}

#[gtest]
fn an_entry_that_became_malformed_after_an_outage_gets_no_grace_period() {
    let mut board = Board::new(BoardSettings::default());
    let mut endpoint_list = EndpointList::default();
    endpoint_list.upsert(&mut board, endpoint_facts("one", false));
    endpoint_list.note_store_down(Moment(1));
    endpoint_list.note_store_up(Moment(2));
    expect_that!(endpoint_list.discard(&mut board, "one"), eq(true));
    expect_that!(board.find("one"), none());
    expect_that!(endpoint_list.due(Moment(3)), none());
    expect_that!(endpoint_list.discard(&mut board, "one"), eq(false));
}

#[gtest]
fn a_malformed_row_is_reported_once_until_it_is_mended_or_removed() {
    let mut cursor = Cursor::default();
    let (one, two) = ("one".into(), "two".into());
    let reported = |cursor: &mut Cursor| cursor.note_malformed(&one);
    expect_that!((reported(&mut cursor), reported(&mut cursor)), eq((true, false)));
    cursor.note_parsed("one");
    expect_that!(reported(&mut cursor), eq(true));
    cursor.retain_malformed(&["one".into()]);
    expect_that!(reported(&mut cursor), eq(false));
    cursor.retain_malformed(&[two]);
    expect_that!(reported(&mut cursor), eq(true));
}

fn member(name: &str, domain: &str, port: u16) -> Member {
    Member {
        name: name.into(),
        domain: domain.into(),
        callers: ([127, 0, 0, 1], port).into(),
        peers: ([127, 0, 0, 1], port + 1000).into(),
        born: 1,
        weight: 120,
    }
}

const READY: MemberState = MemberState { ready: true, leaving: false };

#[gtest]
fn the_directory_prefers_the_callers_domain_and_omits_leaving_instances() {
    let now = Moment(10_000_000);
    let mut members = Members::default();
    for (name, domain, port) in [("a1", "a", 1), ("a2", "a", 2), ("a3", "a", 3), ("b1", "b", 4)] {
        members.note_heard(member(name, domain, port), READY, now);
    }
    let ports = |members: &Members, domain: &str, now| {
        let addresses = members.addresses(domain, None, now);
        addresses.into_iter().map(|address| address.port()).collect::<Vec<u16>>()
    };
    expect_that!(ports(&members, "a", now), eq(&vec![1, 2, 3]));
    // A single instance may fail at any time, so instances of other domains are listed as well.
    expect_that!(ports(&members, "b", now), eq(&vec![1, 2, 3, 4]));
    let leaving = MemberState { ready: false, leaving: true };
    members.note_heard(member("a2", "a", 2), leaving, now);
    expect_that!(ports(&members, "a", now), eq(&vec![1, 3]));
    let later = now + Duration::from_secs(2);
    members.note_heard(member("a3", "a", 3), READY, later);
    expect_that!(ports(&members, "a", later), eq(&vec![3]));
}

#[gtest]
fn state_of_an_older_process_is_ignored() {
    let now = Moment(10_000_000);
    let mut members = Members::default();
    let newer = Member { born: 9, ..member("a1", "a", 7) };
    members.note_heard(newer, READY, now);
    expect_that!(members.note_heard(member("a1", "a", 1), READY, now), eq(false));
    members.note_row(member("a1", "a", 1), now);
    expect_that!(members.addresses("a", None, now)[0].port(), eq(7));
}

#[gtest]
fn an_instance_that_restarts_after_its_clock_was_set_back_is_accepted() {
    let now = Moment(10_000_000);
    let mut members = Members::default();
    let old = Member { born: 9000, ..member("a1", "a", 7) };
    members.note_heard(old, READY, now);
    let later = now + Duration::from_secs(1);
    let restarted = Member { born: 4000, ..member("a1", "a", 8) };
    expect_that!(members.note_heard(restarted, READY, later), eq(true));
    expect_that!(members.addresses("a", None, later)[0].port(), eq(8));
}

#[gtest]
fn three_instances_read_on_behalf_of_all() {
    let now = Moment(10_000_000);
    let names: Vec<String> = (0..40).map(|index| format!("i{index}")).collect();
    let readers = names.iter().filter(|own| {
        let mut members = Members::default();
        for name in names.iter().filter(|name| name != own) {
            members.note_heard(member(name, "a", 1), READY, now);
        }
        members.is_active_follower(own, now)
    });
    expect_that!(readers.count(), eq(3));
    expect_that!(Members::default().is_active_follower("alone", now), eq(true));
}

#[gtest]
fn two_instances_query_each_engine_at_any_fleet_size() {
    let now = Moment(10_000_000);
    for size in [30, 300] {
        let names: Vec<String> = (0..size).map(|index| format!("i{index}")).collect();
        let mut asked = [0; 40];
        for own in &names {
            let mut members = Members::default();
            for name in names.iter().filter(|name| *name != own) {
                members.note_heard(member(name, "a", 1), READY, now);
            }
            for (engine, asked) in asked.iter_mut().enumerate() {
                *asked += usize::from(members.should_query(own, engine as u64 * 7919, now));
            }
        }
        expect_that!(asked, eq([2; 40]), "{size} instances");
    }
}

#[gtest]
fn pulses_per_round_are_limited_at_any_fleet_size() {
    let now = Moment(10_000_000);
    for size in [8_u16, 80, 340] {
        let mut members = Members::default();
        for index in 0..size {
            members.note_heard(member(&format!("i{index}"), "a", index), READY, now);
        }
        let group = members.group("a", true);
        let sent: usize = (0..group.period * 10)
            .filter(|round| round.is_multiple_of(group.period))
            .map(|round| group.audience(round, now).len())
            .sum();
        let each = sent as f64 / (group.period * 10) as f64;
        expect_that!(each, le(24.0), "{size} instances");
        expect_that!(sent, eq(usize::from(size) * 10), "all of {size} must receive each pulse");
        // In a large fleet collectors forward the loads of instances, see `tests/collect.rs`.
        let rounds = if size < 24 { group.period } else { 3 };
        expect_that!(members.rounds("a"), eq(rounds));
        expect_that!(members.rounds("b"), eq(rounds));
    }
}

fn pulse() -> Pulse {
    let load = PulseLoad {
        endpoint: 7,
        attempts: 1,
        unread: 2,
        context: 3,
        output: 4,
        pace: 250,
        age_ms: 20,
    };
    let identity = Identity {
        name: "i1".to_owned(),
        domain: "a".to_owned(),
        callers: ([127, 0, 0, 1], 80).into(),
        peers: ([127, 0, 0, 1], 81).into(),
        born: 5,
        weight: 250,
    };
    Pulse {
        crashes: None,
        sender: 4,
        identity: Some(identity),
        ready: true,
        leaving: false,
        version: 9,
        loads: vec![load; 30],
        reads: vec![(7, 8, 900); 10],
        leavers: vec![(3, 5)],
        limits: Some(PulseLimits {
            changes: vec![
                PulseLimit { endpoint: 3, born: 5, rate: Some(6400), age_ms: 17 },
                PulseLimit { endpoint: 4, born: 5, rate: None, age_ms: 0 },
            ],
            weights: vec![(9, 15)],
        }),
    }
}

proptest! {
    /// Decoding a corrupted or truncated datagram never panics.
    #[test]
    fn corrupted_datagrams_do_not_panic(
        at in 0_usize..1200,
        value in any::<u8>(),
        length in 0_usize..1200,
    ) {
        let mut bytes = Datagram::Pulse(pulse()).encode().expect("the datagram fits");
        let at = at % bytes.len();
        bytes[at] = value;
        bytes.truncate(length.max(1));
        drop(Datagram::try_from(bytes.as_slice()));
    }
}

/// Rate of a link that fits all, in megabits per second.
const FAST_MBPS: f64 = 1000.0;

/// Hashes: few, so that some occur several times, or any.
fn hashes(few: u64) -> impl Strategy<Value = u64> + Clone {
    prop_oneof![0..few, any::<u64>()]
}

fn loads(few: u64) -> impl Strategy<Value = Vec<PulseLoad>> {
    let numbers = (any::<u32>(), any::<u32>(), any::<u16>());
    let load = (hashes(few), numbers).prop_map(|(endpoint, (attempts, unread, pace))| PulseLoad {
        endpoint,
        attempts,
        unread,
        context: unread / 2,
        output: attempts / 3,
        pace,
        age_ms: pace / 2,
    });
    proptest::collection::vec(load, 0..20)
}

fn news(few: u64) -> impl Strategy<Value = DigestNews> {
    let hash = hashes(few);
    let limit = (hash.clone(), hash.clone(), proptest::option::of(any::<u64>()), any::<u32>());
    let limit = limit.prop_map(|(observer, endpoint, rate, age_ms)| {
        (observer, PulseLimit { endpoint, born: 5, rate, age_ms })
    });
    let suspects = proptest::collection::vec(any::<u64>(), 0..40);
    let crash = (hash.clone(), hash.clone(), any::<u32>(), suspects);
    let crash = crash.prop_map(|(endpoint, service, age_ms, suspects)| PulseCrash {
        endpoint,
        born: endpoint / 2,
        service,
        age_ms,
        suspects,
    });
    let verdict = (hash.clone(), any::<u64>(), any::<u32>(), any::<u32>());
    let verdict = verdict.prop_map(|(service, part, age_ms, crashes)| PulseVerdict {
        service,
        part,
        age_ms,
        seen_ms: age_ms / 2,
        crashes,
    });
    let survival = (hash, any::<u64>(), any::<u32>());
    let survival =
        survival.prop_map(|(service, part, age_ms)| PulseSurvival { service, part, age_ms });
    let lists = (
        proptest::collection::vec(limit, 0..20),
        proptest::collection::vec(crash, 0..20),
        proptest::collection::vec(verdict, 0..20),
        proptest::collection::vec(survival, 0..20),
    );
    lists.prop_map(|(limits, crashes, verdicts, survivals)| DigestNews {
        limits,
        crashes: PulseCrashes { crashes, verdicts, survivals },
    })
}

/// Pulses of up to 60 instances, as they report them.
fn pulses(few: u64) -> impl Strategy<Value = Vec<Pulse>> {
    let parts = (loads(few), news(few), any::<u64>(), any::<[bool; 4]>());
    let parts = proptest::collection::vec(parts, 0..60);
    parts.prop_map(|parts| {
        let parts = parts.into_iter().enumerate();
        let pulses = parts.map(|(index, (loads, news, version, [named, ready, leaving, bare]))| {
            let changes = news.limits.iter().map(|(_, limit)| *limit).collect();
            let limits = PulseLimits { changes, weights: vec![(9, index as u32)] };
            Pulse {
                sender: index as u64,
                identity: pulse().identity.filter(|_| named),
                ready,
                leaving,
                version,
                reads: loads.iter().map(|load| (load.endpoint, version, load.unread)).collect(),
                leavers: loads.iter().take(2).map(|load| (load.endpoint, version)).collect(),
                loads,
                limits: Some(limits).filter(|_| !bare),
                crashes: Some(news.crashes).filter(|_| !bare),
            }
        });
        pulses.collect()
    })
}

proptest! {
    /// Digests are decoded as they were encoded, however many names they hold.
    #[test]
    fn digests_round_trip(
        pulses in pulses(300),
        sums in proptest::collection::vec((any::<u64>(), loads(300)), 0..9),
        news in news(300),
        head in any::<(u64, u32, u64)>(),
    ) {
        let (sender, weight, domain) = head;
        let sums = sums.into_iter().map(|(domain, loads)| DomainSums { domain, loads }).collect();
        let digest = Datagram::Digest(Digest { sender, weight, domain, pulses, sums, news });
        if let Ok(bytes) = digest.encode() {
            prop_assert_eq!(Datagram::try_from(bytes.as_slice()).ok(), Some(digest));
        }
    }

    /// No bytes make the decoder of digests panic.
    #[test]
    fn corrupted_digests_do_not_panic(
        pulses in pulses(9),
        news in news(9),
        changes in proptest::collection::vec((any::<u16>(), any::<u8>()), 0..9),
        length in any::<u16>(),
        noise in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        let digest = Digest { sender: 1, weight: 2, domain: 3, pulses, sums: Vec::new(), news };
        if let Ok(mut bytes) = Datagram::Digest(digest).encode() {
            let whole = bytes.len();
            changes.iter().for_each(|(at, value)| bytes[usize::from(*at) % whole] = *value);
            bytes.truncate(usize::from(length).max(1));
            drop(Datagram::try_from(bytes.as_slice()));
            // The first two bytes say that a digest follows.
            let start = [bytes[0], bytes.get(1).copied().unwrap_or_default()];
            drop(Datagram::try_from([&start[..], &noise].concat().as_slice()));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Whatever instances report, digests take no more than half of the link, and what they leave
    /// out is sent once there is room for it.
    #[test]
    fn digests_fit_the_link_whatever_is_reported(
        reports in pulses(300),
        remote in (pulses(300), news(300), loads(300)),
        link in 0.5_f64..50.0,
    ) {
        let (first, start) = (member("i1", "a", 1), Moment(10_000_000));
        let settings = NodeSettings {
            own: first,
            board: BoardSettings::default(),
            retry: agatestair_policy::RetrySettings::default(),
            draw: 0.5,
        };
        let mut node = Node::new(settings);
        for other in 2..40 {
            let (name, domain) = (format!("i{other}"), if other % 2 == 0 { "a" } else { "b" });
            node.members.note_row(member(&name, domain, 1), start);
        }
        let (pulses, news, loads) = remote;
        let sums = vec![DomainSums { domain: 77, loads }];
        let digest = Digest { sender: 5, weight: 1, domain: 77, pulses, sums, news };
        node.receive_digest(&digest, start);
        reports.iter().for_each(|report| drop(node.receive_report(report.clone(), start)));
        let (interval, rounds) = (Duration::from_millis(40), 15);
        let mut sent = 0;
        for round in 0..rounds {
            let now = start + interval * round;
            let digests = node.digests(round.into(), link, now);
            for (digest, audience) in digests.into_iter().flatten() {
                let bytes = Datagram::Digest(digest).encode();
                let bytes = bytes.expect("a digest fits a datagram").len();
                // Digests without content are heartbeats, which are sent less often.
                sent += if bytes > 40 { bytes * audience.len() } else { 0 };
            }
            let time = (interval * round).as_secs_f64() + 0.5;
            let most = link * 125_000.0 * 0.5 * time;
            prop_assert!(sent as f64 <= most, "{sent} of {most} bytes");
        }
        for round in rounds..rounds + 10 {
            let digests = node.digests(round.into(), FAST_MBPS, start + interval * round);
            for (digest, _) in digests.into_iter().flatten() {
                prop_assert!(Datagram::Digest(digest).encode().is_ok());
            }
        }
        prop_assert!(!node.collection.has_rest());
    }
}

/// A digest of all instances of a large fleet is decoded.
#[gtest]
fn a_digest_of_many_pulses_is_decoded() {
    let bare = Pulse { identity: None, loads: Vec::new(), reads: Vec::new(), ..pulse() };
    let pulses = (0..1500).map(|sender| Pulse { sender, ..bare.clone() }).collect();
    let news = DigestNews::default();
    let digest = Digest { sender: 1, weight: 2, domain: 3, pulses, sums: Vec::new(), news };
    let digest = Datagram::Digest(digest);
    let bytes = digest.encode().expect("the datagram fits");
    expect_that!(Datagram::try_from(bytes.as_slice()), ok(eq(&digest)));
}

/// A change of an endpoint's load, and whether it is sent to peers immediately.
struct LoadCase {
    name: &'static str,
    tokens: u32,
    immediate: bool,
}

#[gtest]
fn long_prompts_are_announced_immediately() {
    let cases = [
        LoadCase { name: "plain call", tokens: 0, immediate: false },
        LoadCase { name: "short prompt", tokens: 383, immediate: false },
        LoadCase { name: "long prompt", tokens: 17_020, immediate: true },
    ];
    for case in cases {
        let changes = LoadChanges::default();
        let key = EndpointKey::default();
        changes.note(key, case.tokens);
        let mut next = std::pin::pin!(changes.next());
        let mut context = Context::from_waker(Waker::noop());
        let immediate = match next.as_mut().poll(&mut context) {
            Poll::Ready(keys) => keys == [key],
            Poll::Pending => false,
        };
        expect_that!(immediate, eq(case.immediate), "{}", case.name);
    }
}

#[gtest]
fn datagrams_round_trip() {
    let sums = vec![DomainSums { domain: 8, loads: pulse().loads }];
    let unnamed = Pulse { identity: None, ..pulse() };
    let digest = Digest {
        sender: 3,
        weight: 500,
        domain: 7,
        pulses: vec![unnamed],
        sums,
        news: DigestNews::default(),
    };
    let datagrams = [
        Datagram::Pulse(pulse()),
        Datagram::Report(pulse()),
        Datagram::Digest(digest),
        Datagram::Bulletin(bulletin()),
    ];
    for datagram in datagrams {
        let mut bytes = datagram.encode().expect("the datagram fits");
        expect_that!(Datagram::try_from(bytes.as_slice()), ok(eq(&datagram)));
        // The first byte is the version of the datagram format.
        bytes[0] += 1;
        expect_that!(Datagram::try_from(bytes.as_slice()), err(anything()));
    }
}

fn bulletin() -> Bulletin {
    let rows = vec![("one".to_owned(), 8, Some(b"value".to_vec())), ("two".to_owned(), 9, None)];
    let news = BulletinUpdate { table: BulletinTable::Endpoints, since: 7, upto: 9, rows };
    Bulletin {
        sender: 3,
        weight: 500,
        answered_ms: 12,
        returned_ms: Some(900),
        timeline: Some(4),
        tables: vec![TableState { table: BulletinTable::Endpoints, tip: 9, base: 9, known: 12 }],
        news: Some(news),
    }
}

#[gtest]
fn an_older_configuration_is_not_adopted() {
    let settings = NodeSettings {
        own: member("i1", "a", 1),
        board: BoardSettings::default(),
        retry: agatestair_policy::RetrySettings::default(),
        draw: 0.5,
    };
    let mut node = Node::new(settings);
    let version = |version| Configuration::new(version, Vec::new(), Vec::new(), Limits::default());
    let adopted: Vec<bool> = [3, 7, 5, 7, 8].map(|number| node.adopt(version(number))).to_vec();
    expect_that!(adopted, eq(&vec![true, true, false, false, true]));
    expect_that!(node.version(), some(eq(8)));
    let name: Arc<str> = "s".into();
    expect_that!(node.board.members(&name), is_empty());
}

#[gtest]
fn a_panic_in_one_decision_does_not_affect_others() {
    let settings = NodeSettings {
        own: member("i1", "a", 1),
        board: BoardSettings::default(),
        retry: agatestair_policy::RetrySettings::default(),
        draw: 0.5,
    };
    let hub = Hub::new(settings);
    let failing = || hub.ask(|_, _| -> u8 { panic!("bug in one decision") });
    let failed = std::panic::catch_unwind(std::panic::AssertUnwindSafe(failing));
    expect_that!(failed.is_err(), eq(true));
    expect_that!(hub.ask(|node, _| node.version()), none());
}

/// A future of a request that panics, and the message that is logged.
struct Panicking {
    name: &'static str,
    run: fn() -> u8,
    caught: std::result::Result<u8, &'static str>,
}

#[gtest]
fn a_panic_in_a_request_is_turned_into_its_message() {
    let cases = [
        Panicking { name: "none", run: || 7, caught: Ok(7) },
        Panicking { name: "text", run: || panic!("plain"), caught: Err("plain") },
        Panicking { name: "formatted", run: || panic!("key {}", 3), caught: Err("key 3") },
        Panicking {
            name: "other",
            run: || std::panic::panic_any(3),
            caught: Err("a panic without a message"),
        },
    ];
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    for case in cases {
        let future = async {
            tokio::task::yield_now().await;
            (case.run)()
        };
        let caught = runtime.block_on(catch_panic(future));
        let expected = case.caught.map_err(str::to_owned);
        expect_that!(caught, eq(&expected), "{}", case.name);
    }
}
