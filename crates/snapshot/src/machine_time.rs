//! Time by the machine itself, which nobody sets.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A moment of one run of the machine: how long it had been up, time suspended with it (clock_gettime(2),
/// CLOCK_BOOTTIME), and which run it was (/proc/sys/kernel/random/boot_id, random(4)).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct MachineTime {
    pub boot: String,
    pub up_us: i64,
}

impl MachineTime {
    /// Microseconds from an earlier moment to this one; none where they are of two runs or machines, as then nothing follows.
    pub fn since(&self, earlier: &MachineTime) -> Option<i64> {
        let same = self.boot == earlier.boot;
        Some(self.up_us.saturating_sub(earlier.up_us)).filter(|span| same && *span >= 0)
    }
}
