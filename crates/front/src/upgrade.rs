//! Hands the front over to a process that succeeds it, or takes over from one. The rules are those of
//! `juniperdock_hot_restart`; here they meet processes, descriptors and clients' actors. On threads of its own,
//! for calls wait.

use crate::client::CONNECTION_STACK_BYTES;
use crate::clients::{ClientTransfer, SharedClients, TransferResult};
use crate::messages::{DispatcherMessage, MembershipMessage};
use juniperdock_connection::{Door, spawn};
use juniperdock_fd_passing::{PacketSocket, Received};
use juniperdock_hot_restart::message::{self, MAX_MESSAGE_LEN, MessageHandler};
use juniperdock_hot_restart::{Do, Giver, Phase, SUPPORTED_VERSIONS, Stage, Taker, Times};
use std::collections::BTreeMap;
use std::net::{TcpListener, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, Sender, SyncSender, channel, sync_channel};
use std::time::{Duration, Instant};

/// Tells a new process that its standard input is the line to the one that it succeeds.
const TAKES_OVER: &str = "JUNIPERDOCK_TAKES_OVER";
/// How long one look at the line lasts.
const LOOK: Duration = Duration::from_millis(2);
/// Clients that are sent before the next look at what was taken.
const A_FEW: usize = 16;
/// How long a process may take from the end of its line to its own.
const ENDS: Duration = Duration::from_secs(1);
/// How long the desk may take over what it knows.
const KNOWS: Duration = Duration::from_millis(500);
/// How long the new process waits for a word of the old one. Each of its own steps has limits there.
const WORD: Duration = Duration::from_secs(30);

/// An idle connection, and its member's id.
type Idle = (String, OwnedFd);

/// The old process's side.
struct Giving {
    clients: Arc<SharedClients>,
    door: Arc<Door>,
    line: PacketSocket,
    child: Child,
    giver: Giver,
    mover: Sender<ClientTransfer>,
    moves: Receiver<ClientTransfer>,
    away: BTreeMap<u64, TransferResult>,
    /// Idle connections to members on their way.
    idles: (Sender<Idle>, Receiver<Idle>),
    log: slog::Logger,
}

/// Starts the program and hands over to it. `tell` hears how it went: the new process's id, or why this one
/// goes on.
pub fn give(
    clients: Arc<SharedClients>,
    door: Arc<Door>,
    program: &Path,
    times: Times,
    tell: &SyncSender<Result<u32, String>>,
    log: slog::Logger,
) {
    let started = PacketSocket::pair().and_then(|(line, theirs)| {
        let child = Command::new(program)
            .args(std::env::args_os().skip(1))
            .env(TAKES_OVER, "1")
            .stdin(Stdio::from(theirs))
            .spawn();
        child.map(|child| (line, child)).map_err(|e| format!("starting {}: {e}", program.display()))
    });
    let (line, child) = match started {
        Ok(started) => started,
        Err(why) => return drop(tell.try_send(Err(why))),
    };
    slog::info!(log, "an upgrade begins"; "program" => %program.display(), "pid" => child.id());
    let (mover, moves) = channel();
    let giver = Giver::new(clients.clock.now(), times);
    Giving { clients, door, line, child, giver, mover, moves, away: BTreeMap::new(), idles: channel(), log }
        .run(tell);
}

impl Giving {
    fn run(mut self, tell: &SyncSender<Result<u32, String>>) {
        loop {
            self.hear();
            if !matches!(self.child.try_wait(), Ok(None)) {
                self.giver.gone();
            }
            // A few at a time: who only sends does not hear that they were taken, and both would wait.
            let clients: Vec<_> = self.moves.try_iter().take(A_FEW).collect();
            if clients.len() < A_FEW {
                for (member, connection) in self.idles.1.try_iter().take(A_FEW).collect::<Vec<_>>() {
                    self.say(&message::idle(&member), Some(&connection));
                }
            }
            clients.into_iter().for_each(|client| self.send(client));
            // Those that still come from the process before this one have to go on, too.
            let coming = self.clients.receiving_transfers.load(Ordering::Acquire);
            self.giver.left(self.clients.present() + usize::from(coming));
            while let Some(step) = self.giver.step(self.clients.clock.now()) {
                if self.carry_out(step, tell) {
                    return;
                }
            }
            if let Phase::Undone(why) = self.giver.phase() {
                // Nobody is under way any more.
                slog::error!(self.log, "an upgrade is undone"; "why" => ?why);
                let _ = tell.try_send(Err(format!("undone: {why:?}")));
                return;
            }
        }
    }

    /// Hears what the new process has said by now; waits a moment for the first word.
    fn hear(&mut self) {
        let mut wait = LOOK;
        for _ in 0..4 * A_FEW {
            match self.line.receive(MAX_MESSAGE_LEN, wait) {
                Ok(Received::Packet(word, _)) => message::deliver_to_old(&word, &mut self.giver),
                Ok(Received::TimedOut) => return,
                Ok(Received::Closed) => return self.giver.gone(),
                Err(_) => return self.giver.nonsense(),
            }
            wait = Duration::ZERO;
        }
    }

