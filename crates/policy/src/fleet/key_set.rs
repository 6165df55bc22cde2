//! Set of endpoints with updates and random sampling in constant time.

use rand::Rng;
use slotmap::SecondaryMap;

use crate::keys::EndpointKey;

/// A set of endpoints.
#[derive(Debug, Default)]
pub(crate) struct KeySet {
    keys: Vec<EndpointKey>,
    places: SecondaryMap<EndpointKey, usize>,
}

impl KeySet {
    /// Adds or removes a key.
    pub(crate) fn set(&mut self, key: EndpointKey, present: bool) {
        match (present, self.places.get(key).copied()) {
            (true, None) => {
                self.places.insert(key, self.keys.len());
                self.keys.push(key);
            }
            (false, Some(place)) => {
                self.places.remove(key);
                self.keys.swap_remove(place);
                if let Some(moved) = self.keys.get(place) {
                    self.places.insert(*moved, place);
                }
            }
            _ => {}
        }
    }

    /// Whether a key is in the set.
    pub(crate) fn contains(&self, key: EndpointKey) -> bool {
        self.places.contains_key(key)
    }

    /// Whether the set is empty.
    pub(crate) fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Appends keys to `chosen`: all if there are at most `count`, else `count` random ones,
    /// possibly with repetitions.
    pub(crate) fn sample<R: Rng>(
        &self,
        random: &mut R,
        count: usize,
        chosen: &mut Vec<EndpointKey>,
    ) {
        if self.keys.len() <= count {
            chosen.extend_from_slice(&self.keys);
            return;
        }
        for _ in 0..count {
            chosen.push(self.keys[random.random_range(0..self.keys.len())]);
        }
    }
}
