//! Fencing numbers of orders, for targets that do not check them.

/// Store key of the highest fencing number that a placer has taken.
pub const FENCING_KEY: &str = "placer/fencing";

/// Highest fencing number that a sidecar knows of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fencing {
    highest: u64,
}

impl Fencing {
    /// Raises the number; a lower one changes nothing.
    pub fn observe(&mut self, fencing: u64) {
        self.highest = self.highest.max(fencing);
    }

    /// Admits an order, or answers the higher number that has been seen.
    pub fn admit(&mut self, fencing: u64) -> Result<(), u64> {
        if fencing < self.highest {
            return Err(self.highest);
        }
        self.highest = fencing;
        Ok(())
    }
}
