//! Access of tasks to the actor with the instance's state.

use std::cell::RefCell;
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};
use std::rc::Rc;
use std::time::Instant;

use agatestair_policy::Moment;
use stakker::{ActorOwn, Stakker, actor, call, ret_nop};

use crate::node::{Command, Node, NodeSettings};

/// Gives the tasks of the serving thread access to the actor [`Node`].
pub struct Hub {
    core: RefCell<Stakker>,
    node: ActorOwn<Node>,
    start: Instant,
}

impl Hub {
    /// Starts the actor; all calls must come from this thread.
    pub fn new(settings: NodeSettings) -> Self {
        let start = Instant::now();
        let mut core = Stakker::new(start);
        let node = actor!(core, Node::init(settings), ret_nop!());
        core.run(start, false);
        Self { core: RefCell::new(core), node, start }
    }

    /// Runs a closure on the actor and returns its result.
    ///
    /// If the closure panics, the panic unwinds the calling task; the actor keeps running.
    pub fn ask<R: 'static>(&self, run: impl FnOnce(&mut Node, Moment) -> R + 'static) -> R {
        let now = Instant::now();
        let micros = now.duration_since(self.start).as_micros();
        let moment = Moment(u64::try_from(micros).unwrap_or(u64::MAX));
        let result = Rc::new(RefCell::new(None));
        let slot = result.clone();
        let mut core = self.core.borrow_mut();
        let command: Command = Box::new(move |node| {
            // A panic must not reach the actor's loop, which would be unusable afterwards.
            let outcome = catch_unwind(AssertUnwindSafe(|| run(node, moment)));
            *slot.borrow_mut() = Some(outcome);
        });
        call!([self.node], execute(command));
        core.run(now, false);
        drop(core);
        let outcome = result.take().expect("the actor lives as long as the hub");
        outcome.unwrap_or_else(|panic| resume_unwind(panic))
    }
}
