//! The new process's side: receives the listener and the clients of the process that it replaces.

use super::SUCCESSOR_ENV;
use super::changes::ChangeSender;
use crate::clients::SharedClients;
use crate::clock::Clock;
use crate::messages::{DiscoveryMessage, DispatcherMessage};
use crate::reload::Reloader;
use crate::runtime_state::{Peer, RuntimeState};
use crate::threads;
use juniperdock_fd_passing::{PacketSocket, PeerProcess, Received};
use juniperdock_hot_restart::message::{self, MAX_MESSAGE_LEN, MessageHandler};
use juniperdock_hot_restart::{ChangePieces, NewProcess, SUPPORTED_VERSIONS, Stage};
use juniperdock_runtime_state::{Change, InitialState, MAX_CHANGE_LEN, PrimaryChange};
use juniperdock_session_marks::{SharedMarks, TableError};
use may::sync::mpsc::Sender;
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// How long the new process waits for a message. The old process has its own, shorter limits for each step.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(30);

/// How often the old process is told what is put in force here, while it answers what it has in hand.
const CHANGES_INTERVAL: Duration = Duration::from_millis(10);

/// Where changes go that the old process is told before the commit.
pub struct ChangeTarget {
    pub clock: Clock,
    pub discovery: Sender<DiscoveryMessage>,
    pub runtime_state: Arc<RuntimeState>,
}

/// A client received from the old process.
struct ReceivedClient {
    stream: TcpStream,
    unread: Vec<u8>,
    open: bool,
    skipping: bool,
}

/// The new process's side of an upgrade.
pub struct TransferTarget {
    socket: PacketSocket,
    state: NewProcess,
    descriptor: Option<OwnedFd>,
    listener: Option<TcpListener>,
    unread: Vec<u8>,
    received_clients: Vec<ReceivedClient>,
    snapshot: Vec<u8>,
    /// The table of session marks, if the old process has sent it.
    session_marks: Option<Result<SharedMarks, TableError>>,
    /// The old process.
    peer: Result<PeerProcess, String>,
    /// Idle connections to members, by their ids.
    idle: Vec<(String, TcpStream)>,
    received_changes: ChangePieces,
    /// The old process speaks a version of the protocol in which both tell each other what is put in force.
    shares_runtime_state: bool,
    /// What this process starts from.
    initial_state: InitialState,
    /// Set once this process has started from it: later changes go there.
    change_target: Option<ChangeTarget>,
    /// The operators' files were reloaded in the old process before the commit.
    reload_due: bool,
    /// The old process was told to end the front.
    terminate_due: bool,
    /// Planned changes of primaries in the old process, until they are passed on.
    primary_changes: Option<Vec<PrimaryChange>>,
    error: Option<&'static str>,
}

impl MessageHandler for TransferTarget {
    fn agreed(&mut self, version: u16) {
        if !self.state.on_version(version) {
            self.error = Some("no common protocol version");
        }
    }

    fn session_marks(&mut self) {
        let table = self.descriptor.take().ok_or(TableError::NotATable);
        self.session_marks = Some(table.and_then(SharedMarks::from_descriptor));
    }

    fn change(&mut self, piece: &[u8], last: bool) {
        if !self.received_changes.append(piece, last) {
            self.error = Some("a change of the runtime state is too long");
        }
    }

    fn state_complete(&mut self) {
        if !self.state.on_state_complete() {
            self.error = Some("unexpected end of the runtime state");
        }
        self.shares_runtime_state = true;
    }

    fn memory(&mut self, piece: &[u8]) {
        self.snapshot.extend_from_slice(piece);
        if self.snapshot.len() > juniperdock_snapshot::MAX_SNAPSHOT_BYTES {
            self.error = Some("the snapshot of the old process is too long");
        }
    }

    fn listener(&mut self) {
        self.listener = self.descriptor.take().map(TcpListener::from);
        if !self.state.on_listener() || self.listener.is_none() {
            self.error = Some("listener missing or unexpected");
        }
    }

    fn unread(&mut self, bytes: &[u8]) {
        self.unread.extend_from_slice(bytes);
    }

