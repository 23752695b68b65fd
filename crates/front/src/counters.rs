//! Counters of what the front received, sent and answered. They are printed on request and at exit.

use juniperdock_request_guard::Invariants;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($name:ident),+ $(,)?) => {
        #[derive(Debug, Default)]
        pub struct Counters {
            $(pub $name: Counter,)+
            /// Counts of violations that must never happen.
            pub invariants: Arc<Invariants>,
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
                $(write!(f, concat!(stringify!($name), "={} "), self.$name.read())?;)+
                write!(f, "{}", self.invariants)
            }
        }
    };
}

#[derive(Debug, Default)]
/// One counter or gauge; safe to update from any thread.
pub struct Counter(AtomicU64);

impl Counter {
    pub fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    pub fn add_if(&self, counts: bool) {
        self.0.fetch_add(u64::from(counts), Ordering::Relaxed);
    }

    /// Raises the value to `amount` if it is lower.
    pub fn record_max(&self, amount: u64) {
        self.0.fetch_max(amount, Ordering::Relaxed);
    }

    /// Whoever reads this value then reads also what was set before.
    pub fn set(&self, amount: usize) {
        self.0.store(amount as u64, Ordering::Release);
    }

    pub fn read(&self) -> u64 {
        self.0.load(Ordering::Acquire)
    }
}

counters! {
    clients, clients_refused, clients_unfinished, bad_messages, duplicate_ids, txns, over_limits, committed, declined, rolled_back, unknown, invalid, left, withheld_unread, withdrawn_in_transit, guard_acts,
    submitted, ended_committed, ended_errored, ended_invalid, ended_spoilt, ended_full, ended_timed_out, ended_unreachable,
    ended_dropped, ended_cancelled, ended_moot, ended_misplaced,
    connections_opened, connections_reused, connections_reuse_awaited, connections_unexpected_bytes, load_reports_repeated, connections_lost, connections_idle_closed,
    probes, probes_failed, probes_spared, members_ended, members_forgotten, lists, lists_failed, reloads, reloads_failed, reminders, reminders_late, panics,
    primary_changes, vacancies, vacant_most_ms, plans, plans_undone,
    groups_vacant, groups_settling, groups_steady, groups_doubted, groups_handing_over, waiting,
    fellows_in, fellows_out, fellows_refused, fellows_late, fellow_ups, fellow_downs, standstills, worker_standstills, worker_idle_delays,
    duties_taken, duties_lost, effects_out, effects_refused, facts_in,
    refused_for_memory, answers_await_memory, heap_kib, heap_most_kib, coroutines, coroutines_most,
    held_up_most_us, connect_most_us, clock_advanced,
}
