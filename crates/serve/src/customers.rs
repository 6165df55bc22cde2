//! Customers and their API keys, as the operators' configuration lists them.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use sha2::{Digest, Sha256};

/// A customer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Customer {
    /// Name, which endpoints receive.
    pub name: Arc<str>,
    /// Priority of its requests in place of the route's, if it has one; 0 is the highest.
    pub rank: Option<u8>,
}

/// Hash of an API key. Keys themselves are not kept.
#[derive(Clone, Copy, Eq, Hash, PartialEq)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hash of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash")
    }
}

/// What a request's headers hold as its API key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Credential {
    /// There is none.
    Missing,
    /// It cannot be read, or there are several.
    Malformed,
    /// Hash of the key.
    Key(KeyHash),
}

/// All customers by the hashes of their keys.
#[derive(Clone, Debug, Default)]
pub struct Customers {
    keys: HashMap<KeyHash, Arc<Customer>>,
    /// What is wrong with the list; it names no key.
    pub problems: Vec<String>,
}

impl Customers {
    /// Adds a customer with its keys. A key that another customer holds stays with that one.
    pub fn insert(&mut self, customer: Customer, keys: impl IntoIterator<Item = KeyHash>) {
        let customer = Arc::new(customer);
        for key in keys {
            let holder = self.keys.entry(key).or_insert_with(|| customer.clone());
            if holder.name != customer.name {
                let problem = format!(
                    "customer `{}` lists a key of customer `{}`; remove it from one of them",
                    customer.name, holder.name
                );
                // Two customers may share many keys.
                if self.problems.last() != Some(&problem) {
                    self.problems.push(problem);
                }
            }
        }
    }

    /// The customer that holds a key.
    pub fn find(&self, key: &KeyHash) -> Option<&Arc<Customer>> {
        self.keys.get(key)
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether there is no key.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}

/// Whether a request may be sent to endpoints, and on whose behalf.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Access {
    /// The configuration lists no customers; keys are not checked.
    Unchecked,
    /// The route is public, and the request has no known key.
    Anonymous,
    /// The key is that of a customer.
    Granted(Arc<Customer>),
    /// The request has no key, or an unknown one.
    Denied(&'static str),
    /// Too long ago that this instance knew all withdrawn keys.
    Unproven,
}
