//! Kills child processes when their owner ends, even by a crash.
//!
//! The reaper is a process of this crate's binary that reads the ids of the children from a pipe.
//! When the pipe closes, because its writer exited, was killed or crashed, the reaper kills the
//! children that are left.

use std::collections::BTreeSet;
use std::io::{self, BufRead, Write};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};

use rustix::process::{Pid, Signal, kill_process};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::child::binary_folder;

static REAPER: Mutex<Option<Child>> = Mutex::new(None);

/// Registers a child process, to be killed when this process ends.
pub fn add(id: u32) {
    send(&format!("+{id}\n"));
}

/// Unregisters a child process that has been waited for, since its id may be reused.
pub fn remove(id: u32) {
    send(&format!("-{id}\n"));
}

fn send(line: &str) {
    let mut reaper = REAPER.lock().unwrap_or_else(PoisonError::into_inner);
    if reaper.is_none() {
        *reaper = start();
    }
    if let Some(pipe) = reaper.as_mut().and_then(|reaper| reaper.stdin.as_mut()) {
        // Without the reaper, children are still killed when their handles are dropped.
        let _ = pipe.write_all(line.as_bytes());
    }
}

/// Closes the pipe and waits until the reaper has exited.
pub fn finish() {
    let reaper = REAPER.lock().unwrap_or_else(PoisonError::into_inner).take();
    if let Some(mut reaper) = reaper {
        drop(reaper.stdin.take());
        // Its exit status does not matter.
        let _ = reaper.wait();
    }
}

/// Starts the reaper, which may outlive this process.
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

/// Runs the reaper: reads ids from standard input until it closes, then kills the processes left.
pub fn run() {
    // Signals from the terminal reach the reaper too, but it must outlive the other processes.
    let ignored = Signals::new([SIGINT, SIGTERM]);
    let mut children = BTreeSet::new();
    for line in io::stdin().lock().lines().map_while(Result::ok) {
        let (sign, id) = line.split_at(1.min(line.len()));
        let Ok(id) = id.parse::<i32>() else {
            continue;
        };
        if sign == "+" {
            children.insert(id);
        } else {
            children.remove(&id);
        }
    }
    for pid in children.into_iter().filter_map(Pid::from_raw) {
        // The process may have exited in the meantime.
        let _ = kill_process(pid, Signal::KILL);
    }
    drop(ignored);
}