    fn client(&mut self, number: u64, open: bool, skipping: bool) {
        let unread = std::mem::take(&mut self.unread);
        let (Some(fd), Some(_)) = (self.descriptor.take(), self.state.on_client()) else {
            self.error = Some("unexpected client");
            return;
        };
        self.received_clients.push(ReceivedClient { stream: TcpStream::from(fd), unread, open, skipping });
        // After this confirmation the client belongs to this process, provided that the restart is committed.
        let _ = self.socket.send(&message::client_received(number), None);
    }

    fn idle(&mut self, member: &str) {
        let stream = self.descriptor.take().map(TcpStream::from);
        self.idle.extend(stream.map(|stream| (member.to_owned(), stream)));
    }

    fn commit(&mut self) {
        if !self.state.on_commit() {
            self.error = Some("unexpected commit");
        }
    }

    fn nonsense(&mut self) {
        self.error = Some("malformed message");
    }
}

impl TransferTarget {
    /// Connects to the process to be replaced, agrees on a protocol version and receives the state to start from; `None`
    /// if this process was started otherwise.
    pub fn connect() -> Option<Result<TransferTarget, String>> {
        std::env::var_os(SUCCESSOR_ENV)?;
        Some(PacketSocket::take_stdin().and_then(|socket| {
            let (unread, received_clients, snapshot) = (Vec::new(), Vec::new(), Vec::new());
            // Opened before the old process answers, so its id can't have passed to another process.
            let peer = socket.peer();
            let mut target = TransferTarget {
                socket,
                state: NewProcess::default(),
                descriptor: None,
                listener: None,
                unread,
                received_clients,
                snapshot,
                session_marks: None,
                peer,
                idle: Vec::new(),
                received_changes: ChangePieces::new(MAX_CHANGE_LEN),
                shares_runtime_state: false,
                initial_state: InitialState::default(),
                change_target: None,
                reload_due: false,
                terminate_due: false,
                primary_changes: None,
                error: None,
            };
            target.socket.send(&message::hello(SUPPORTED_VERSIONS.0, SUPPORTED_VERSIONS.1), None)?;
            target.wait_for_stage(Stage::Preparing)?;
            Ok(target)
        }))
    }

    /// Handles messages until that stage is reached.
    fn wait_for_stage(&mut self, stage: Stage) -> Result<(), String> {
        let started_at = Instant::now();
        while self.state.stage() != stage {
            self.receive_message(MESSAGE_TIMEOUT.saturating_sub(started_at.elapsed()))?;
            if started_at.elapsed() >= MESSAGE_TIMEOUT {
                return Err("no message from the old process in time".to_owned());
            }
        }
        Ok(())
    }

    fn receive_message(&mut self, wait: Duration) -> Result<(), String> {
        match self.socket.receive(MAX_MESSAGE_LEN, wait)? {
            Received::Packet(message, with) => {
                self.descriptor = with;
                message::deliver_to_new(&message, self);
            }
            Received::TimedOut => {}
            Received::Closed => {
                if !self.state.on_disconnected() {
                    return Err("the old process continues without this one".to_owned());
                }
                return Err("the old process has exited".to_owned());
            }
        }
        self.error.map_or(Ok(()), |why| Err(format!("hot restart: {why}")))?;
        self.received_changes
            .take_complete()
            .iter()
            .try_for_each(|encoded| self.apply(Change::decode(encoded)?))
    }

    /// Puts in force what the old process was told before the commit.
    fn apply(&mut self, change: Change) -> Result<(), String> {
        match (&self.change_target, change) {
            (None, change) => self.initial_state.record(change),
            // From the commit on this process reads the address itself, maybe a later one.
            (Some(_), Change::DiscoveryAddress(_)) if self.state.stage() == Stage::Serving => {}
            (Some(target), Change::DiscoveryAddress(address)) => {
                target.runtime_state.set_discovery(address);
                target.clock.post(&target.discovery, DiscoveryMessage::SetAddress(address));
            }
            (Some(_), Change::Reload) => self.reload_due = true,
            (Some(target), Change::ServersChanged(change)) => {
                target.clock.post(&target.discovery, DiscoveryMessage::PeerList(change));
            }
            (Some(_), Change::PrimaryChanges(changes)) => self.primary_changes = Some(changes),
            (Some(_), Change::Terminate) => self.terminate_due = true,
            // They are sent once, at the start.
            (Some(_), Change::Servers(_) | Change::InferredRestarts(_) | Change::ServerTime(_)) => {}
        }
        Ok(())
    }

