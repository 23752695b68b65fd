//! `juniperdock migrate` as an operator runs it: the built program, files in a directory of their own, and a front on
//! loopback addresses with simulated members and discovery.

use juniperdock_test_support::{Agent, Front, Member, WATCH, address, list, txn};
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_juniperdock");

/// A directory with a configuration in the old format; removed when dropped.
struct Workspace {
    dir: PathBuf,
}

impl Workspace {
    fn with(name: &str, text: &str) -> Workspace {
        let dir = std::env::temp_dir().join(format!("juniperdock-migrate-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        std::fs::write(dir.join("old.json"), text).expect("a file");
        Workspace { dir }
    }

    fn at(&self, name: &str) -> PathBuf {
        self.dir.join(name)
    }

    fn run(&self, args: &[&str]) -> Output {
        Command::new(PROGRAM).current_dir(&self.dir).args(args).output().expect("the program runs")
    }

    fn files(&self) -> Vec<String> {
        let files = std::fs::read_dir(&self.dir).expect("a folder").flatten();
        let mut names: Vec<_> = files.map(|f| f.file_name().to_string_lossy().into_owned()).collect();
        names.sort();
        names
    }

    fn text(&self, name: &str) -> String {
        std::fs::read_to_string(self.at(name)).expect("a file")
    }
}

impl Drop for Workspace {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn old(server_list: &str) -> String {
    format!(
        r#"{{"seed":"8c1f30d27a5be964","limits":{{"memory_mb":192,"sockets":1024}},"known":{server_list},"peers_all":"127.0.0.1:9",
        "settings":{{"Balancers":1,"Me":0,"Zone":0,"Zones":["a"],"Deductions":{{"Probe":0.02}},
        "Services":[{{"DedupScope":"cell","Effect":"pure","HardLimit":5000.0,"LateWorth":0.5,"Name":"lookup",
        "Objective":1500.0,"Value":1.0,"Window":2000.0}}],
        "Bounds":{{"Cancel":true,"ConnIdle":15000.0,"ConnectTimeout":250.0,"MaxRetryAfter":500.0,"MayProbe":true,
        "RetryAfter":true,"TryLimit":10}},"Guarantees":{{"ColdFrom":0.2,"GraceToAnswer":20.0,"OverloadFor":1500.0,
        "TipMultiple":2.5,"WarmUp":1000.0}},"Specifics":{{"MaxAge":[300.0],"ReadLevel":["recent"],
        "SessionMarks":"client"}}}}}}"#
    )
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn migrated_configuration_passes_check_and_starts_a_front() {
    let members: Vec<Member> = (0..2).map(|i| Member::start(i == 0)).collect();
    let server_list = list(1, true, &[("m-0", members[0].at, "up"), ("m-1", members[1].at, "up")]);
    let agent = Agent::start(WATCH);
    let workspace = Workspace::with("serves", &old(&server_list));
    let done = workspace.run(&["migrate", "old.json", "--output", "new.json"]);
    assert!(done.status.success(), "{}", stderr(&done));
    let stderr_text = stderr(&done);
    for line in [
        "carried    settings.Bounds.TryLimit",
        "defaulted  settings.Tenants = []",
        "left out   settings.Deductions.Probe: the front reads no such term",
        "left out   peers_all: fronts tell each other nothing",
        "written to new.json",
    ] {
        assert!(stderr_text.lines().any(|l| l == line), "{line} in {stderr_text}");
    }
    assert_eq!(workspace.text("old.json"), old(&server_list), "the old file is not modified");
    let at = address();
    let check = Command::new(PROGRAM)
        .arg("check")
        .env("GW_LISTEN", at.to_string())
        .env("GW_DISCOVERY", agent.at.to_string())
        .env("GW_CONFIG", workspace.at("new.json"))
        .output()
        .expect("the program runs");
    assert!(check.status.success(), "{}", stderr(&check));
    let front = Front::start_with_config(PROGRAM, at, agent.at, &workspace.text("new.json"), None);
    assert!(front.client().query(&txn("lookup", 2000, "r")).value.is_some());
    // The old file still works as well.
    let before = Front::start_with_config(PROGRAM, address(), agent.at, &workspace.text("old.json"), None);
    assert!(before.client().query(&txn("lookup", 2000, "r")).value.is_some());
}

#[test]
fn existing_files_are_replaced_only_with_force_and_dry_run_writes_nothing() {
    let workspace = Workspace::with("files", &old("{}"));
    let dry = workspace.run(&["--json", "migrate", "old.json", "--dry-run"]);
    let report: Value = serde_json::from_slice(&dry.stdout).expect("one line of JSON");
    assert!(
        dry.status.success() && report["written"].is_null() && workspace.files() == ["old.json"],
        "{report}"
    );
    assert_eq!(report["defaulted"].as_array().map(Vec::len), Some(4));
    std::fs::write(workspace.at("new.json"), "mine").expect("a file");
    let refused = workspace.run(&["migrate", "old.json", "--output", "new.json"]);
    assert_eq!((refused.status.code(), workspace.text("new.json").as_str()), (Some(1), "mine"));
    assert!(stderr(&refused).contains("--force"), "{}", stderr(&refused));
    std::fs::hard_link(workspace.at("old.json"), workspace.at("same.json")).expect("a link");
    for own in ["old.json", "same.json"] {
        let refused = workspace.run(&["migrate", "old.json", "--output", own, "--force"]);
        assert_eq!((refused.status.code(), workspace.text("old.json")), (Some(1), old("{}")));
    }
    assert!(workspace.run(&["migrate", "old.json", "--output", "new.json", "--force"]).status.success());
    let written = workspace.text("new.json");
    let again = workspace.run(&["migrate", "new.json", "--output", "newer.json"]);
    assert!(again.status.success() && stderr(&again).contains("already"), "{}", stderr(&again));
    assert_eq!((workspace.text("new.json"), workspace.at("newer.json").exists()), (written, false));
    assert_eq!(workspace.files(), ["new.json", "old.json", "same.json"], "no temporary file is left behind");
}

#[test]
fn invalid_files_are_rejected_with_a_clear_error_and_no_output() {
    let good = old("{}");
    let cut = &good[..good.len() / 2];
    let foreign = "{ log: { form: \"text\" } }";
    let cases = [
        (cut.to_owned(), "line "),
        (foreign.to_owned(), "expected JSON"),
        ("{}".to_owned(), "settings: expected an object"),
        (good.replace("\"TryLimit\":10", "\"TryLimit\":\"many\""), "Bounds.TryLimit"),
        (good.replace("\"sockets\":1024", "\"sockets\":\"all\""), "limits.sockets"),
        (good.replace("\"seed\"", "\"shape\":9,\"seed\""), "shape: expected 2"),
        (good.replace("\"seed\"", "\"listen\":7,\"seed\""), "listen: expected an address"),
        (good.replace("\"Balancers\":1", "\"OverShareWorth\":-1"), "from 0 to 1 in OverShareWorth"),
    ];
    for (text, expected) in cases {
        let workspace = Workspace::with("wrong", &text);
        let refused = workspace.run(&["migrate", "old.json", "--output", "new.json"]);
        let stderr_text = stderr(&refused);
        assert_eq!(refused.status.code(), Some(1), "{expected}: {stderr_text}");
        assert!(
            stderr_text.contains("old.json") && stderr_text.contains(expected),
            "{expected} in {stderr_text}"
        );
        assert_eq!(workspace.files(), ["old.json"]);
    }
    let workspace = Workspace::with("missing", "{}");
    let refused = workspace.run(&["migrate", "none.json", "--output", "new.json"]);
    assert!(
        refused.status.code() == Some(1) && stderr(&refused).contains("none.json"),
        "{}",
        stderr(&refused)
    );
}

#[test]
fn check_rejects_an_unknown_configuration_shape() {
    let workspace = Workspace::with("shape", &old("{}").replace("\"seed\"", "\"shape\":9,\"seed\""));
    let check = Command::new(PROGRAM)
        .arg("check")
        .env("GW_LISTEN", "127.0.0.1:1")
        .env("GW_DISCOVERY", "127.0.0.1:2")
        .env("GW_CONFIG", Path::new(&workspace.at("old.json")))
        .output()
        .expect("the program runs");
    assert!(
        check.status.code() == Some(1) && stderr(&check).contains("shape: expected 2"),
        "{}",
        stderr(&check)
    );
}
