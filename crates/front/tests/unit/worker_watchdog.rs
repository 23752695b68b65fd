//! Workers that slept, and workers that did not.

use super::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn delay(queued_for: u64, ran: u64, waited: u64) -> Delay {
    Delay {
        queued_for: ms(queued_for),
        account: Some(ThreadAccount { ran: ms(ran), waited: ms(waited) }),
        details: None,
    }
}

#[test]
fn only_a_worker_that_neither_ran_nor_waited_was_idle() {
    assert!(delay(90, 1, 0).is_idle());
    assert!(delay(90, 0, 1).is_idle());
    assert!(!delay(90, 30, 0).is_idle(), "it worked");
    assert!(!delay(90, 0, 80).is_idle(), "the machine was busy");
    assert!(!Delay { queued_for: ms(90), account: None, details: None }.is_idle(), "nothing is known");
}

#[test]
fn account_is_parsed_as_the_kernel_writes_it() {
    let account = ThreadAccount { ran: Duration::from_nanos(1_234), waited: Duration::from_nanos(56) };
    assert_eq!(ThreadAccount::parse("1234 56 7\n"), Some(account));
    assert_eq!(ThreadAccount::parse("1234"), None);
    assert_eq!(ThreadAccount::parse("a b c"), None);
}

#[test]
fn details_are_parsed_whatever_the_thread_is_called() {
    let text = "42 (a) b) R 1 2 3 4 5 6 70 8 9 10 11 12 0 0 20 0\n";
    let details = ThreadDetails { user: ms(110), system: ms(120), minor_faults: 70, major_faults: 9 };
    assert_eq!(ThreadDetails::parse(text), Some(details));
    assert_eq!(ThreadDetails::parse("42 (a"), None);
}

#[test]
fn ticks_of_one_delay_count_once() {
    let mut watchdog = WorkerWatchdog::new(true);
    assert_eq!(watchdog.tick(ms(20), ms(21)), None);
    assert_eq!(watchdog.tick(ms(40), ms(150)).map(|delay| delay.queued_for), Some(ms(110)));
    // Sent while the previous tick was queued.
    assert_eq!(watchdog.tick(ms(60), ms(150)), None);
    assert_eq!(watchdog.tick(ms(160), ms(161)), None);
    assert_eq!(watchdog.tick(ms(180), ms(230)).map(|delay| delay.queued_for), Some(ms(50)));
}
