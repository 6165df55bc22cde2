//! Links open only between holders of the key, carry messages both ways, and end when the peer
//! stops responding.

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

use agatestair_link::{LinkError, LinkEvent, LinkNode, NodeSettings, PeerRole};
use agatestair_schema::link::{LinkMessage, ListsAck};
use agatestair_schema::settings::LinkSettings;
use googletest::prelude::*;
use slog::{Discard, Logger, o};
use tokio_util::sync::CancellationToken;

/// Longest wait for an expected event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

struct Node {
    node: LinkNode,
    events: Receiver<LinkEvent>,
    token: CancellationToken,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.token.cancel();
    }
}

struct Keys {
    current: &'static str,
    previous: &'static str,
}

fn start(name: &str, keys: &Keys, listen: Option<SocketAddr>) -> Node {
    let (sender, events) = channel();
    let token = CancellationToken::new();
    let link = LinkSettings {
        key: keys.current.to_owned(),
        previous_key: keys.previous.to_owned(),
        ping_ms: 50,
        timeout_ms: 500,
    };
    let settings = NodeSettings {
        instance: name.into(),
        domain: "a".into(),
        boot: "1".into(),
        role: PeerRole::Control,
        listen,
        link,
        log: Logger::root(Discard, o!()),
    };
    let sink = move |event| {
        let _ = sender.send(event);
    };
    let node = LinkNode::start(settings, token.clone(), sink).expect("node starts");
    Node { node, events, token }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("bound")
}

struct Case {
    name: &'static str,
    acceptor: Keys,
    dialler: Keys,
    opens: bool,
}

const CASES: [Case; 5] = [
    Case {
        name: "same key",
        acceptor: Keys { current: "k", previous: "" },
        dialler: Keys { current: "k", previous: "" },
        opens: true,
    },
    Case {
        name: "no keys",
        acceptor: Keys { current: "", previous: "" },
        dialler: Keys { current: "", previous: "" },
        opens: true,
    },
    Case {
        name: "key rotation in progress",
        acceptor: Keys { current: "old", previous: "new" },
        dialler: Keys { current: "new", previous: "old" },
        opens: true,
    },
    Case {
        name: "wrong key at the dialling end",
        acceptor: Keys { current: "k", previous: "" },
        dialler: Keys { current: "x", previous: "" },
        opens: false,
    },
    Case {
        name: "no key at the dialling end",
        acceptor: Keys { current: "k", previous: "" },
        dialler: Keys { current: "", previous: "" },
        opens: false,
    },
];

#[gtest]
fn only_holders_of_the_key_are_accepted() {
    for case in &CASES {
        let address = free_address();
        let acceptor = start("acceptor", &case.acceptor, Some(address));
        let dialler = start("dialler", &case.dialler, None);
        dialler.node.dial(address);
        if case.opens {
            let event = acceptor.events.recv_timeout(EVENT_TIMEOUT);
            expect_that!(event, ok(matches_pattern!(LinkEvent::Up { .. })), "{}", case.name);
        } else {
            // A third node with the right key connects after 200 ms. The first link to open must be
            // its own, so the node with the wrong key was rejected although it dialled first.
            let authorized = start("authorized", &case.acceptor, None);
            thread::sleep(Duration::from_millis(200));
            authorized.node.dial(address);
            let Ok(LinkEvent::Up { peer, .. }) = acceptor.events.recv_timeout(EVENT_TIMEOUT) else {
                panic!("{}: the holder of the key was not accepted", case.name);
            };
            expect_that!(&*peer.instance, eq("authorized"), "{}", case.name);
        }
    }
}

fn ack(revision: u64) -> LinkMessage {
    LinkMessage::Ack(ListsAck { instance: "x".to_owned(), revision })
}

