//! Threads that make blocking calls one after another.

use std::io;
use std::sync::mpsc::{self, Sender};
use std::thread;

use stakker::sync::Channel;

use crate::event::Event;

type Job = Box<dyn FnOnce() + Send>;

/// One thread with a queue of blocking calls.
pub struct Lane {
    jobs: Sender<Job>,
    events: Channel<Event>,
}

impl Lane {
    /// Starts the thread; results go into `events`.
    ///
    /// # Errors
    ///
    /// The operating system's error if no thread can be started.
    pub fn start(name: &str, events: Channel<Event>) -> io::Result<Self> {
        let (jobs, queue) = mpsc::channel::<Job>();
        thread::Builder::new().name(name.to_owned()).spawn(move || {
            for job in queue {
                job();
            }
        })?;
        Ok(Self { jobs, events })
    }

    /// Queues a call whose result is sent to the actor.
    pub fn run(&self, job: impl FnOnce() -> Event + Send + 'static) {
        let events = self.events.clone();
        let job: Job = Box::new(move || {
            // The actor has ended if this fails; nobody waits for the result.
            let _ = events.send(job());
        });
        // The thread ends only with this sender.
        let _ = self.jobs.send(job);
    }
}
