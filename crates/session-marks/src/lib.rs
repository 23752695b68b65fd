//! The newest commits of sessions, in memory that the processes of one front share while one of them replaces the
//! other. What one process records is visible to the others at once, without a message that may be late or lost.
//!
//! A table has a fixed number of slots, and a session is found by its hash. Sessions that share a slot share its newest
//! commit: they may require more than they need, never less.
//!
//! The memory is a sealed `memfd` (memfd_create(2)): its pages are allocated when it is created, and no process can
//! shrink it, so that access to it can't fail.

use memmap2::{MmapOptions, MmapRaw};
use rustix::fs::{FallocateFlags, MemfdFlags, SealFlags};
use std::fmt;
use std::fs::File;
use std::io;
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicU64, Ordering};

/// The number of slots. Of reads whose session has not written, the share that is bound by a commit of another session
/// is at most the number of commits within the replicas' lag, divided by this.
pub const SLOTS: u64 = 1 << 14;

/// The first word of a table: names this layout, and the hash of sessions that it is indexed by.
const MAGIC: u64 = u64::from_be_bytes(*b"JDmarks1");
const WORD_BYTES: u64 = 8;
/// Word numbers: the magic number, the floor, and from [`FIRST_SLOT`] on two words for each slot.
const MAGIC_WORD: u64 = 0;
const FLOOR_WORD: u64 = 1;
const FIRST_SLOT: u64 = 8;
const WORDS_PER_SLOT: u64 = 2;
const TABLE_BYTES: u64 = (FIRST_SLOT + SLOTS * WORDS_PER_SLOT) * WORD_BYTES;

/// Why there is no table.
#[derive(Debug)]
pub enum TableError {
    /// A system call failed.
    Io(io::Error),
    /// It has another size or layout, or could be shrunk.
    NotATable,
    /// Marks of a previous process are missing here, so that a table would lack them.
    Incomplete,
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            TableError::Io(e) => write!(f, "session marks: {e}"),
            TableError::NotATable => f.write_str("session marks: not a table of this version"),
            TableError::Incomplete => f.write_str("session marks: those of the previous process are unknown"),
        }
    }
}

impl std::error::Error for TableError {}

impl<E: Into<io::Error>> From<E> for TableError {
    fn from(error: E) -> TableError {
        TableError::Io(error.into())
    }
}

/// A table of session marks. Commits are positions in microseconds since 1970, as servers tell them.
#[derive(Debug)]
pub struct SharedMarks {
    memory: MmapRaw,
    file: File,
}

impl SharedMarks {
    /// Creates an empty table.
    ///
    /// # Errors
    /// If the operating system has no descriptor or memory for it.
    pub fn create() -> Result<SharedMarks, TableError> {
        let flags = MemfdFlags::CLOEXEC | MemfdFlags::ALLOW_SEALING;
        let file = rustix::fs::memfd_create("juniperdock-session-marks", flags)?;
        rustix::fs::fallocate(&file, FallocateFlags::empty(), 0, TABLE_BYTES)?;
        rustix::fs::fcntl_add_seals(&file, SealFlags::SHRINK | SealFlags::GROW | SealFlags::SEAL)?;
        let table = SharedMarks::map(file)?;
        table.word(MAGIC_WORD).store(MAGIC, Ordering::SeqCst);
        Ok(table)
    }

    /// Maps the table of another process.
    ///
    /// # Errors
    /// If it is no table of this version, or can't be mapped.
    pub fn from_descriptor(file: OwnedFd) -> Result<SharedMarks, TableError> {
        let has_size = rustix::fs::fstat(&file)?.st_size == TABLE_BYTES as i64;
        if !has_size || !rustix::fs::fcntl_get_seals(&file)?.contains(SealFlags::SHRINK) {
            return Err(TableError::NotATable);
        }
        let table = SharedMarks::map(file)?;
        let is_table = table.word(MAGIC_WORD).load(Ordering::SeqCst) == MAGIC;
        if is_table { Ok(table) } else { Err(TableError::NotATable) }
    }

    fn map(file: OwnedFd) -> Result<SharedMarks, TableError> {
        let file = File::from(file);
        let memory = MmapOptions::new().len(TABLE_BYTES as usize).map_raw(&file)?;
        Ok(SharedMarks { memory, file })
    }

    /// A descriptor by which another process can map the table.
    ///
    /// # Errors
    /// If the process has no descriptor left.
    pub fn descriptor(&self) -> io::Result<OwnedFd> {
        self.file.try_clone().map(OwnedFd::from)
    }

    /// Records a commit that was reported to a session.
    pub fn record(&self, session: u64, commit: u64) {
        self.commit_word(session).fetch_max(commit, Ordering::SeqCst);
    }

    /// Counts a write of a session that was sent to a server.
    pub fn write_sent(&self, session: u64) {
        self.in_flight_word(session).fetch_add(1, Ordering::SeqCst);
    }

    /// Counts the end of a write for which [`SharedMarks::write_sent`] was called. What it committed has to be recorded
    /// before.
    pub fn write_ended(&self, session: u64) {
        let word = self.in_flight_word(session);
        let _ = word.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |count| count.checked_sub(1));
    }

    /// Whether a write of the session may be in flight.
    pub fn has_write_in_flight(&self, session: u64) -> bool {
        self.in_flight_word(session).load(Ordering::SeqCst) > 0
    }

    /// The commit up to which a read of the session must see the data; `None` if no commit was recorded.
    pub fn must_see(&self, session: u64) -> Option<u64> {
        let floor = self.word(FLOOR_WORD).load(Ordering::SeqCst);
        let commit = self.commit_word(session).load(Ordering::SeqCst).max(floor);
        (commit > 0).then_some(commit)
    }

    /// Every session must see all commits up to this one.
    pub fn raise_floor(&self, commit: u64) {
        self.word(FLOOR_WORD).fetch_max(commit, Ordering::SeqCst);
    }

    /// The newest commit that any session must see.
    pub fn newest(&self) -> Option<u64> {
        (0..SLOTS).filter_map(|slot| self.must_see(slot)).max()
    }

    fn commit_word(&self, session: u64) -> &AtomicU64 {
        self.word(FIRST_SLOT + session % SLOTS * WORDS_PER_SLOT)
    }

    fn in_flight_word(&self, session: u64) -> &AtomicU64 {
        self.word(FIRST_SLOT + session % SLOTS * WORDS_PER_SLOT + 1)
    }

    fn word(&self, number: u64) -> &AtomicU64 {
        let offset = number * WORD_BYTES;
        assert!(offset + WORD_BYTES <= TABLE_BYTES, "word {number} is outside of the table");
        // SAFETY: the word lies inside the mapping, which lives as long as `self` and can't be shrunk; it is aligned, as
        // a mapping begins at a page; and all processes access it as an atomic only.
        #[allow(unsafe_code)]
        unsafe {
            AtomicU64::from_ptr(self.memory.as_mut_ptr().add(offset as usize).cast())
        }
    }
}
