//! Worker threads for blocking calls.

use std::io;
use std::sync::mpsc::{self, Sender};
use std::thread;

use stakker::sync::Channel;

use crate::event::Event;

type Job = Box<dyn FnOnce() + Send>;

/// A thread that runs queued blocking calls one after another.
pub struct Worker {
    jobs: Sender<Job>,
    events: Channel<Event>,
}

impl Worker {
    /// Starts the thread; the results of calls are sent to `events`.
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

    /// Queues a call; its result is sent to the actor.
    pub fn run(&self, job: impl FnOnce() -> Event + Send + 'static) {
        let events = self.events.clone();
        let job: Job = Box::new(move || {
            // Fails only if the actor has ended and no longer needs the result.
            let _ = events.send(job());
        });
        // The thread runs until this sender is dropped.
        let _ = self.jobs.send(job);
    }
}
