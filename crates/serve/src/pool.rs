//! Pool of idle connections to endpoints.

use std::cell::RefCell;
use std::collections::HashMap;

use agatestair_policy::EndpointKey;

use crate::line::Line;

/// Maximum number of idle connections per endpoint.
const MAX_IDLE: usize = 12;

/// Idle connections by endpoint; the most recently used one is taken first.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<EndpointKey, Vec<Line>>>,
}

impl Pool {
    /// Takes a usable connection to an endpoint, if there is one.
    pub fn take(&self, key: EndpointKey) -> Option<Line> {
        let mut idle = self.idle.borrow_mut();
        let lines = idle.get_mut(&key)?;
        while let Some(line) = lines.pop() {
            if line.is_usable() {
                return Some(line);
            }
        }
        None
    }

    /// Returns a connection to the pool after its response has been read completely.
    pub fn put(&self, key: EndpointKey, line: Line) {
        let mut idle = self.idle.borrow_mut();
        let lines = idle.entry(key).or_default();
        if lines.len() < MAX_IDLE {
            lines.push(line);
        }
    }

    /// Closes connections that can no longer be used.
    pub fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, lines| {
            lines.retain(Line::is_usable);
            !lines.is_empty()
        });
    }
}
