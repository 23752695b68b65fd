//! The old process's side: starts the new process and transfers the listener and the clients to it.

use super::SUCCESSOR_ENV;
use super::changes::ChangeSender;
use crate::acceptor_state::Resumption;
use crate::client::CONNECTION_STACK_BYTES;
use crate::clients::{ClientTransfer, SharedClients, TransferResult};
use crate::messages::{DispatcherMessage, MembershipMessage};
use crate::reload::Reloader;
use crate::runtime_state::Peer;
use crate::settings::DISCOVERY_ENV;
use juniperdock_connection::{Listener, spawn};
use juniperdock_fd_passing::{PacketSocket, Received};
use juniperdock_hot_restart::message::{self, MAX_MESSAGE_LEN};
use juniperdock_hot_restart::{
    Action, ChangePieces, OldProcess, Phase, Timeouts, VERSION_WITH_RUNTIME_STATE, VERSION_WITH_SESSION_MARKS,
};
use juniperdock_runtime_state::{Change, MAX_CHANGE_LEN};
use std::collections::BTreeMap;
use std::os::fd::OwnedFd;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, Sender, SyncSender, channel, sync_channel};
use std::time::{Duration, Instant};

/// How long one wait for messages lasts.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Clients that are sent before confirmations are read again.
const BATCH_SIZE: usize = 16;
/// How long a process may take to exit after its socket has closed.
const EXIT_GRACE: Duration = Duration::from_secs(1);
/// How long the dispatcher may take to produce a snapshot, or the table of session marks.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(500);

/// The id of a member, and an idle connection to it.
type IdleConnection = (String, OwnedFd);

/// The old process's side of an upgrade.
struct TransferSource {
    clients: Arc<SharedClients>,
    listener: Arc<Listener>,
    socket: PacketSocket,
    child: Child,
    state: OldProcess,
    /// The new process has been told that it serves from now on.
    committed: bool,
    transfer_tx: Sender<ClientTransfer>,
    transfer_rx: Receiver<ClientTransfer>,
    in_flight: BTreeMap<u64, TransferResult>,
    /// Idle connections to members that are to be sent.
    idle_channel: (Sender<IdleConnection>, Receiver<IdleConnection>),
    reloader: Arc<Reloader>,
    /// What the new process is to be told of what is put in force here, and what it tells.
    changes: ChangeSender,
    received_changes: ChangePieces,
    log: slog::Logger,
}

/// Starts the program and transfers listener and clients to it. Sends `result_tx` the id of the new process once that
/// serves, or the reason why this process continues to serve.
pub fn run_upgrade(
    reloader: Arc<Reloader>,
    listener: Arc<Listener>,
    program: &Path,
    timeouts: Timeouts,
    result_tx: &SyncSender<Result<u32, String>>,
    log: slog::Logger,
) {
    let clients = reloader.clients.clone();
    // From here on: the new process may read its files before or after they are reloaded here.
    let changes = ChangeSender::new(reloader.runtime_state.subscribe(Peer::Successor));
    // Asked for early, so that it is there once both processes have agreed on a version.
    clients.clock.post(&clients.dispatcher, DispatcherMessage::SendInitialState);
    let started = PacketSocket::pair().and_then(|(socket, child_socket)| {
        let mut command = Command::new(program);
        command.args(std::env::args_os().skip(1)).env(SUCCESSOR_ENV, "1").stdin(Stdio::from(child_socket));
        // A program that can't be told of the runtime state gets at least what is in force now.
        if let Some(address) = reloader.runtime_state.discovery() {
            command.env(DISCOVERY_ENV, address.to_string());
        }
        let child = command.spawn();
        child.map(|child| (socket, child)).map_err(|e| format!("starting {}: {e}", program.display()))
    });
    let (socket, child) = match started {
        Ok(started) => started,
        Err(why) => return drop(result_tx.try_send(Err(why))),
    };
    slog::info!(log, "upgrade started"; "program" => %program.display(), "pid" => child.id());
    let (transfer_tx, transfer_rx) = channel();
    let state = OldProcess::new(clients.clock.now(), timeouts);
    TransferSource {
        clients,
        listener,
        socket,
        child,
        state,
        committed: false,
        transfer_tx,
        transfer_rx,
        in_flight: BTreeMap::new(),
        idle_channel: channel(),
        reloader,
        changes,
        received_changes: ChangePieces::new(MAX_CHANGE_LEN),
        log,
    }
    .run(result_tx);
}

