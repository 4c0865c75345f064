//! Rendezvous hashing: an order of names for a key on which all hosts agree.

/// Weight of a name for a key; the largest comes first.
///
/// FNV-1a with a final mix: it runs for each target of each request, where a
/// cryptographic hash would cost more than the choice is worth.
pub fn weight(key: u64, name: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mut hash = OFFSET ^ mix(key);
    for byte in name.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    }
    mix(hash)
}

/// Key of a text.
pub fn key_of(text: &str) -> u64 {
    weight(0, text)
}

/// Names ordered by their weight for a key, largest first.
pub fn order<T>(key: u64, items: &mut [T], name: impl Fn(&T) -> &str) {
    items.sort_by_cached_key(|item| std::cmp::Reverse(weight(key, name(item))));
}

fn mix(value: u64) -> u64 {
    // Finalizer of SplitMix64.
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