#[gtest]
fn messages_arrive_in_order_both_ways() {
    const KEYS: Keys = Keys { current: "k", previous: "" };
    let address = free_address();
    let acceptor = start("acceptor", &KEYS, Some(address));
    let dialler = start("dialler", &KEYS, None);
    dialler.node.dial(address);
    let Ok(LinkEvent::Up { link: dialler_link, .. }) = dialler.events.recv_timeout(EVENT_TIMEOUT)
    else {
        panic!("no link");
    };
    let Ok(LinkEvent::Up { link: acceptor_link, .. }) = acceptor.events.recv_timeout(EVENT_TIMEOUT)
    else {
        panic!("no link");
    };
    for revision in 0..100 {
        expect_true!(dialler.node.send(dialler_link, ack(revision)));
        expect_true!(acceptor.node.send(acceptor_link, ack(revision)));
    }
    for side in [&dialler, &acceptor] {
        for revision in 0..100 {
            let event = side.events.recv_timeout(EVENT_TIMEOUT);
            let Ok(LinkEvent::Message { message, .. }) = event else {
                panic!("no message {revision}");
            };
            expect_that!(*message, eq(&ack(revision)));
        }
    }
}

/// Relays bytes in both directions until `muted` is cancelled, then discards them and keeps the
/// connections open.
fn relay_until_muted(listener: &TcpListener, target: SocketAddr, muted: &CancellationToken) {
    let (from, _) = listener.accept().expect("a connection arrives");
    let to = TcpStream::connect(target).expect("the target accepts");
    for (mut source, mut sink) in [(from.try_clone().unwrap(), to.try_clone().unwrap()), (to, from)]
    {
        let muted = muted.clone();
        thread::spawn(move || {
            let mut buffer = [0; 4096];
            while let Ok(size @ 1..) = source.read(&mut buffer) {
                if !muted.is_cancelled() {
                    let _ = std::io::Write::write_all(&mut sink, &buffer[..size]);
                }
            }
        });
    }
}

#[gtest]
fn unresponsive_link_is_closed_and_dialled_again() {
    const KEYS: Keys = Keys { current: "k", previous: "" };
    let address = free_address();
    let acceptor = start("acceptor", &KEYS, Some(address));
    let proxy = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let dialler = start("dialler", &KEYS, None);
    dialler.node.dial(proxy.local_addr().expect("bound"));
    let muted = CancellationToken::new();
    relay_until_muted(&proxy, address, &muted);
    expect_that!(
        dialler.events.recv_timeout(EVENT_TIMEOUT),
        ok(matches_pattern!(LinkEvent::Up { .. }))
    );
    muted.cancel();
    expect_that!(
        dialler.events.recv_timeout(EVENT_TIMEOUT),
        ok(matches_pattern!(LinkEvent::Down { error: eq(&LinkError::TimedOut), .. }))
    );
    relay_until_muted(&proxy, address, &CancellationToken::new());
    expect_that!(
        dialler.events.recv_timeout(EVENT_TIMEOUT),
        ok(matches_pattern!(LinkEvent::Up { .. }))
    );
    drop(acceptor);
}

#[gtest]
fn link_goes_down_when_its_peer_stops() {
    const KEYS: Keys = Keys { current: "k", previous: "" };
    for closed_side in ["acceptor", "dialler"] {
        let address = free_address();
        let acceptor = start("acceptor", &KEYS, Some(address));
        let dialler = start("dialler", &KEYS, None);
        dialler.node.dial(address);
        for side in [&dialler, &acceptor] {
            expect_that!(
                side.events.recv_timeout(EVENT_TIMEOUT),
                ok(matches_pattern!(LinkEvent::Up { .. }))
            );
        }
        let (closed, remaining) =
            if closed_side == "acceptor" { (acceptor, dialler) } else { (dialler, acceptor) };
        drop(closed);
        let event = remaining.events.recv_timeout(EVENT_TIMEOUT);
        expect_that!(event, ok(matches_pattern!(LinkEvent::Down { .. })), "{closed_side}");
    }
}
