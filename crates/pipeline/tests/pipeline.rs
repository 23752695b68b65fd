//! Order, limits and deadlines of the pipeline, and a random sequence compared with a plain model.

use juniperdock_pipeline::{ArrivalTimes, Limits, Overdue, Pipeline, Reply, Request, Start};
use proptest::prelude::*;
use std::time::Duration;

const LIMITS: Limits = Limits { started: 4, request_bytes: 100, answer_bytes: 50 };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn read(id: u64, session: u64) -> Request {
    Request { id, deadline: ms(100), session: Some(session), writes: false, bytes: 10 }
}

fn write(id: u64, session: u64) -> Request {
    Request { writes: true, ..read(id, session) }
}

fn pipeline(requests: &[Request]) -> Pipeline<u64> {
    let mut pipeline = Pipeline::new(LIMITS);
    for request in requests {
        pipeline.push(*request, request.id).expect("within the limits");
    }
    pipeline
}

fn starts(pipeline: &mut Pipeline<u64>) -> Vec<u64> {
    std::iter::from_fn(|| pipeline.start(0).map(|start| start.payload)).collect()
}

/// What the client gets: the bytes of answers, and `None` for each refusal. Short answers may come in one reply.
type Sent = Vec<Option<u8>>;

fn sent(reply: Reply) -> Sent {
    match reply {
        Reply::Answer(answer) => answer.into_iter().map(Some).collect(),
        Reply::Refused => vec![None],
    }
}

fn replies(pipeline: &mut Pipeline<u64>) -> Sent {
    std::iter::from_fn(|| pipeline.next_reply()).flat_map(sent).collect()
}

#[test]
fn requests_start_at_once_and_answers_are_sent_in_order() {
    let mut pipeline = pipeline(&[read(1, 7), read(2, 7), write(3, 8)]);
    assert_eq!(starts(&mut pipeline), [1, 2, 3]);
    assert!(pipeline.answer(ms(1), 3, vec![3]) && pipeline.answer(ms(1), 2, vec![2]));
    assert_eq!((replies(&mut pipeline), pipeline.answer_bytes()), (vec![], 2));
    assert!(pipeline.answer(ms(2), 1, vec![1]));
    assert_eq!(replies(&mut pipeline), [Some(1), Some(2), Some(3)]);
    assert!(pipeline.is_empty() && pipeline.answer_bytes() == 0);
    assert!(!pipeline.answer(ms(3), 1, vec![1]), "each request is answered once");
}

#[test]
fn a_session_sees_its_writes_and_keeps_their_order() {
    let mut pipeline = pipeline(&[write(1, 7), read(2, 7), write(3, 7), read(4, 8)]);
    assert_eq!(starts(&mut pipeline), [1, 4]);
    assert!(pipeline.answer(ms(5), 1, vec![]));
    assert_eq!(pipeline.start(0), Some(Start { payload: 2, write_answered: Some(ms(5)) }));
    assert_eq!(
        pipeline.start(0),
        Some(Start { payload: 3, write_answered: Some(ms(5)) }),
        "a write may start beside a read"
    );
}

#[test]
fn requests_beyond_the_limit_of_started_ones_wait() {
    let all: Vec<Request> = (1..=7).map(|id| read(id, id)).collect();
    let mut pipeline = pipeline(&all);
    assert_eq!(starts(&mut pipeline), [1, 2, 3, 4]);
    assert!(pipeline.answer(ms(1), 3, vec![0]));
    assert_eq!(starts(&mut pipeline), [5]);
    // While many bytes of answers wait behind a slow one, only the oldest request may start.
    assert!(pipeline.answer(ms(1), 2, vec![0; 60]));
    assert_eq!((starts(&mut pipeline), pipeline.answer_bytes()), (vec![], 61));
    assert!(pipeline.answer(ms(2), 1, vec![0]));
    assert_eq!(replies(&mut pipeline), vec![Some(0); 1 + 60 + 1], "the answers of the first three");
    assert_eq!(starts(&mut pipeline), [6, 7]);
    let mut pipeline = self::pipeline(&[write(1, 7), read(2, 7), read(3, 8)]);
    assert_eq!(starts(&mut pipeline), [1, 3]);
    assert!(pipeline.answer(ms(1), 3, vec![0; 60]) && pipeline.answer(ms(1), 1, vec![0]));
    assert_eq!(replies(&mut pipeline), [Some(0)]);
    assert_eq!(starts(&mut pipeline), [2], "the oldest may start, however much waits behind it");
}

