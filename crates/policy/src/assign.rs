//! Assignment of endpoints to instances by hashing, without coordination between the instances.
//!
//! Instances with the same lists of names compute the same assignment. While their views differ,
//! an item may temporarily have two owners or none, so use these functions only where that is
//! acceptable.

use std::cmp::Reverse;

use sha2::{Digest, Sha256};

/// Returns the index of the instance that owns `item`, by rendezvous hashing.
///
/// When an instance is removed, only the items that it owned move. Returns `None` without
/// instances.
pub fn owner<S: AsRef<str>>(item: &str, instances: &[S]) -> Option<usize> {
    let hash = name_hash(item);
    (0..instances.len()).max_by_key(|index| score(hash, name_hash(instances[*index].as_ref())))
}

/// Assigns each item to one instance, with a bound on the number of items per instance.
///
/// An instance gets at most `items / instances`, rounded up. An item is assigned to the instance
/// with the highest rendezvous score that still has room. The result contains one index into
/// `instances` for each item, and is empty without instances. The assignment does not depend on
/// the order of the names.
pub fn assign_evenly<S: AsRef<str>>(items: &[S], instances: &[S]) -> Vec<usize> {
    if instances.is_empty() {
        return Vec::new();
    }
    let limit = items.len().div_ceil(instances.len());
    let hashes: Vec<u64> = instances.iter().map(|name| name_hash(name.as_ref())).collect();
    let mut order: Vec<(u64, usize)> =
        items.iter().enumerate().map(|(index, name)| (name_hash(name.as_ref()), index)).collect();
    order.sort_unstable();
    let mut taken = vec![0; instances.len()];
    let mut owners = vec![0; items.len()];
    for (hash, index) in order {
        let open = (0..hashes.len()).filter(|candidate| taken[*candidate] < limit);
        let best = open.max_by_key(|candidate| score(hash, hashes[*candidate])).unwrap_or(0);
        taken[best] += 1;
        owners[index] = best;
    }
    owners
}

/// One endpoint of a pool that is split into subsets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SubsetItem<'a> {
    /// Name of the endpoint.
    pub name: &'a str,
    /// Failure domain of the endpoint.
    pub domain: &'a str,
}

/// Returns the indices into `pool` of the endpoints that `entry` uses.
///
/// The pool is arranged as a ring in hash order with interleaved failure domains, and each entry
/// uses an arc of `size` consecutive endpoints. The arcs start at even distances, so that the
/// numbers of entries per endpoint differ by at most one, and a change of the number of entries
/// shifts each arc only slightly. If `size` is at least the pool's size, all are returned. Call it
/// once for each pool of a service and model, so that every pool is covered. An entry that is not
/// among `entries` is treated as if it were one of them.
pub fn subset<S: AsRef<str>>(
    entry: &str,
    entries: &[S],
    pool: &[SubsetItem<'_>],
    size: usize,
) -> Vec<usize> {
    if size >= pool.len() {
        return (0..pool.len()).collect();
    }
    let mut names: Vec<&str> = entries.iter().map(AsRef::as_ref).collect();
    names.push(entry);
    names.sort_unstable();
    names.dedup();
    let rank = names.iter().position(|name| *name == entry).unwrap_or(0);
    let hashed: Vec<(&str, u64)> =
        pool.iter().map(|item| (item.domain, name_hash(item.name))).collect();
    let ring = interleave_domains(&hashed);
    let start = rank * pool.len() / names.len();
    (0..size).map(|step| ring[(start + step) % ring.len()]).collect()
}

/// Orders endpoints, each given by its failure domain and the hash of its name, by hash,
/// interleaving the failure domains.
pub(crate) fn interleave_domains(pool: &[(&str, u64)]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..pool.len()).collect();
    order.sort_unstable_by_key(|index| pool[*index]);
    let mut turns: Vec<(usize, &str, usize)> = Vec::with_capacity(pool.len());
    let mut turn = 0;
    for (position, index) in order.iter().enumerate() {
        let domain = pool[*index].0;
        let first = position == 0 || pool[order[position - 1]].0 != domain;
        turn = if first { 0 } else { turn + 1 };
        turns.push((turn, domain, *index));
    }
    turns.sort_unstable();
    turns.into_iter().map(|(_, _, index)| index).collect()
}

/// Returns the indices of the names in an order that is the same at all instances.
pub fn rank<S: AsRef<str>>(names: &[S]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..names.len()).collect();
    order.sort_by_cached_key(|index| (Reverse(name_hash(names[*index].as_ref())), *index));
    order
}

/// Hashes a name; the result is the same in every process and build.
pub fn name_hash(name: &str) -> u64 {
    let hash = Sha256::digest(name.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash[..8]);
    u64::from_le_bytes(bytes)
}

/// Rendezvous score of an instance for an item, computed from the hashes of both.
pub fn score(item: u64, instance: u64) -> u64 {
    let mut mixed = item ^ instance.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
