//! Time since the machine was booted, which no clock adjustment affects.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A point in time within one boot of the machine: the time since that boot, including time suspended
/// (clock_gettime(2), CLOCK_BOOTTIME), and the id of the boot (/proc/sys/kernel/random/boot_id, random(4)).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct MachineTime {
    pub boot: String,
    pub up_us: i64,
}

impl MachineTime {
    /// Returns the microseconds from `earlier` to this point, or `None` if the two belong to different boots or
    /// machines and can't be compared.
    pub fn since(&self, earlier: &MachineTime) -> Option<i64> {
        let same = self.boot == earlier.boot;
        Some(self.up_us.saturating_sub(earlier.up_us)).filter(|span| same && *span >= 0)
    }
}