#[test]
fn requests_over_the_limits_are_refused_in_order_and_take_no_memory() {
    let all: Vec<Request> = (0..10).map(|id| read(id, 7)).collect();
    let mut pipeline = pipeline(&all);
    for id in 10..100_000 {
        assert_eq!(pipeline.push(read(id, 9), id), Err(id));
    }
    for id in 0..10 {
        assert!(pipeline.start(0).is_some() && pipeline.answer(ms(1), id, vec![0]));
    }
    let replies = replies(&mut pipeline);
    assert_eq!(replies.iter().filter(|reply| reply.is_none()).count(), 99_990);
    assert!(replies[..10].iter().all(|reply| *reply == Some(0)) && pipeline.is_empty());
}

#[test]
fn short_answers_behind_an_open_request_take_little_more_than_their_bytes() {
    let limits = Limits { answer_bytes: 100_000, ..LIMITS };
    let mut pipeline = Pipeline::new(limits);
    assert_eq!(pipeline.push(read(1, 7), 1), Ok(()));
    let mut commands = 0;
    while !pipeline.is_full() {
        pipeline.push_answer(vec![5; 6]);
        commands += 1;
    }
    assert_eq!(commands, 16_667);
    // One by one they would be as many entries, of over a hundred bytes each.
    assert!(pipeline.start(0).is_some() && pipeline.answer(ms(1), 1, vec![1]));
    let replies: Vec<Reply> = std::iter::from_fn(|| pipeline.next_reply()).collect();
    assert!(replies.len() < 10, "{} entries", replies.len());
    let sent: Sent = replies.into_iter().flat_map(sent).collect();
    assert_eq!((sent.len(), sent[0]), (1 + 6 * 16_667, Some(1)));
}

#[test]
fn only_the_oldest_starts_while_the_client_leaves_much_unread() {
    let mut pipeline = pipeline(&[read(1, 7), read(2, 8)]);
    let unread = LIMITS.answer_bytes;
    assert_eq!(pipeline.start(unread).map(|start| start.payload), Some(1));
    assert!(pipeline.start(unread).is_none());
    assert_eq!(pipeline.start(unread - 1).map(|start| start.payload), Some(2));
}

#[test]
fn a_single_request_is_never_over_the_limits() {
    let long = |id| Request { bytes: 5000, ..read(id, 7) };
    let mut pipeline = Pipeline::new(LIMITS);
    assert_eq!(pipeline.push(long(1), 1), Ok(()));
    assert_eq!(pipeline.push(read(2, 7), 2), Err(2));
    assert!(pipeline.answer(ms(1), 1, vec![]));
    assert_eq!(pipeline.push(read(3, 7), 3), Ok(()));
    assert_eq!(pipeline.push(long(4), 4), Err(4));
}

#[test]
fn each_request_is_overdue_at_its_own_time_whatever_its_place() {
    let late = Request { deadline: ms(50), ..read(2, 7) };
    let mut pipeline = pipeline(&[write(1, 7), late, read(3, 8)]);
    assert_eq!(starts(&mut pipeline), [1, 3]);
    assert_eq!(pipeline.next_due(ms(10)), Some(ms(50)));
    assert_eq!(pipeline.overdue(ms(49), ms(10)), None);
    assert_eq!(pipeline.overdue(ms(50), ms(10)), Some(Overdue::Waiting(2)));
    assert!(pipeline.answer(ms(50), 2, vec![]));
    assert_eq!((pipeline.next_due(ms(10)), pipeline.overdue(ms(109), ms(10))), (Some(ms(110)), None));
    assert_eq!(pipeline.overdue(ms(110), ms(10)), Some(Overdue::Started(1)));
    assert_eq!(pipeline.started().collect::<Vec<_>>(), [1, 3]);
}

