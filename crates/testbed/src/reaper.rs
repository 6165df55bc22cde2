//! Ends child processes when their owner ends in any way.
//!
//! A small process of this crate's binary reads the ids of the children from a pipe. When the pipe
//! closes, because its writer has ended in order, by a signal or by a crash, it kills those left.

use std::collections::BTreeSet;
use std::io::{self, BufRead, Write};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};

use rustix::process::{Pid, Signal, kill_process};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::child::binary_folder;

static HELPER: Mutex<Option<Child>> = Mutex::new(None);

/// Has the process killed when this one ends.
pub fn add(id: u32) {
    send(&format!("+{id}\n"));
}

/// Forgets a process that has been waited for.
pub fn remove(id: u32) {
    send(&format!("-{id}\n"));
}

fn send(line: &str) {
    let mut helper = HELPER.lock().unwrap_or_else(PoisonError::into_inner);
    if helper.is_none() {
        *helper = start();
    }
    if let Some(pipe) = helper.as_mut().and_then(|helper| helper.stdin.as_mut()) {
        // Without the helper the children still end with their handles.
        let _ = pipe.write_all(line.as_bytes());
    }
}

/// Ends the helper in order, once there are no more children.
pub fn finish() {
    let helper = HELPER.lock().unwrap_or_else(PoisonError::into_inner).take();
    if let Some(mut helper) = helper {
        drop(helper.stdin.take());
        // Its end is all that matters.
        let _ = helper.wait();
    }
}

/// Starts the helper, which outlives this process until it has done its work.
fn start() -> Option<Child> {
    let program = binary_folder().ok()?.join("agatestair-testbed");
    Command::new(program)
        .arg("reap")
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .ok()
}

/// Reads ids until the pipe closes, then kills the processes that are left.
pub fn run() {
    // Signals of the terminal reach the helper too; it must outlive the others.
    let ignored = Signals::new([SIGINT, SIGTERM]);
    let mut left = BTreeSet::new();
    for line in io::stdin().lock().lines().map_while(Result::ok) {
        let (sign, id) = line.split_at(1.min(line.len()));
        let Ok(id) = id.parse::<i32>() else {
            continue;
        };
        if sign == "+" {
            left.insert(id);
        } else {
            left.remove(&id);
        }
    }
    for pid in left.into_iter().filter_map(Pid::from_raw) {
        // A process that has ended in the meantime needs no signal.
        let _ = kill_process(pid, Signal::KILL);
    }
    drop(ignored);
}
