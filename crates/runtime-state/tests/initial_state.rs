//! What a new process starts from.

use juniperdock_runtime_state::{Change, InitialState, KnownList, ListChange};
use juniperdock_server_list::ServerList;

fn list(version: u64, full: bool, servers: &[(&str, &str)]) -> ServerList {
    let entry = |(id, state): &(&str, &str)| {
        format!(
            r#"{{"id":"{id}","addr":"127.0.0.1:5","zone":"z","cell":3,"role":"leader","started_ms":7,"state":"{state}"}}"#
        )
    };
    let entries: Vec<String> = servers.iter().map(entry).collect();
    let text = format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","));
    ServerList::parse(text.as_bytes()).expect("a list")
}

fn known(version: u64, highest_version: u64) -> Change {
    Change::Servers(KnownList {
        list: list(version, true, &[("a", "up"), ("b", "removed")]),
        highest_version,
    })
}

fn state_after(changes: &[Change]) -> InitialState {
    let mut state = InitialState::default();
    changes.iter().for_each(|change| state.record(change.clone()));
    state
}

#[test]
fn changes_arrive_as_they_were_sent_and_damaged_ones_are_refused() {
    let changes = [
        Change::DiscoveryAddress("127.0.0.1:7".parse().expect("an address")),
        Change::Reload,
        known(7, 9),
        Change::ServersChanged(ListChange { from: Some(7), list: list(8, false, &[("a", "draining")]) }),
    ];
    for change in &changes {
        let mut bytes = change.encode().expect("encoded");
        assert_eq!(Change::decode(&bytes).as_ref(), Ok(change));
        bytes.push(0);
        assert!(Change::decode(&bytes).is_err());
        assert!(Change::decode(&bytes[..bytes.len() - 2]).is_err());
    }
}

/// Guards against changes that are applied to a list which has them already, or lost because it came later.
#[test]
fn changes_after_the_list_are_kept_and_those_before_it_are_part_of_it() {
    let change = |from, version| {
        Change::ServersChanged(ListChange {
            from: Some(from),
            list: list(version, false, &[("a", "draining")]),
        })
    };
    let state = state_after(&[change(6, 7), known(7, 7), change(7, 8)]);
    assert_eq!(state.server_changes.iter().map(|change| change.list.version).collect::<Vec<_>>(), [8]);
}

/// Guards against a list in the file that brings removed servers back, also after discovery was reset.
#[test]
fn list_of_the_old_process_goes_before_the_file_unless_that_is_newer_than_any() {
    let start = |version, highest, configured: Result<u64, String>| {
        let configured = configured.map(|version| list(version, true, &[("b", "up")]));
        let started = state_after(&[known(version, highest)]).take_starting_list(configured).expect("a list");
        (started.version, started.lists.iter().map(|list| list.version).collect::<Vec<_>>())
    };
    assert_eq!(start(7, 7, Ok(5)), (7, vec![7]));
    assert_eq!(start(7, 7, Ok(7)), (7, vec![7]));
    assert_eq!(start(3, 7, Ok(5)), (3, vec![3]), "the file is older than the reset");
    assert_eq!(start(7, 7, Ok(8)), (8, vec![7, 8]));
    assert_eq!(start(7, 7, Err("no list".to_owned())), (7, vec![7]));
    let mut nothing_told = InitialState::default();
    assert_eq!(nothing_told.take_starting_list(Ok(list(5, true, &[]))).map(|start| start.version), Ok(5));
    assert!(nothing_told.take_starting_list(Err("no list".to_owned())).is_err());
}