impl TransferSource {
    fn run(mut self, result_tx: &SyncSender<Result<u32, String>>) {
        loop {
            self.receive_messages();
            self.apply_changes();
            self.send_changes();
            if self.reloader.runtime_state.terminates() {
                self.state.cancel();
            }
            if !matches!(self.child.try_wait(), Ok(None)) {
                self.state.on_disconnected();
            }
            // In small batches, with confirmations read in between: otherwise both sides could block on full sockets.
            let clients: Vec<_> = self.transfer_rx.try_iter().take(BATCH_SIZE).collect();
            if clients.len() < BATCH_SIZE {
                for (member, connection) in
                    self.idle_channel.1.try_iter().take(BATCH_SIZE).collect::<Vec<_>>()
                {
                    self.send_message(&message::idle(&member), Some(&connection));
                }
            }
            clients.into_iter().for_each(|client| self.send_client(client));
            // Clients still arriving from this process's own predecessor have to be transferred, too.
            let still_receiving = self.clients.receiving_transfers.load(Ordering::Acquire);
            self.state.set_remaining(self.clients.present() + usize::from(still_receiving));
            while let Some(action) = self.state.next_action(self.clients.clock.now()) {
                if self.perform(action, result_tx) {
                    return self.relay_changes();
                }
            }
            if let Phase::Aborted(why) = self.state.phase() {
                // No client is in flight any more.
                slog::error!(self.log, "upgrade aborted"; "why" => ?why);
                let _ = result_tx.try_send(Err(format!("undone: {why:?}")));
                return;
            }
        }
    }

    /// Reads the messages that have arrived from the new process; waits up to `POLL_INTERVAL` for the first.
    fn receive_messages(&mut self) {
        let mut wait = POLL_INTERVAL;
        for _ in 0..4 * BATCH_SIZE {
            match self.socket.receive(MAX_MESSAGE_LEN, wait) {
                Ok(Received::Packet(message, _)) => {
                    message::deliver_to_old(&message, &mut self.state, &mut self.received_changes);
                }
                Ok(Received::TimedOut) => return,
                Ok(Received::Closed) => return self.state.on_disconnected(),
                Err(_) => return self.state.on_protocol_error(),
            }
            wait = Duration::ZERO;
        }
    }

    /// Returns whether the message was sent; if not, the new process counts as disconnected.
    fn send_message(&mut self, message: &[u8], with: Option<&OwnedFd>) -> bool {
        let sent = self.socket.send(message, with).is_ok();
        if !sent {
            self.state.on_disconnected();
        }
        sent
    }

    /// Tells the new process what has been put in force here since the last call. What it has no room for waits, and
    /// holds the commit up.
    fn send_changes(&mut self) {
        if self.state.version() < VERSION_WITH_RUNTIME_STATE {
            return;
        }
        match self.changes.send(&self.socket) {
            Ok(all_sent) => self.state.set_changes_waiting(self.clients.clock.now(), !all_sent),
            Err(why) => {
                slog::warn!(self.log, "the new process can't be told what is in force"; "why" => why);
                self.state.on_disconnected();
            }
        }
    }

    /// Tells the new process what is put in force here until this one exits.
    fn relay_changes(mut self) {
        if self.state.version() < VERSION_WITH_RUNTIME_STATE {
            return;
        }
        while self.changes.send(&self.socket).is_ok() {
            match self.socket.receive(MAX_MESSAGE_LEN, POLL_INTERVAL) {
                Ok(Received::Packet(..) | Received::TimedOut) => {}
                Ok(Received::Closed) | Err(_) => return,
            }
        }
    }

