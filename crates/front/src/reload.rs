//! Reloads the operators' file and the configuration: when this process is told so by SIGHUP, and when another process
//! of this front was.

use crate::clients::SharedClients;
use crate::membership;
use crate::messages::{DiscoveryMessage, DispatcherMessage, MembershipMessage};
use crate::runtime_state::{Peer, RuntimeState};
use crate::settings::Settings;
use juniperdock_operator_config::{Fault, OperatorConfig, WaitQueueConfig};
use juniperdock_runtime_state::Change;
use juniperdock_wait_queue::WaitLimits;
use may::sync::mpsc::Sender;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};

/// What a reload reads, and where its changes go.
pub struct Reloader {
    pub settings: Settings,
    /// The operators' file, and its contents in force.
    pub operators_file: Option<PathBuf>,
    pub operator_config: Mutex<OperatorConfig>,
    pub clients: Arc<SharedClients>,
    pub discovery: Sender<DiscoveryMessage>,
    pub runtime_state: Arc<RuntimeState>,
}

impl Reloader {
    /// Reloads both files and tells the other processes of this front to do so, but the one that has told this one.
    /// Limits of the wait queue, keys of peers and the address of discovery take effect at once; other changes only at
    /// the next start.
    pub fn reload(&self, source: Option<Peer>) {
        let (counters, log) = (&self.clients.counters, &self.clients.log);
        // Held throughout: of two reloads the later one has read the files later.
        let mut operator_config = self.operator_config.lock().unwrap_or_else(PoisonError::into_inner);
        self.runtime_state.publish(Change::Reload, source);
        counters.reloads.add();
        slog::info!(log, "reload"; "told_by" => source.map_or("SIGHUP", Peer::name));
        let warn = |changed: Vec<&str>| {
            if !changed.is_empty() {
                slog::warn!(log, "configuration change takes effect only at the next start"; "in" => changed.join(", "));
            }
        };
        match self.reload_operators_file(&mut operator_config) {
            Ok(changed) => warn(changed),
            Err(why) => {
                counters.reloads_failed.add();
                slog::error!(log, "could not reload the operators' file; keeping the current one"; "why" => why);
            }
        }
        match self.settings.reread() {
            Ok((address, changed)) => {
                self.runtime_state.set_discovery(address);
                self.clients.clock.post(&self.discovery, DiscoveryMessage::SetAddress(address));
                warn(changed);
            }
            Err(why) => {
                counters.reloads_failed.add();
                slog::error!(log, "could not reload the configuration; keeping the current one"; "why" => why);
            }
        }
    }

    /// Reads the operators' file again. Returns the names of the sections that have changed and take effect only at the
    /// next start.
    fn reload_operators_file(&self, current: &mut OperatorConfig) -> Result<Vec<&'static str>, String> {
        let Some(file) = &self.operators_file else { return Ok(Vec::new()) };
        let clients = &self.clients;
        let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        let join = |faults: Vec<Fault>| faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ");
        let new = juniperdock_operator_config::read(&text).map_err(join)?;
        if new.held != current.held {
            clients.clock.post(
                &clients.dispatcher,
                DispatcherMessage::SetWaitLimits(wait_limits(&new.held), new.held.untaken_share),
            );
            current.held = new.held.clone();
        }
        if let (Some(new), Some(old), Some(_)) = (&new.fellows, &mut current.fellows, &clients.membership) {
            // The key files may have changed under the same names.
            clients.send_to_membership(MembershipMessage::SetKeys(membership::read_keys(&new.keys)?));
            old.keys.clone_from(&new.keys);
        }
        let other = [
            ("log", new.log != current.log),
            ("control", new.control != current.control),
            ("upgrade", new.upgrade != current.upgrade),
            ("snapshot", new.snapshot != current.snapshot),
            ("fellows", new.fellows != current.fellows),
        ];
        Ok(other.into_iter().filter(|(_, changed)| *changed).map(|(name, _)| name).collect())
    }
}

/// The limits of the wait queue that the operators' file sets.
pub fn wait_limits(held: &WaitQueueConfig) -> WaitLimits {
    WaitLimits {
        per_group: held.of_group,
        total: held.of_all,
        bytes_per_group: held.kib_of_group.saturating_mul(1024),
        total_bytes: held.kib_of_all.saturating_mul(1024),
    }
}
