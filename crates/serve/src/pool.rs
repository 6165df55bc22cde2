//! Pool of idle connections to endpoints.

use std::cell::RefCell;
use std::collections::HashMap;

use agatestair_policy::EndpointKey;

use crate::connection::Connection;

/// Maximum number of idle connections per endpoint.
const MAX_IDLE: usize = 12;

/// Idle connections by endpoint; the most recently used one is taken first.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<EndpointKey, Vec<Connection>>>,
}

impl Pool {
    /// Takes a usable connection to an endpoint, if there is one.
    pub fn take(&self, key: EndpointKey) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&key)?;
        while let Some(connection) = connections.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after its response has been read completely.
    pub fn put(&self, key: EndpointKey, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(key).or_default();
        if connections.len() < MAX_IDLE {
            connections.push(connection);
        }
    }

    /// Closes connections that can no longer be used.
    pub fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(Connection::is_usable);
            !connections.is_empty()
        });
    }
}
