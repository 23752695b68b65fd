//! The adapter as the simulator sees it: batches in, replies out, and errors on bad input.

use std::io::{BufRead, BufReader, Write};
use std::process::{Command, Output, Stdio};

const BORN: &str = "BORN Front=3 Entropy=7 Balancers=1 Bounds.MayProbe=true Bounds.TryLimit=4 \
    Guarantees.WarmUp=1000.0 LoadInfo.Via=on_probe New.Setting=1 Services.count=1 Services.0.Effect=side_effect \
    Services.0.Objective=300.0 Specifics.ReadLevel=update Specifics.Zero=500.0";
const SERVER_LIST: &str = "ROSTER List=0 Hosts=1\n\
    ROW Cell=9 IsPrimary=1 Store=10.0.0.1:80 RegionPart=0 Units=1 Health=up\n\
    UPDATE Revision=1 How=Persisted Front=3 List=0";

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_juniperdock-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("a pipe").write_all(input.as_bytes()).expect("the adapter reads");
    child.wait_with_output().expect("the adapter ends")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn a_write_waits_and_is_then_placed_with_its_id_unchanged() {
    let output = run(&format!(
        "ROUND Time=1000.0 turn=1\n{BORN}\n{SERVER_LIST}\n\
         JOB_IN Shard=9 Left=900.0 Class=0 Corr=4503599627370495 Front=3\nCOMMIT\n\
         ROUND turn=2 Time=1010.0\n\
         HEALTH_RESULT Front=3 Verdict=OK Store=10.0.0.1:80 CostTime=1 Stats=x1:1,zz:4,x0:0.505\nCOMMIT\n"
    ));
    let replies = text(&output.stdout);
    let (first, second) = replies.split_once("READY turn=1\n").expect("a reply for each batch");
    assert!(first.contains("PROBE Front=3 Store=10.0.0.1:80") && !first.contains("PLACE"));
    assert!(second.contains("PLACE Front=3 Corr=4503599627370495 Store=10.0.0.1:80 GiveUpAfter=0\n"));
    assert!(second.ends_with("READY turn=2\n") && output.status.success());
}

#[test]
fn a_killed_instance_may_be_created_again_in_the_same_batch() {
    let output = run(&format!(
        "ROUND Time=1.0 turn=1\n{BORN}\n{SERVER_LIST}\nRETIRE Front=3\n{BORN}\n{SERVER_LIST}\nCOMMIT\n"
    ));
    assert!(output.status.success(), "{}", text(&output.stderr));
}

#[test]
fn bad_input_is_reported_with_its_line_and_gets_no_partial_reply() {
    let start = format!("ROUND Time=1.0 turn=1\n{BORN}\n");
    for (rest, message) in [
        ("NEWS Front=3\n", "line 3: expected a known message"),
        ("TICK_DUE Front=8 Handle=1\n", "line 3: expected the Front of an existing instance"),
        ("TICK_DUE Front=3 Handle=x\n", "line 3: TICK_DUE: expected a valid value in Handle"),
        ("JOB_IN Front=3 Corr=1 Class=0 Shard=9\n", "line 3: JOB_IN: expected a field Left"),
        ("JOB_IN Front=3 Corr=1 Class=1 Shard=9 Left=9\n", "line 3: JOB_IN: expected a Class below 1"),
        ("ROSTER List=0 Hosts=2\nCOMMIT\n", "line 4: expected 2 more ROW"),
        ("", "line 2: the input ended inside a batch"),
    ] {
        let output = run(&format!("{start}{rest}"));
        let stderr = text(&output.stderr);
        assert!(stderr.contains(message), "{stderr}");
        assert!(output.stdout.is_empty() && !output.status.success());
    }
}

#[test]
fn a_malformed_memo_is_ignored() {
    let memo = |payload: &str| format!("MEMO Front=3 From=1 Payload={payload}\n");
    let malformed = ["-", "00", &"ff".repeat(9), &"00".repeat(9), &"09".repeat(40)].map(memo).concat();
    let output = run(&format!("ROUND Time=1.0 turn=1\n{BORN}\n{SERVER_LIST}\n{malformed}COMMIT\n"));
    assert!(output.status.success() && !text(&output.stdout).contains("BROKEN"), "{}", text(&output.stderr));
}

