//! Memory that the process uses.

const STATM: &str = "/proc/self/statm";
const PAGE_BYTES: u64 = 4 << 10;

/// Resident memory in bytes; zero where the system does not tell.
pub fn resident_bytes() -> u64 {
    let resident = || {
        let statm = std::fs::read_to_string(STATM).ok()?;
        statm.split_whitespace().nth(1)?.parse::<u64>().ok()
    };
    resident().unwrap_or_default() * PAGE_BYTES
}