#[test]
fn arrival_times_do_not_depend_on_when_bytes_are_consumed() {
    let mut times = ArrivalTimes::default();
    times.received(10, ms(1));
    times.received(0, ms(2));
    times.received(10, ms(3));
    assert_eq!(times.arrival_of_next(5), Some(ms(1)));
    times.consume(5);
    assert_eq!(times.arrival_of_next(10), Some(ms(3)), "the last byte arrived then");
    times.consume(10);
    assert_eq!(times.arrival_of_next(5), Some(ms(3)));
    times.consume(5);
    assert_eq!(times.arrival_of_next(1), None, "it has not arrived");
    let mut times = ArrivalTimes::default();
    (0..1000).for_each(|at| times.received(1, ms(at)));
    assert_eq!(times.arrival_of_next(1000), Some(ms(63)), "too early rather than too late");
}

#[derive(Clone, Debug)]
enum Step {
    Push { session: u64, writes: bool },
    Local,
    Start,
    Answer(usize),
    Reply,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..3u64, any::<bool>()).prop_map(|(session, writes)| Step::Push { session, writes }),
        Just(Step::Local),
        Just(Step::Start),
        (0..4usize).prop_map(Step::Answer),
        Just(Step::Reply),
    ]
}

proptest! {
    /// For any sequence of events, every command gets one reply, in order; a request starts at most once, and only
    /// after the earlier writes of its session are answered.
    #[test]
    fn every_command_gets_one_reply_in_order(steps in prop::collection::vec(step(), 1..200)) {
        let mut pipeline = Pipeline::new(LIMITS);
        let (mut wanted, mut got): (Sent, Sent) = (Vec::new(), Vec::new());
        let (mut unanswered, mut started): (Vec<Request>, Vec<u64>) = (Vec::new(), Vec::new());
        let answer = |id: u64| id.to_be_bytes().to_vec();
        for (id, step) in (0u64..).zip(steps) {
            match step {
                Step::Push { session, writes } => {
                    let request = Request { id, session: Some(session), writes, ..read(id, session) };
                    match pipeline.push(request, id) {
                        Ok(()) => {
                            unanswered.push(request);
                            wanted.extend(sent(Reply::Answer(answer(id))));
                        }
                        Err(_) => wanted.push(None),
                    }
                    prop_assert!(unanswered.len() * 10 <= LIMITS.request_bytes);
                }
                Step::Local => {
                    pipeline.push_answer(answer(id));
                    wanted.extend(sent(Reply::Answer(answer(id))));
                }
                Step::Start => {
                    let Some(start) = pipeline.start(0) else { continue };
                    prop_assert!(!started.contains(&start.payload));
                    started.push(start.payload);
                    let out = unanswered.iter().filter(|request| started.contains(&request.id)).count();
                    prop_assert!(out <= LIMITS.started.max(1));
                    let own = unanswered.iter().find(|request| request.id == start.payload).expect("in hand");
                    let blocked = |before: &Request| before.id < own.id && before.writes && before.session == own.session;
                    prop_assert!(!unanswered.iter().any(blocked));
                }
                Step::Answer(which) if which < unanswered.len() => {
                    let request = unanswered.remove(which);
                    prop_assert!(pipeline.answer(ms(id), request.id, answer(request.id)));
                }
                Step::Answer(_) => {}
                Step::Reply => got.extend(pipeline.next_reply().into_iter().flat_map(sent)),
            }
        }
        for request in unanswered {
            prop_assert!(pipeline.answer(ms(1), request.id, answer(request.id)));
        }
        got.extend(replies(&mut pipeline));
        prop_assert_eq!(got, wanted);
        prop_assert!(pipeline.is_empty() && pipeline.requests() == 0 && pipeline.answer_bytes() == 0);
    }
}