#[test]
fn instances_have_a_membership_only_if_flag_and_settings_enable_it() {
    for (arg, allowed) in [("--fellows", true), ("--fellows", false), ("", true)] {
        let mut child = Command::new(env!("CARGO_BIN_EXE_juniperdock-simhost"))
            .args(Some(arg).filter(|arg| !arg.is_empty()))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("the adapter starts");
        let (mut input, output) = (child.stdin.take().expect("a pipe"), child.stdout.take().expect("a pipe"));
        let mut lines = BufReader::new(output).lines();
        let create = |front: usize| {
            let instance = BORN
                .replace("Front=3 ", &format!("Front={front} Me={front} "))
                .replace("Balancers=1", "Balancers=3");
            format!(
                "{instance} Bounds.Peers={}\n{}\n",
                u8::from(allowed),
                SERVER_LIST.replace("Front=3", &format!("Front={front}"))
            )
        };
        let (mut events, mut remarks) = ((0..3).map(create).collect::<String>(), Vec::new());
        let mut due: Vec<(f64, String)> = Vec::new();
        let mut retired = false;
        for turn in 1..=160 {
            let now = 1000.0 + 50.0 * f64::from(turn);
            let (due_now, later) = due.into_iter().partition(|(at, _): &(f64, String)| *at <= now);
            due = later;
            events.extend(
                due_now
                    .into_iter()
                    .map(|(_, event)| event)
                    .filter(|event| !retired || !event.contains("Front=1 ")),
            );
            if turn == 60 {
                events += "RETIRE Front=1\n";
                retired = true;
            }
            write!(input, "ROUND Time={now} turn={turn}\n{events}COMMIT\n").expect("it reads");
            events.clear();
            for line in lines.by_ref() {
                let line = line.expect("a reply");
                let field = |name: &str| {
                    let part = line.split(' ').find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
                    part.unwrap_or_default().to_owned()
                };
                match line.split(' ').next() {
                    Some("READY") => break,
                    Some("SHARE") => {
                        let (from, to, payload) = (field("Front"), field("Peer"), field("Payload"));
                        assert!(payload.len() <= 512, "{} bytes", payload.len() / 2);
                        due.push((now + 7.0, format!("MEMO Front={to} From={from} Payload={payload}\n")));
                    }
                    Some("REMIND") => {
                        let at = field("FireAt").parse().expect("a time");
                        due.push((
                            at,
                            format!("TICK_DUE Front={} Handle={}\n", field("Front"), field("Handle")),
                        ));
                    }
                    Some("REMARK") => remarks.push(line.clone()),
                    _ => {}
                }
            }
        }
        drop(input);
        assert!(child.wait().expect("it ends").success());
        let remarked =
            |front: usize, what: &str| remarks.contains(&format!("REMARK Front={front} Msg={what}"));
        let on = !arg.is_empty() && allowed;
        assert!((0..3).all(|front| remarked(front, "standing whole") == on), "{arg} {allowed}: {remarks:?}");
        assert!(
            [0, 2].iter().all(|&front| remarked(front, "fellow down 1") == on),
            "{arg} {allowed}: {remarks:?}"
        );
    }
}

#[test]
fn an_age_of_the_last_write_counts_only_if_clients_send_session_marks() {
    for (marks, reads_at) in [("client", "10.0.0.2:80"), ("router", "10.0.0.1:80")] {
        let born = BORN
            .replace("Services.count=1", "Services.count=2 Services.1.Effect=pure Services.1.Objective=300.0")
            .replace(
                "ReadLevel=update",
                &format!("ReadLevel=update,own_writes Specifics.SessionMarks={marks}"),
            );
        let output = run(&format!(
            "ROUND Time=1000.0 turn=1\n{born}\nROSTER List=0 Hosts=2\n\
             ROW Cell=9 IsPrimary=1 Store=10.0.0.1:80 RegionPart=0 Units=1 Health=up\n\
             ROW Cell=9 IsPrimary=0 Store=10.0.0.2:80 RegionPart=0 Units=1 Health=up\n\
             UPDATE Revision=1 How=Persisted Front=3 List=0\nCOMMIT\n\
             ROUND turn=2 Time=1010.0\n\
             HEALTH_RESULT Front=3 Verdict=OK Store=10.0.0.1:80 CostTime=1 Stats=x1:1,x0:0.505\n\
             HEALTH_RESULT Front=3 Verdict=OK Store=10.0.0.2:80 CostTime=1 Stats=x1:0,x0:0.505\n\
             JOB_IN Shard=9 Left=900.0 Class=0 Corr=1 ClientKey=5 Front=3\nCOMMIT\n\
             ROUND turn=3 Time=1030.0\n\
             ATTEMPT_END Front=3 Corr=1 DoneFlag=1 N=0 CostTime=20 Verdict=OK Stand=2101 Store=10.0.0.1:80\nCOMMIT\n\
             ROUND turn=4 Time=1040.0\n\
             JOB_IN Shard=9 Left=900.0 Class=1 Corr=2 ClientKey=5 WroteMsAgo=0 Front=3\nCOMMIT\n"
        ));
        let replies = text(&output.stdout);
        assert!(replies.contains("PLACE Front=3 Corr=1 Store=10.0.0.1:80"), "{marks}: {replies}");
        assert!(replies.contains(&format!("PLACE Front=3 Corr=2 Store={reads_at} ")), "{marks}: {replies}");
    }
}

#[test]
fn without_reports_no_member_is_probed_and_a_write_finds_its_primary() {
    for (via, probes) in [("on_probe", true), ("inline", true), ("off", false)] {
        let born = BORN.replace("Via=on_probe", &format!("Via={via}"));
        let output = run(&format!(
            "ROUND Time=1000.0 turn=1\n{born}\n{SERVER_LIST}\n\
             JOB_IN Shard=9 Left=900.0 Class=0 Corr=1 Front=3\nCOMMIT\n"
        ));
        let replies = text(&output.stdout);
        assert_eq!(replies.contains("PROBE Front=3"), probes, "{via}: {replies}");
        assert_eq!(replies.contains("PLACE Front=3 Corr=1"), !probes, "{via}: {replies}");
    }
}