    fn say(&mut self, word: &[u8], with: Option<&OwnedFd>) -> bool {
        let said = self.line.send(word, with).is_ok();
        if !said {
            self.giver.gone();
        }
        said
    }

    /// What this front knows; nothing where the desk is late.
    fn memory(&self) -> Vec<u8> {
        let (tell, told) = sync_channel(1);
        self.clients.clock.post(&self.clients.dispatcher, DispatcherMessage::TakeSnapshot(tell));
        let memory = told.recv_timeout(KNOWS).map_err(|e| e.to_string()).and_then(|memory| memory);
        memory.unwrap_or_else(|why| {
            slog::warn!(self.log, "the new process has to learn anew"; "why" => why);
            Vec::new()
        })
    }

    /// Sends a client with what it has sent; where clients do not move any more, it stays.
    fn send(&mut self, client: ClientTransfer) {
        let ClientTransfer { number, descriptor, unread, open, skipping, result } = client;
        let sent = self.giver.moves()
            && unread.chunks(MAX_MESSAGE_LEN - 1).all(|piece| self.say(&message::unread(piece), None))
            && self.say(&message::client(number, open, skipping), Some(&descriptor));
        if !sent {
            result.complete(false);
            return;
        }
        self.away.insert(number, result);
        self.giver.sent(self.clients.clock.now(), number);
    }

    /// True once all is over.
    fn carry_out(&mut self, step: Do, tell: &SyncSender<Result<u32, String>>) -> bool {
        match step {
            Do::Agree(version) => drop(self.say(&message::agree(version), None)),
            Do::Offer => match self.door.descriptor() {
                Ok(listener) => {
                    let memory = self.memory();
                    let whole = memory
                        .chunks(MAX_MESSAGE_LEN - 1)
                        .all(|piece| self.say(&message::memory(piece), None));
                    if whole
                        && self.say(&message::memory(&[]), None)
                        && self.say(&message::listener(), Some(&listener))
                    {
                        self.clients.start_transfer(self.mover.clone());
                    }
                }
                Err(_) => self.giver.call_off(),
            },
            Do::Gather => self.clients.transfer_all(),
            Do::Commit => {
                if self.say(&message::commit(), None) {
                    self.clients.stop_accepting.store(true, Ordering::Release);
                    let bell = self.door.bell();
                    self.clients.clock.run_at(Duration::ZERO, move || bell.ring());
                    // The new process needs the address, and speaks in this place from now on.
                    self.clients.send_to_membership(MembershipMessage::Leave);
                    self.clients.clock.post(
                        &self.clients.dispatcher,
                        DispatcherMessage::TransferIdle(self.idles.0.clone()),
                    );
                    slog::info!(self.log, "handed over"; "clients" => self.away.len(), "pid" => self.child.id());
                    let _ = tell.try_send(Ok(self.child.id()));
                }
            }
            Do::Release(client) => self.away.remove(&client).iter().for_each(|result| result.complete(true)),
            Do::Keep(client) => self.away.remove(&client).iter().for_each(|result| result.complete(false)),
            Do::Resume => self.resume(),
            Do::Leave => {
                slog::info!(self.log, "the last client has moved");
                // As after any SIGTERM: nobody is left to be waited for.
                let _ = signal_hook::low_level::raise(signal_hook::consts::SIGTERM);
                return true;
            }
        }
        false
    }

    /// Serves on: clients stay, and new ones are taken in again.
    fn resume(&mut self) {
        self.clients.stop_transfer();
        while let Ok(client) = self.moves.try_recv() {
            client.result.complete(false);
        }
        let committed = self.clients.stop_accepting.load(Ordering::Acquire);
        // One that ends closes its line a moment before it is gone.
        let begun = Instant::now();
        while committed && matches!(self.child.try_wait(), Ok(None)) && begun.elapsed() < ENDS {
            std::thread::sleep(LOOK);
        }
        let well = matches!(self.child.try_wait(), Ok(Some(how)) if how.success());
        if committed && (well || matches!(self.child.try_wait(), Ok(None))) {
            // It serves, though its line has ended, or it has served and was told to end: this process answers
            // what it has in hand, and ends.
            let _ = signal_hook::low_level::raise(signal_hook::consts::SIGTERM);
            return;
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        if self.clients.stop_accepting.swap(false, Ordering::AcqRel) {
            while self.clients.acceptor_running.load(Ordering::Acquire) {
                std::thread::sleep(LOOK);
            }
            self.clients.send_to_membership(MembershipMessage::Join);
            let (clients, door) = (self.clients.clone(), self.door.clone());
            if let Err(why) =
                spawn("acceptor", CONNECTION_STACK_BYTES, move || clients.accept_until_stopped(&door))
            {
                slog::crit!(self.log, "nobody can be taken in any more"; "why" => why);
            }
        }
    }
}

/// A client that has come from the old process.
struct Coming {
    stream: TcpStream,
    unread: Vec<u8>,
    open: bool,
    skipping: bool,
}

/// The new process's side.
pub struct Taking {
    line: PacketSocket,
    taker: Taker,
    with: Option<OwnedFd>,
    listener: Option<TcpListener>,
    unread: Vec<u8>,
    coming: Vec<Coming>,
    memory: Vec<u8>,
    /// Idle connections to members, by their ids.
    idle: Vec<(String, TcpStream)>,
    why: Option<&'static str>,
}

impl MessageHandler for Taking {
    fn agreed(&mut self, version: u16) {
        if !self.taker.agreed(version) {
            self.why = Some("no version that both speak");
        }
    }

