//! Starts coroutines and counts them.

use may::coroutine::Builder;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Yields to the other coroutines.
pub fn yield_now() {
    may::coroutine::yield_now();
}

/// Starts a coroutine with a stack of `stack` bytes.
///
/// # Errors
/// If the system gives no memory for the stack (`mmap(2)`, ENOMEM), for which the coroutine library panics. `body` is
/// dropped then.
pub fn spawn(name: &str, stack: usize, body: impl FnOnce() + Send + 'static) -> Result<(), String> {
    let started = catch_unwind(AssertUnwindSafe(|| start_coroutine(name, stack, body)));
    started
        .unwrap_or_else(|_| Err("no stack could be allocated".to_owned()))
        .map_err(|e| format!("starting {name}: {e}"))
}

/// Coroutines that were started by [`spawn`] and have not ended.
static LIVE_COROUTINES: AtomicUsize = AtomicUsize::new(0);

/// The number of coroutines that were started by [`spawn`] and have not ended: each has a stack.
pub fn live_coroutines() -> usize {
    LIVE_COROUTINES.load(Ordering::Relaxed)
}

/// Counts a coroutine from its start until its body has ended or was dropped.
struct CoroutineCount;

impl CoroutineCount {
    fn new() -> CoroutineCount {
        LIVE_COROUTINES.fetch_add(1, Ordering::Relaxed);
        CoroutineCount
    }
}

impl Drop for CoroutineCount {
    fn drop(&mut self) {
        LIVE_COROUTINES.fetch_sub(1, Ordering::Relaxed);
    }
}

fn start_coroutine(name: &str, stack: usize, body: impl FnOnce() + Send + 'static) -> Result<(), String> {
    let counted = CoroutineCount::new();
    let body = move || {
        let _counted = counted;
        body();
    };
    let builder = Builder::new().name(name.to_owned()).stack_size(stack / size_of::<usize>());
    // SAFETY: `may` requires that a coroutine uses no thread-local across a wait and stays inside its stack. All
    // coroutines run on one worker thread, so a thread-local is the same before and after a wait, and no coroutine
    // holds a borrow of one across a wait. Stacks end in a guard page, and their sizes leave a margin.
    #[allow(unsafe_code)]
    unsafe { builder.spawn(body) }.map(drop).map_err(|e| e.to_string())
}
