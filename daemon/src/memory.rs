//! Memory use of the process.

/// File in which Linux reports memory use in pages.
const STATM: &str = "/proc/self/statm";
/// Size of a memory page.
const PAGE_BYTES: u64 = 4 << 10;

/// Returns the resident memory in bytes; zero if the system does not report it.
pub fn resident_bytes() -> u64 {
    let resident = || {
        let statm = std::fs::read_to_string(STATM).ok()?;
        statm.split_whitespace().nth(1)?.parse::<u64>().ok()
    };
    resident().unwrap_or_default() * PAGE_BYTES
}
