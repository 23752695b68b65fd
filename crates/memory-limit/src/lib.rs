//! Decides what a process may still take on with the memory that it has. Whoever is about to keep more asks first, and
//! refuses or waits if the answer is no: a process that passes its limit is killed, with all that it has accepted. No
//! I/O: the present use is passed in.
//!
//! Work that was accepted comes first: the nearer the limit, the fewer purposes get memory. Answers of servers are the
//! last to go without, as they end requests and so free memory.
//!
//! ```
//! use juniperdock_memory_limit::{MemoryLimit, Purpose, Usage};
//!
//! let limit = MemoryLimit::new(64 << 20);
//! let at_rest = Usage { heap: 1 << 20, coroutines: 50 };
//! assert!(limit.admits(at_rest, Purpose::Surplus, 100 << 10));
//! let busy = Usage { heap: 28 << 20, coroutines: 500 };
//! assert!(!limit.admits(busy, Purpose::Surplus, 1) && limit.admits(busy, Purpose::Answer, 100 << 10));
//! ```

/// What memory is wanted for, the most important first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// A server's answer to a request that was accepted.
    Answer,
    /// A small request of a client that has no other, or a connection to a server.
    Request,
    /// What can be refused with little harm: a large message, or a further one on the same connection.
    Surplus,
}

/// The present use of memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Bytes allocated on the heap.
    pub heap: usize,
    /// Coroutines, each with a stack.
    pub coroutines: usize,
}

/// Resident memory of the program, its libraries and the stacks of its threads.
const PROGRAM_BYTES: usize = 8 << 20;
/// Resident memory of a coroutine's stack: pages that were touched once stay.
const STACK_BYTES: usize = 16 << 10;
/// An allocator takes more than it gives out: headers, rounding, holes between blocks.
const HEAP_SHARE: (usize, usize) = (2, 3);
/// However small the limit, this much of the heap may be used: a front that takes nothing on serves nobody.
const MIN_HEAP: usize = 4 << 20;

/// Memory for a client's connection: its actor's stack, its state and its small buffers.
const CLIENT_BYTES: usize = 32 << 10;
/// The same for a connection to a server and its share of the pool's actor.
const SERVER_CONNECTION_BYTES: usize = 48 << 10;

/// How much memory a process may use.
#[derive(Clone, Copy, Debug)]
pub struct MemoryLimit {
    /// `None`: as much as there is.
    bytes: Option<usize>,
}

impl MemoryLimit {
    /// A limit of this many bytes of resident memory.
    pub fn new(bytes: usize) -> MemoryLimit {
        MemoryLimit { bytes: Some(bytes) }
    }

    /// No limit.
    pub fn unlimited() -> MemoryLimit {
        MemoryLimit { bytes: None }
    }

    /// Whether this many bytes more may be kept for this purpose.
    pub fn admits(&self, usage: Usage, purpose: Purpose, bytes: usize) -> bool {
        let Some(limit) = self.bytes else { return true };
        let allowed = heap_limit(limit, usage.coroutines) / 100 * percent(purpose);
        usage.heap.saturating_add(bytes) <= allowed
    }

    /// The most clients that may be connected: half of the memory is for them.
    pub fn max_clients(&self) -> usize {
        self.bytes.map_or(usize::MAX, |limit| (limit / 2 / CLIENT_BYTES).max(1))
    }

    /// The most connections to servers: a quarter of the memory is for them.
    pub fn max_server_connections(&self) -> usize {
        let for_connections = |limit: usize| limit.saturating_sub(PROGRAM_BYTES) / 4;
        self.bytes.map_or(usize::MAX, |limit| (for_connections(limit) / SERVER_CONNECTION_BYTES).max(1))
    }
}

/// How much of the heap may be used beside this many stacks.
fn heap_limit(limit: usize, coroutines: usize) -> usize {
    let (part, whole) = HEAP_SHARE;
    let stacks = coroutines.saturating_mul(STACK_BYTES);
    let left = limit.saturating_sub(PROGRAM_BYTES).saturating_sub(stacks);
    (left / whole * part).max(MIN_HEAP)
}

/// The part of the heap's limit up to which a purpose gets memory.
fn percent(purpose: Purpose) -> usize {
    match purpose {
        Purpose::Answer => 100,
        Purpose::Request => 85,
        Purpose::Surplus => 65,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LEAST: MemoryLimit = MemoryLimit { bytes: Some(32 << 20) };

    #[test]
    fn stacks_and_heap_together_stay_below_the_limit() {
        for limit_mb in [16, 32, 64, 192, 2048] {
            let limit = MemoryLimit::new(limit_mb << 20);
            for coroutines in [10, 500, 1000] {
                let admitted = |heap: usize| limit.admits(Usage { heap, coroutines }, Purpose::Answer, 0);
                let most = (0..limit_mb).rev().map(|mb| mb << 20).find(|&heap| admitted(heap));
                let resident = PROGRAM_BYTES + coroutines * STACK_BYTES + most.unwrap_or(0) / 2 * 3;
                assert!(
                    resident <= limit_mb << 20 || most.is_some_and(|most| most <= MIN_HEAP),
                    "{limit_mb} MB, {coroutines} coroutines: {resident}"
                );
            }
        }
    }

    #[test]
    fn what_matters_most_goes_without_last() {
        let admitted = |heap: usize, purpose| LEAST.admits(Usage { heap, coroutines: 300 }, purpose, 1 << 10);
        let limits = [Purpose::Answer, Purpose::Request, Purpose::Surplus].map(|purpose| {
            (0..32 << 10).map(|kb| kb << 10).take_while(|&heap| admitted(heap, purpose)).count()
        });
        assert!(limits[0] > limits[1] && limits[1] > limits[2] && limits[2] > 4 << 10, "{limits:?} KB");
    }

    #[test]
    fn without_a_limit_everything_is_admitted() {
        let limit = MemoryLimit::unlimited();
        let usage = Usage { heap: usize::MAX / 2, coroutines: 1_000_000 };
        assert!(limit.admits(usage, Purpose::Surplus, usize::MAX / 2));
        assert_eq!((limit.max_clients(), limit.max_server_connections()), (usize::MAX, usize::MAX));
    }

    #[test]
    fn usual_limits_leave_room_for_as_many_connections_as_descriptors_do() {
        // 1,024 descriptors leave 473 clients and as many connections to servers.
        assert!(LEAST.max_clients() >= 473);
        let usual = MemoryLimit::new(192 << 20);
        assert!(usual.max_clients() >= 473 && usual.max_server_connections() >= 473);
    }
}
