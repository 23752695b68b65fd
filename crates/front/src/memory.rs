//! The process's use of memory, against the limit from its settings. The heap is counted by the allocator itself, so that
//! all that is kept counts, whoever keeps it.

use crate::counters::Counters;
use cap::Cap;
use juniperdock_connection::live_coroutines;
use juniperdock_memory_limit::{MemoryLimit, Purpose, Usage};
use std::alloc::System;

#[global_allocator]
static HEAP: Cap<System> = Cap::new(System, usize::MAX);

/// Blocks of this size and more are mapped one by one, and returned to the system when they are freed. By default the
/// allocator raises this threshold to the largest block freed so far, and keeps what is freed below it.
const MAPPED_BLOCK_BYTES: libc::c_int = 128 << 10;
/// Free memory at the end of the heap that is kept.
const KEPT_FREE_BYTES: libc::c_int = 1 << 20;
/// One heap for all threads: what one frees the others use.
const ARENAS: libc::c_int = 1;

/// The memory of this process and its limit.
#[derive(Clone, Copy, Debug)]
pub struct Memory {
    limit: MemoryLimit,
}

impl Memory {
    /// The memory of this process, with this limit in bytes if there is one.
    pub fn new(limit: Option<usize>) -> Memory {
        Memory { limit: limit.map_or(MemoryLimit::unlimited(), MemoryLimit::new) }
    }

    /// The limit, for bounds that follow from it.
    pub fn limit(&self) -> MemoryLimit {
        self.limit
    }

    /// Whether this many bytes more may be kept for this purpose.
    pub fn admits(&self, purpose: Purpose, bytes: usize) -> bool {
        self.limit.admits(usage(), purpose, bytes)
    }
}

/// The present use.
pub fn usage() -> Usage {
    Usage { heap: HEAP.allocated(), coroutines: live_coroutines() }
}

/// Updates the gauges of the present use.
pub fn record_usage(counters: &Counters) {
    let Usage { heap, coroutines } = usage();
    counters.heap_kib.set(heap >> 10);
    counters.heap_most_kib.record_max(heap as u64 >> 10);
    counters.coroutines.set(coroutines);
    counters.coroutines_most.record_max(coroutines as u64);
}

/// Has the allocator return freed memory to the system. Called before any other thread is started.
pub fn configure_allocator() {
    let options = [
        (libc::M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES),
        (libc::M_TRIM_THRESHOLD, KEPT_FREE_BYTES),
        (libc::M_ARENA_MAX, ARENAS),
    ];
    for (option, value) in options {
        // SAFETY: `mallopt(3)` takes any two integers; nothing depends on whether an option is known.
        #[allow(unsafe_code)]
        unsafe {
            libc::mallopt(option, value);
        }
    }
}
