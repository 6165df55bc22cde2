//! Access of tasks to the actor that holds the instance's state.

use std::cell::RefCell;
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};
use std::rc::Rc;
use std::time::Instant;

use agatestair_policy::Moment;
use stakker::{ActorOwn, Stakker, actor, call, ret_nop};

use crate::node::{Decision, Node, NodeSettings};

/// Asks the instance's actor on behalf of the tasks of its thread.
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

    /// Has the actor decide something, and returns what it decided.
    ///
    /// A decision that panics unwinds the task that asked for it; the actor goes on.
    pub fn ask<R: 'static>(&self, decide: impl FnOnce(&mut Node, Moment) -> R + 'static) -> R {
        let now = Instant::now();
        let micros = now.duration_since(self.start).as_micros();
        let moment = Moment(u64::try_from(micros).unwrap_or(u64::MAX));
        let answer = Rc::new(RefCell::new(None));
        let slot = answer.clone();
        let mut core = self.core.borrow_mut();
        let decide: Decision = Box::new(move |node| {
            // The actor's loop could not be used again after a panic.
            let decided = catch_unwind(AssertUnwindSafe(|| decide(node, moment)));
            *slot.borrow_mut() = Some(decided);
        });
        call!([self.node], decide(decide));
        core.run(now, false);
        drop(core);
        let decided = answer.take().expect("the actor lives as long as the hub");
        decided.unwrap_or_else(|panic| resume_unwind(panic))
    }
}
