//! The processes that a scenario has started, which end with it.

use std::process::{Child, Command};
use std::sync::Mutex;
use std::thread::{sleep, spawn};
use std::time::Duration;

/// Longest duration of a scenario.
const LONGEST: Duration = Duration::from_secs(100);

/// Process ids of the running children.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Records a child that was started.
pub fn note(child: &Child) {
    RUNNING.lock().expect("no holder panics").push(child.id());
}

/// Ends a child at once.
pub fn end(child: &mut Child) {
    drop(child.kill());
    drop(child.wait());
    RUNNING.lock().expect("no holder panics").retain(|id| *id != child.id());
}

/// Ends all children and the scenario itself if it takes too long.
pub fn limit_time() {
    spawn(|| {
        sleep(LONGEST);
        for id in RUNNING.lock().expect("no holder panics").iter() {
            drop(Command::new("sh").args(["-c", &format!("kill -9 {id}")]).status());
        }
        eprintln!("the scenario took too long");
        std::process::exit(crate::FAILED.into());
    });
}
