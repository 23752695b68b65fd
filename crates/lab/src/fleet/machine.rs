//! System-call faults in a front's process, injected through the preloaded library.

use super::schedule::{FaultKind, InjectedFault};
use juniperdock_fault_controls::{Controls, preload};
use std::path::{Path, PathBuf};

/// The control file gives rates in units of 1/65536.
const RATE_SCALE: f64 = 65_536.0;

pub struct MachineFaults {
    file: PathBuf,
    seed: u64,
    /// The faults in effect now.
    active: Vec<InjectedFault>,
}

impl MachineFaults {
    pub fn new(dir: &Path, seed: u64, front: usize) -> MachineFaults {
        MachineFaults { file: dir.join("faults"), seed: seed ^ ((front as u64) << 40), active: Vec::new() }
    }

    /// The environment that the process has to be started with; initially no call fails.
    pub fn environment(&self) -> Result<Vec<(&'static str, String)>, String> {
        self.write().map_err(|e| format!("{}: {e}", self.file.display()))?;
        Ok(preload(&self.file)?.map(|(name, value)| (name, value.display().to_string())).to_vec())
    }

    pub fn change(&mut self, fault: &InjectedFault, begins: bool) {
        if begins {
            self.active.push(fault.clone());
        } else if let Some(at) = self.active.iter().position(|active| active == fault) {
            self.active.remove(at);
        }
        let _ = self.write();
    }

    fn write(&self) -> std::io::Result<()> {
        let mut controls = Controls { seed: self.seed, ..Controls::default() };
        for fault in &self.active {
            let rate = (fault.share.unwrap_or(0.0) * RATE_SCALE) as u32;
            let by = fault.by.unwrap_or(0.0);
            match fault.what {
                FaultKind::HeldUp => {
                    controls.held_up += rate;
                    controls.held_up_us = controls.held_up_us.max((by * 1000.0) as u32);
                }
                FaultKind::CallsFail => controls.fails += rate,
                FaultKind::ShortCalls => {
                    controls.short += rate;
                    controls.interrupted += rate;
                }
                FaultKind::ConnectionsBreak => controls.breaks += rate,
                FaultKind::DiskFails => controls.disk += rate,
                FaultKind::ClockStepped if fault.number.is_multiple_of(2) => {
                    controls.wall_clock_ms += by as i64
                }
                FaultKind::ClockStepped => controls.wall_clock_ms -= by as i64,
                _ => {}
            }
        }
        controls.write(&self.file)
    }
}
