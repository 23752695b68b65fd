//! What a front's process meets in the machine's calls, through the library that is loaded into it.

use super::schedule::{Harm, Mishap};
use juniperdock_fault_controls::{Controls, preload};
use std::path::{Path, PathBuf};

/// Rates are told in parts of this.
const WHOLE: f64 = 65_536.0;

pub struct Machine {
    file: PathBuf,
    seed: u64,
    /// Mishaps that go on now.
    met: Vec<Mishap>,
}

impl Machine {
    pub fn new(dir: &Path, seed: u64, front: usize) -> Machine {
        Machine { file: dir.join("faults"), seed: seed ^ ((front as u64) << 40), met: Vec::new() }
    }

    /// What a process has to be started with; none of its calls fails yet.
    pub fn environment(&self) -> Result<Vec<(&'static str, String)>, String> {
        self.write().map_err(|e| format!("{}: {e}", self.file.display()))?;
        Ok(preload(&self.file)?.map(|(name, value)| (name, value.display().to_string())).to_vec())
    }

    pub fn change(&mut self, mishap: &Mishap, begins: bool) {
        if begins {
            self.met.push(mishap.clone());
        } else if let Some(at) = self.met.iter().position(|met| met == mishap) {
            self.met.remove(at);
        }
        let _ = self.write();
    }

    fn write(&self) -> std::io::Result<()> {
        let mut controls = Controls { seed: self.seed, ..Controls::default() };
        for mishap in &self.met {
            let rate = (mishap.share.unwrap_or(0.0) * WHOLE) as u32;
            let by = mishap.by.unwrap_or(0.0);
            match mishap.what {
                Harm::HeldUp => {
                    controls.held_up += rate;
                    controls.held_up_us = controls.held_up_us.max((by * 1000.0) as u32);
                }
                Harm::CallsFail => controls.fails += rate,
                Harm::ShortCalls => {
                    controls.short += rate;
                    controls.interrupted += rate;
                }
                Harm::ConnectionsBreak => controls.breaks += rate,
                Harm::DiskFails => controls.disk += rate,
                Harm::ClockStepped if mishap.number.is_multiple_of(2) => controls.wall_clock_ms += by as i64,
                Harm::ClockStepped => controls.wall_clock_ms -= by as i64,
                _ => {}
            }
        }
        controls.write(&self.file)
    }
}
