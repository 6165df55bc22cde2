//! Reserved ports are free, whatever other threads do meanwhile.

use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use agatestair_testbed::PortBlock;

/// Number of ports that a block provides.
const PORTS: u16 = 199;
/// Number of blocks that are reserved one after the other.
const ROUNDS: usize = 40;
/// Number of threads that start children.
const STARTERS: usize = 4;
/// Number of folders that a child searches before it executes its program. Until then it holds
/// copies of the sockets that this process had when it was started.
const FOLDERS: usize = 8000;

/// Starts children that take long until they execute their program.
fn start_children(done: &AtomicBool) {
    let path = format!("{}/bin:/usr/bin", "/-:".repeat(FOLDERS));
    while !done.load(Ordering::SeqCst) {
        let status = Command::new("true").env("PATH", &path).status();
        assert!(status.expect("the program is in the last folder").success());
    }
}

#[test]
fn children_that_are_being_started_hold_no_reserved_port() {
    let done = AtomicBool::new(false);
    let taken = thread::scope(|scope| {
        (0..STARTERS).for_each(|_| drop(scope.spawn(|| start_children(&done))));
        let taken: Vec<String> = (0..ROUNDS).flat_map(|_| bind_all()).collect();
        done.store(true, Ordering::SeqCst);
        taken
    });
    assert!(taken.is_empty(), "{} ports were taken: {taken:?}", taken.len());
}

/// Reserves a block and listens on each of its ports at once; returns what fails.
fn bind_all() -> Vec<String> {
    let mut block = PortBlock::reserve().expect("a block of ports is free");
    let bound = (0..PORTS).map(|_| {
        let address = block.allocate_address().expect("the block has ports left");
        TcpListener::bind(&address).map_err(|error| format!("{address}: {error}"))
    });
    let bound: Vec<_> = bound.collect();
    bound.into_iter().filter_map(Result::err).collect()
}
