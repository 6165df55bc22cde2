//! Links open between holders of the key only, carry messages both ways and end when silent.

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

/// Longest wait for an event that must come.
const WAIT: Duration = Duration::from_secs(20);

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
        name: "change of keys under way",
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
            let event = acceptor.events.recv_timeout(WAIT);
            expect_that!(event, ok(matches_pattern!(LinkEvent::Up { .. })), "{}", case.name);
        } else {
            // An own holder of the key gets through, so the refused one had its chance.
            let honest = start("honest", &case.acceptor, None);
            thread::sleep(Duration::from_millis(200));
            honest.node.dial(address);
            let Ok(LinkEvent::Up { peer, .. }) = acceptor.events.recv_timeout(WAIT) else {
                panic!("{}: the holder of the key did not get through", case.name);
            };
            expect_that!(&*peer.instance, eq("honest"), "{}", case.name);
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
    let Ok(LinkEvent::Up { link: there, .. }) = dialler.events.recv_timeout(WAIT) else {
        panic!("no link");
    };
    let Ok(LinkEvent::Up { link: back, .. }) = acceptor.events.recv_timeout(WAIT) else {
        panic!("no link");
    };
    for revision in 0..100 {
        expect_true!(dialler.node.send(there, ack(revision)));
        expect_true!(acceptor.node.send(back, ack(revision)));
    }
    for end in [&dialler, &acceptor] {
        for revision in 0..100 {
            let event = end.events.recv_timeout(WAIT);
            let Ok(LinkEvent::Message { message, .. }) = event else {
                panic!("no message {revision}");
            };
            expect_that!(*message, eq(&ack(revision)));
        }
    }
}

/// Passes bytes on until told to keep silent, without closing the connections.
fn pass_until_silent(listener: &TcpListener, target: SocketAddr, silent: &CancellationToken) {
    let (from, _) = listener.accept().expect("a connection comes");
    let to = TcpStream::connect(target).expect("the target accepts");
    for (mut source, mut sink) in [(from.try_clone().unwrap(), to.try_clone().unwrap()), (to, from)]
    {
        let silent = silent.clone();
        thread::spawn(move || {
            let mut buffer = [0; 4096];
            while let Ok(size @ 1..) = source.read(&mut buffer) {
                if !silent.is_cancelled() {
                    let _ = std::io::Write::write_all(&mut sink, &buffer[..size]);
                }
            }
        });
    }
}

#[gtest]
fn a_silent_link_ends_and_is_dialled_again() {
    const KEYS: Keys = Keys { current: "k", previous: "" };
    let address = free_address();
    let acceptor = start("acceptor", &KEYS, Some(address));
    let proxy = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let dialler = start("dialler", &KEYS, None);
    dialler.node.dial(proxy.local_addr().expect("bound"));
    let silent = CancellationToken::new();
    pass_until_silent(&proxy, address, &silent);
    expect_that!(dialler.events.recv_timeout(WAIT), ok(matches_pattern!(LinkEvent::Up { .. })));
    silent.cancel();
    expect_that!(
        dialler.events.recv_timeout(WAIT),
        ok(matches_pattern!(LinkEvent::Down { error: eq(&LinkError::TimedOut), .. }))
    );
    pass_until_silent(&proxy, address, &CancellationToken::new());
    expect_that!(dialler.events.recv_timeout(WAIT), ok(matches_pattern!(LinkEvent::Up { .. })));
    drop(acceptor);
}

#[gtest]
fn a_link_whose_peer_ends_is_told_to_be_down() {
    const KEYS: Keys = Keys { current: "k", previous: "" };
    for ender in ["acceptor", "dialler"] {
        let address = free_address();
        let acceptor = start("acceptor", &KEYS, Some(address));
        let dialler = start("dialler", &KEYS, None);
        dialler.node.dial(address);
        for end in [&dialler, &acceptor] {
            expect_that!(end.events.recv_timeout(WAIT), ok(matches_pattern!(LinkEvent::Up { .. })));
        }
        let (ended, left) =
            if ender == "acceptor" { (acceptor, dialler) } else { (dialler, acceptor) };
        drop(ended);
        let event = left.events.recv_timeout(WAIT);
        expect_that!(event, ok(matches_pattern!(LinkEvent::Down { .. })), "{ender}");
    }
}
