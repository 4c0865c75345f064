//! Rendezvous hashing: ranks names for a key in the same order on every host.
//!
//! Entries rank targets by prompt part and budget servers by workspace with it, so that
//! they agree without coordination.

/// Returns the weight of a name for a key; the largest weight ranks first.
///
/// The hash is FNV-1a with a final mix. It runs for each target of each request, where a
/// cryptographic hash would be too expensive.
pub fn weight(key: u64, name: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut hash = OFFSET ^ mix(key);
    for byte in name.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    }
    mix(hash)
}

/// Hashes a text to a uniformly distributed number, such as a key for [`order`].
pub fn key_of(text: &str) -> u64 {
    weight(0, text)
}

/// Sorts items by the weight of their names for a key, largest first.
pub fn order<T>(key: u64, items: &mut [T], name: impl Fn(&T) -> &str) {
    items.sort_by_cached_key(|item| std::cmp::Reverse(weight(key, name(item))));
}

fn mix(value: u64) -> u64 {
    // Finalizer of SplitMix64.
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