    /// Puts in force what was put in force in the new process.
    fn apply_changes(&mut self) {
        for encoded in self.received_changes.take_complete() {
            match Change::decode(&encoded) {
                Ok(Change::Reload) => self.reloader.reload(Some(Peer::Successor)),
                Ok(Change::PrimaryChanges(changes)) => self
                    .clients
                    .clock
                    .post(&self.clients.dispatcher, DispatcherMessage::FollowPrimaryChanges(changes)),
                // This process reads the address, watches the list and probes servers itself, and sees when the other ends.
                Ok(
                    Change::DiscoveryAddress(_)
                    | Change::Servers(_)
                    | Change::ServersChanged(_)
                    | Change::InferredRestarts(_)
                    | Change::ServerTime(_)
                    | Change::Terminate,
                ) => {}
                Err(why) => {
                    slog::warn!(self.log, "the new process sends no runtime state"; "why" => why);
                    self.state.on_protocol_error();
                }
            }
        }
    }

    /// Returns an encoded snapshot, which is empty if the dispatcher does not produce one in time.
    fn snapshot(&self) -> Vec<u8> {
        let (reply, response) = sync_channel(1);
        self.clients.clock.post(&self.clients.dispatcher, DispatcherMessage::TakeSnapshot(reply));
        let snapshot =
            response.recv_timeout(SNAPSHOT_TIMEOUT).map_err(|e| e.to_string()).and_then(|snapshot| snapshot);
        snapshot.unwrap_or_else(|why| {
            slog::warn!(self.log, "no snapshot for the new process; it starts without one"; "why" => why);
            Vec::new()
        })
    }

    /// Sends a snapshot; returns whether all of it was sent.
    fn send_snapshot(&mut self) -> bool {
        let snapshot = self.snapshot();
        let pieces = snapshot.chunks(MAX_MESSAGE_LEN - 1);
        pieces.map(message::memory).all(|piece| self.send_message(&piece, None))
            && self.send_message(&message::memory(&[]), None)
    }

    /// Shares the marks of sessions with the new process, if it knows them; without them it takes all of them for lost.
    /// Returns whether the new process is still connected.
    fn send_session_marks(&mut self) -> bool {
        if self.state.version() < VERSION_WITH_SESSION_MARKS {
            return true;
        }
        let (reply, response) = sync_channel(1);
        self.clients.clock.post(&self.clients.dispatcher, DispatcherMessage::ShareSessionMarks(reply));
        let table = response.recv_timeout(SNAPSHOT_TIMEOUT).map_err(|e| e.to_string());
        match table.and_then(|table| table.map_err(|e| e.to_string())) {
            Ok(Some(table)) => self.send_message(&message::session_marks(), Some(&table)),
            Ok(None) => true,
            Err(why) => {
                slog::warn!(self.log, "no session marks for the new process"; "why" => why);
                true
            }
        }
    }

    /// Sends a client together with its unprocessed input. If clients are no longer transferred, it stays here.
    fn send_client(&mut self, client: ClientTransfer) {
        let ClientTransfer { number, descriptor, unread, open, skipping, result } = client;
        let sent = self.state.is_transferring()
            && unread
                .chunks(MAX_MESSAGE_LEN - 1)
                .all(|piece| self.send_message(&message::unread(piece), None))
            && self.send_message(&message::client(number, open, skipping), Some(&descriptor));
        if !sent {
            result.complete(false);
            return;
        }
        self.in_flight.insert(number, result);
        self.state.on_sent(self.clients.clock.now(), number);
    }