    fn memory(&mut self, piece: &[u8]) {
        self.memory.extend_from_slice(piece);
        if self.memory.len() > juniperdock_snapshot::LONGEST {
            self.why = Some("what the old process knows is too long");
        }
    }

    fn listener(&mut self) {
        self.listener = self.with.take().map(TcpListener::from);
        if !self.taker.listener() || self.listener.is_none() {
            self.why = Some("no listener came");
        }
    }

    fn unread(&mut self, bytes: &[u8]) {
        self.unread.extend_from_slice(bytes);
    }

    fn client(&mut self, number: u64, open: bool, skipping: bool) {
        let unread = std::mem::take(&mut self.unread);
        let (Some(fd), Some(_)) = (self.with.take(), self.taker.client()) else {
            self.why = Some("a client came out of turn");
            return;
        };
        self.coming.push(Coming { stream: TcpStream::from(fd), unread, open, skipping });
        // From here on it is this process's, should it serve.
        let _ = self.line.send(&message::client_received(number), None);
    }

    fn idle(&mut self, member: &str) {
        let stream = self.with.take().map(TcpStream::from);
        self.idle.extend(stream.map(|stream| (member.to_owned(), stream)));
    }

    fn commit(&mut self) {
        if !self.taker.commit() {
            self.why = Some("a commit came out of turn");
        }
    }

    fn nonsense(&mut self) {
        self.why = Some("what came can't be read");
    }
}

impl Taking {
    /// Greets the process that is to be succeeded, if this one was started to do so.
    pub fn begin() -> Option<Result<Taking, String>> {
        std::env::var_os(TAKES_OVER)?;
        let line = std::io::stdin().as_fd().try_clone_to_owned().map(PacketSocket::from_fd);
        Some(line.map_err(|e| format!("standard input: {e}")).and_then(|line| {
            let (unread, coming, memory) = (Vec::new(), Vec::new(), Vec::new());
            let mut taking = Taking {
                line,
                taker: Taker::default(),
                with: None,
                listener: None,
                unread,
                coming,
                memory,
                idle: Vec::new(),
                why: None,
            };
            taking.line.send(&message::hello(SUPPORTED_VERSIONS.0, SUPPORTED_VERSIONS.1), None)?;
            taking.until(Stage::Preparing)?;
            Ok(taking)
        }))
    }

    /// Hears words until that stage is reached.
    fn until(&mut self, stage: Stage) -> Result<(), String> {
        let begun = Instant::now();
        while self.taker.stage() != stage {
            self.word(WORD.saturating_sub(begun.elapsed()))?;
            if begun.elapsed() >= WORD {
                return Err("the old process says nothing".to_owned());
            }
        }
        Ok(())
    }

    fn word(&mut self, wait: Duration) -> Result<(), String> {
        match self.line.receive(MAX_MESSAGE_LEN, wait)? {
            Received::Packet(word, with) => {
                self.with = with;
                message::deliver_to_new(&word, self);
            }
            Received::TimedOut => {}
            Received::Closed => {
                if !self.taker.gone() {
                    return Err("the old process goes on without this one".to_owned());
                }
                return Err("the old process has ended".to_owned());
            }
        }
        self.why.map_or(Ok(()), |why| Err(format!("the hand-over: {why}")))
    }

    /// Says that this process could serve, and waits for the listener.
    pub fn listener(&mut self) -> Result<TcpListener, String> {
        self.line.send(&message::ready(), None)?;
        self.until(Stage::Holding)?;
        self.listener.take().ok_or_else(|| "no listener came".to_owned())
    }

    /// Holds what comes until this process is to serve, then takes it in; clients that were busy follow.
    pub fn serve(mut self, clients: &Arc<SharedClients>) -> Result<(), String> {
        self.until(Stage::Serving)?;
        if !self.memory.is_empty() {
            clients.clock.post(
                &clients.dispatcher,
                DispatcherMessage::RestoreSnapshot(std::mem::take(&mut self.memory)),
            );
        }
        self.take_in(clients);
        let clients = clients.clone();
        clients.receiving_transfers.store(true, Ordering::Release);
        std::thread::spawn(move || {
            while self.word(WORD).is_ok() {
                self.take_in(&clients);
            }
            clients.receiving_transfers.store(false, Ordering::Release);
        });
        Ok(())
    }

    fn take_in(&mut self, clients: &Arc<SharedClients>) {
        for (member, stream) in self.idle.drain(..) {
            clients.clock.post(&clients.dispatcher, DispatcherMessage::AdoptConnection(member, stream));
        }
        // Those sent last ask most: they are not to wait behind the others.
        for client in self.coming.drain(..).rev() {
            clients.clone().admit(client.stream, &client.unread, client.open, client.skipping);
        }
    }
}
