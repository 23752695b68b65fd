//! What the guard permits, and what it counts.

use juniperdock_request_guard::{
    ClientPresence, EndedBy, Invariants, Outstanding, RequestGuard, Violation, Withheld, WriteProgress,
};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

#[derive(Clone, Default)]
struct Client(Arc<AtomicBool>);

impl ClientPresence for Client {
    fn has_left(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn request(deadline: Duration) -> (RequestGuard, Client, Arc<Invariants>) {
    let (client, invariants) = (Client::default(), Arc::new(Invariants::default()));
    (RequestGuard::new(deadline, Box::new(client.clone()), invariants.clone()), client, invariants)
}

#[test]
fn an_attempt_is_written_once_and_only_while_its_permit_is_valid() {
    let (request, _client, _) = request(ms(500));
    let permit = request.permit(ms(300));
    assert_eq!(permit.check(ms(299)), Ok(()));
    assert_eq!(permit.check(ms(300)), Err(Withheld::OutOfTime));
    permit.set_valid_until(ms(200));
    assert_eq!(permit.consume(ms(200)), Err(Withheld::OutOfTime));
    assert_eq!(permit.progress(), WriteProgress::Settled, "it will not be written");
    assert_eq!(request.permit(ms(300)).consume(ms(299)), Ok(()));
}

/// Guards against writing the rest of a repeat after the end of its window.
#[test]
fn permit_binds_until_the_attempt_has_arrived() {
    let (request, _client, invariants) = request(ms(2000));
    let permit = request.permit(ms(300));
    assert_eq!((permit.consume(ms(10)), permit.progress()), (Ok(()), WriteProgress::Partial));
    assert_eq!(permit.may_continue(ms(299)), Ok(()));
    assert_eq!(permit.may_continue(ms(300)), Err(Withheld::OutOfTime));
    // What is found out meanwhile counts as well.
    permit.set_valid_until(ms(100));
    assert_eq!((permit.may_continue(ms(100)), permit.valid_until()), (Err(Withheld::OutOfTime), ms(100)));
    permit.record_written(ms(110));
    assert_eq!((permit.progress(), invariants.total()), (WriteProgress::HandedOver, 0));
    permit.record_written(ms(250));
    assert_eq!(invariants.to_string(), "violations=1 sent_after_permit=1");
    permit.settle();
    assert_eq!(permit.progress(), WriteProgress::Settled);
}

#[test]
fn a_client_that_just_left_is_noticed_right_before_writing() {
    let (request, client, _) = request(ms(500));
    let permit = request.permit(ms(500));
    client.0.store(true, Ordering::Relaxed);
    assert_eq!(permit.check(ms(1)), Ok(()), "it has not been noticed yet");
    assert_eq!(permit.consume(ms(1)), Err(Withheld::ClientLeft));
    assert_eq!(permit.may_continue(ms(1)), Err(Withheld::ClientLeft));
}

/// A client of which so much is unread that it may have left.
struct Unread;

impl ClientPresence for Unread {
    fn has_left(&self) -> bool {
        false
    }

    fn may_have_left(&self) -> bool {
        true
    }
}

#[test]
fn attempt_for_a_client_whose_end_may_be_unread_is_withheld() {
    let request = RequestGuard::new(ms(500), Box::new(Unread), Arc::default());
    assert_eq!(request.permit(ms(500)).consume(ms(1)), Err(Withheld::ClientUnread));
    assert_eq!(request.permit(ms(500)).may_continue(ms(1)), Err(Withheld::ClientUnread));
}

#[test]
fn nothing_is_started_sent_or_answered_after_the_end() {
    for end in [RequestGuard::answer, RequestGuard::abandon] {
        let (request, _client, _) = request(ms(500));
        let (permit, started) = (request.permit(ms(500)), request.permit(ms(500)));
        assert!(end(&request));
        assert_eq!(request.may_start(ms(1)), Err(Withheld::Ended));
        assert_eq!(permit.consume(ms(1)), Err(Withheld::Ended));
        assert_eq!(started.may_continue(ms(1)), Err(Withheld::Ended));
        assert!(!request.answer() && !request.abandon());
    }
    let (late, _client, _) = request(ms(500));
    assert_eq!(late.may_start(ms(500)), Err(Withheld::OutOfTime));
}

#[test]
fn violations_are_counted() {
    let (request, _client, invariants) = request(ms(500));
    let permit = request.permit(ms(500));
    permit.record_written(ms(499));
    assert_eq!(invariants.to_string(), "violations=0");
    permit.record_written(ms(700));
    request.abandon();
    permit.record_written(ms(10));
    let outstanding = Outstanding { unanswered: 1, unsent: 2, half_read: 3 };
    outstanding.record_violations(EndedBy::Client, &invariants);
    assert_eq!(invariants.total(), 2);
    outstanding.record_violations(EndedBy::ProcessWithError, &invariants);
    outstanding.record_violations(EndedBy::Process, &invariants);
    Outstanding::default().record_violations(EndedBy::Process, &invariants);
    assert_eq!(
        invariants.to_string(),
        "violations=7 sent_after_end=1 sent_after_deadline=1 ended_unanswered=2 ended_unsent=2 ended_half_read=1"
    );
    assert_eq!(invariants.read(Violation::EndedHalfRead), 1);
}