    /// Takes the state that this process starts from.
    pub fn take_initial_state(&mut self) -> InitialState {
        let state = std::mem::take(&mut self.initial_state);
        self.reload_due |= state.reload;
        self.primary_changes = Some(state.primary_changes.clone());
        state
    }

    /// To be called once this process has started from the initial state: later changes go to `target`.
    pub fn follow_changes(&mut self, target: ChangeTarget) {
        self.change_target = Some(target);
    }

    /// Reports that this process is ready to serve, and waits for the listener.
    pub fn receive_listener(&mut self) -> Result<TcpListener, String> {
        self.socket.send(&message::ready(), None)?;
        self.wait_for_stage(Stage::Receiving)?;
        self.listener.take().ok_or_else(|| "no listener received".to_owned())
    }

    /// Collects clients and connections until the commit, then serves them. Clients that were busy follow on a thread.
    pub fn serve(mut self, reloader: &Arc<Reloader>) -> Result<(), String> {
        let clients = &reloader.clients;
        self.wait_for_stage(Stage::Serving)?;
        self.adopt_session_marks(clients);
        if !self.snapshot.is_empty() {
            clients.clock.post(
                &clients.dispatcher,
                DispatcherMessage::RestoreSnapshot(std::mem::take(&mut self.snapshot)),
            );
        }
        self.pass_primary_changes_on(clients);
        self.admit_received(clients);
        let (clients, reloader) = (clients.clone(), reloader.clone());
        clients.receiving_transfers.store(true, Ordering::Release);
        let subscribe = || ChangeSender::new(reloader.runtime_state.subscribe(Peer::Predecessor));
        let mut changes = self.shares_runtime_state.then(subscribe);
        threads::start("received clients", move || {
            loop {
                if std::mem::take(&mut self.reload_due) {
                    reloader.reload(Some(Peer::Predecessor));
                }
                if std::mem::take(&mut self.terminate_due) {
                    // This process ends the usual way.
                    let _ = signal_hook::low_level::raise(signal_hook::consts::SIGTERM);
                }
                // An old process that takes nothing more may have sent clients that are not read yet.
                changes.take_if(|changes| changes.send(&self.socket).is_err());
                if let Err(why) = self.receive_message(CHANGES_INTERVAL) {
                    slog::info!(clients.log, "no more from the old process"; "why" => why);
                    break;
                }
                self.pass_primary_changes_on(&clients);
                self.admit_received(&clients);
            }
            drop(changes);
            // Clients that are still in it are closed with it.
            drop(self.socket);
            clients.receiving_transfers.store(false, Ordering::Release);
            match self.peer.and_then(|peer| peer.wait_for_end()) {
                Ok(()) => clients.clock.post(&clients.dispatcher, DispatcherMessage::PredecessorEnded),
                Err(why) => {
                    slog::warn!(clients.log, "the old process may still commit, as far as is known"; "why" => why);
                }
            }
        })
    }

    /// Hands the table of session marks to the dispatcher, which takes all marks for lost until it has one.
    fn adopt_session_marks(&mut self, clients: &SharedClients) {
        match self.session_marks.take() {
            Some(Ok(table)) => {
                clients.clock.post(&clients.dispatcher, DispatcherMessage::PredecessorServes(Some(table)))
            }
            Some(Err(why)) => slog::warn!(clients.log, "session marks are lost"; "why" => %why),
            None => slog::info!(clients.log, "the old process shares no session marks"),
        }
    }

    /// Hands planned changes of the old process to the dispatcher, behind the snapshot that says who the primaries are.
    fn pass_primary_changes_on(&mut self, clients: &SharedClients) {
        if let Some(changes) = self.primary_changes.take() {
            clients.clock.post(&clients.dispatcher, DispatcherMessage::FollowPrimaryChanges(changes));
        }
    }

    fn admit_received(&mut self, clients: &Arc<SharedClients>) {
        for (member, stream) in self.idle.drain(..) {
            clients.clock.post(&clients.dispatcher, DispatcherMessage::AdoptConnection(member, stream));
        }
        // The clients sent last are the most active ones and must not wait behind the others.
        for client in self.received_clients.drain(..).rev() {
            clients.clone().admit(client.stream, &client.unread, client.open, client.skipping);
        }
    }
}
