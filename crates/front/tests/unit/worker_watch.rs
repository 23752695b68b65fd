//! Of a worker that slept, and of one that did not.

use super::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn delay(lay: u64, ran: u64, waited: u64) -> Delay {
    Delay { lay: ms(lay), account: Some(ThreadAccount { ran: ms(ran), waited: ms(waited) }) }
}

#[test]
fn only_a_worker_that_neither_ran_nor_waited_was_idle() {
    assert!(delay(90, 1, 0).is_idle());
    assert!(delay(90, 0, 1).is_idle());
    assert!(!delay(90, 30, 0).is_idle(), "it worked");
    assert!(!delay(90, 0, 80).is_idle(), "the machine was busy");
    assert!(!Delay { lay: ms(90), account: None }.is_idle(), "nothing is known");
}

#[test]
fn an_account_is_read_as_the_kernel_writes_it() {
    let account = ThreadAccount { ran: Duration::from_nanos(1_234), waited: Duration::from_nanos(56) };
    assert_eq!(ThreadAccount::parse("1234 56 7\n"), Some(account));
    assert_eq!(ThreadAccount::parse("1234"), None);
    assert_eq!(ThreadAccount::parse("a b c"), None);
}

#[test]
fn beats_of_one_delay_count_once() {
    let mut watch = WorkerWatch::new();
    assert_eq!(watch.beat(ms(20), ms(21)), None);
    assert_eq!(watch.beat(ms(40), ms(150)).map(|delay| delay.lay), Some(ms(110)));
    // Posted while the one before lay.
    assert_eq!(watch.beat(ms(60), ms(150)), None);
    assert_eq!(watch.beat(ms(160), ms(161)), None);
    assert_eq!(watch.beat(ms(180), ms(230)).map(|delay| delay.lay), Some(ms(50)));
}