    /// Performs an action. Returns true once the upgrade is complete.
    fn perform(&mut self, action: Action, result_tx: &SyncSender<Result<u32, String>>) -> bool {
        match action {
            Action::SendVersion(version) => {
                if self.send_message(&message::agree(version), None) {
                    self.send_changes();
                }
            }
            Action::SendListener => self.send_listener(),
            Action::TransferAll => self.clients.transfer_all(),
            Action::Commit => self.commit(result_tx),
            Action::Release(client) => {
                self.in_flight.remove(&client).iter().for_each(|result| result.complete(true))
            }
            Action::Keep(client) => {
                self.in_flight.remove(&client).iter().for_each(|result| result.complete(false))
            }
            Action::Resume => self.resume(),
            Action::Exit => {
                slog::info!(self.log, "last client transferred");
                self.reloader.runtime_state.record_replaced();
                // Ends the usual way; no client is left to wait for.
                let _ = signal_hook::low_level::raise(signal_hook::consts::SIGTERM);
                return true;
            }
        }
        false
    }

    /// Hands the listener over, behind what the new process has to know before it serves; from then on clients follow.
    fn send_listener(&mut self) {
        let Ok(listener) = self.listener.descriptor() else { return self.state.cancel() };
        let is_sent = self.send_session_marks()
            && self.send_snapshot()
            && self.send_message(&message::listener(), Some(&listener));
        if is_sent {
            self.clients.start_transfer(self.transfer_tx.clone());
        }
    }

    /// Tells the new process that it serves from now on, and accepts no clients here any more.
    fn commit(&mut self, result_tx: &SyncSender<Result<u32, String>>) {
        if !self.send_message(&message::commit(), None) {
            return;
        }
        self.committed = true;
        self.clients.acceptor.request_stop();
        let waker = self.listener.waker();
        self.clients.clock.run_at(Duration::ZERO, move || waker.wake());
        // The new process needs the peer address and represents this front from now on.
        self.clients.send_to_membership(MembershipMessage::Leave);
        let idle_connections = self.idle_channel.0.clone();
        self.clients.clock.post(&self.clients.dispatcher, DispatcherMessage::TransferIdle(idle_connections));
        slog::info!(self.log, "upgrade committed"; "clients" => self.in_flight.len(), "pid" => self.child.id());
        let _ = result_tx.try_send(Ok(self.child.id()));
    }

    /// Whether the new process, which has been told to serve, does so or has ended the regular way. One that exits closes
    /// its socket shortly before it is gone.
    fn has_served(&mut self) -> bool {
        let started_at = Instant::now();
        while matches!(self.child.try_wait(), Ok(None)) && started_at.elapsed() < EXIT_GRACE {
            std::thread::sleep(POLL_INTERVAL);
        }
        match self.child.try_wait() {
            Ok(Some(status)) => status.success(),
            Ok(None) => true,
            Err(_) => false,
        }
    }

    /// Continues to serve: clients stay, and new ones are accepted again.
    fn resume(&mut self) {
        self.clients.stop_transfer();
        while let Ok(client) = self.transfer_rx.try_recv() {
            client.result.complete(false);
        }
        let committed = self.committed;
        if committed && self.has_served() {
            // This process answers its pending requests and exits.
            self.reloader.runtime_state.record_replaced();
            let _ = signal_hook::low_level::raise(signal_hook::consts::SIGTERM);
            return;
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.clients.clock.post(&self.clients.dispatcher, DispatcherMessage::UpgradeUndone { committed });
        let resumption = self.clients.acceptor.resume();
        if resumption != Resumption::NotStopped {
            self.clients.send_to_membership(MembershipMessage::Join);
        }
        if resumption == Resumption::Restart {
            self.restart_acceptor();
        }
    }

    fn restart_acceptor(&self) {
        let (clients, listener) = (self.clients.clone(), self.listener.clone());
        let started =
            spawn("acceptor", CONNECTION_STACK_BYTES, move || clients.accept_until_stopped(&listener));
        if let Err(why) = started {
            self.clients.acceptor.finish();
            slog::crit!(self.log, "no acceptor: new clients can't be accepted"; "why" => why);
        }
    }
}
