//! Finds the customer of an API key.

use std::collections::HashMap;
use std::sync::Arc;

use agatestair_schema::lists::Lists;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// SHA-256 of an API key.
type KeyHash = [u8; 32];

/// Prefix of a hash for looking up candidates, whose full hashes are compared in constant time.
type HashPrefix = [u8; 4];

/// Customer that sends a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Customer {
    /// Name of the customer.
    pub name: Arc<str>,
    /// Name of the customer's plan.
    pub plan: Arc<str>,
}

/// Customers of one revision of the lists, by the hashes of their API keys.
#[derive(Default)]
pub struct Customers {
    by_prefix: HashMap<HashPrefix, Vec<(KeyHash, Arc<Customer>)>>,
}

impl Customers {
    /// Customer that owns `key`. The key is hashed and the hashes are compared in constant time.
    pub fn find(&self, key: &str) -> Option<Arc<Customer>> {
        let hash: KeyHash = Sha256::digest(key.as_bytes()).into();
        let candidates = self.by_prefix.get(&prefix_of(&hash))?;
        let mut found = None;
        for (known, customer) in candidates {
            if bool::from(known.ct_eq(&hash)) {
                found = Some(customer.clone());
            }
        }
        found
    }
}

impl From<&Lists> for Customers {
    /// Listed hashes that are not 64 hexadecimal digits are ignored and match no key.
    fn from(lists: &Lists) -> Self {
        let mut customers = Self::default();
        for listed in &lists.plans.customers {
            let customer = Arc::new(Customer {
                name: listed.name.as_str().into(),
                plan: listed.plan.as_str().into(),
            });
            for hash in listed.keys.iter().filter_map(|text| parse_hash(text)) {
                let candidates = customers.by_prefix.entry(prefix_of(&hash)).or_default();
                candidates.push((hash, customer.clone()));
            }
        }
        customers
    }
}

fn prefix_of(hash: &KeyHash) -> HashPrefix {
    [hash[0], hash[1], hash[2], hash[3]]
}

fn parse_hash(text: &str) -> Option<KeyHash> {
    let mut hash = [0; 32];
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    for (index, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(hash)
}
