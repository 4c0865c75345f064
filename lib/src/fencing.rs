//! Fencing check that a sidecar applies to orders, for targets that do not check them.

/// Store key of the highest fencing number that any placer has used.
pub const FENCING_KEY: &str = "placer/fencing";

/// Highest fencing number that a sidecar has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fencing {
    highest: u64,
}

impl Fencing {
    /// Records a fencing number; a number below the highest has no effect.
    pub fn observe(&mut self, fencing: u64) {
        self.highest = self.highest.max(fencing);
    }

    /// Admits an order and records its number.
    ///
    /// Returns the highest number as the error if the order's number is lower.
    pub fn admit(&mut self, fencing: u64) -> Result<(), u64> {
        if fencing < self.highest {
            return Err(self.highest);
        }
        self.highest = fencing;
        Ok(())
    }
}
