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

    /// Adds an idle connection whose last response has been read completely, if the endpoint has
    /// fewer than `most`; else the connection is closed.
    pub fn put(&self, key: EndpointKey, connection: Connection, most: usize) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(key).or_default();
        if connections.len() < most.min(MAX_IDLE) {
            connections.push(connection);
        }
    }

    /// Endpoints with idle connections.
    pub fn keys(&self) -> Vec<EndpointKey> {
        self.idle.borrow().keys().copied().collect()
    }

    /// Closes connections that can no longer be used, and those beyond `most` of each endpoint.
    pub fn sweep(&self, most: &HashMap<EndpointKey, usize>) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|key, connections| {
            connections.retain(Connection::is_usable);
            let excess = connections.len().saturating_sub(most.get(key).copied().unwrap_or(0));
            // The least recently used ones come first.
            connections.drain(..excess);
            !connections.is_empty()
        });
    }
}
