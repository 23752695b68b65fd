//! A table of session marks that is mapped twice, as by two processes.

use juniperdock_session_marks::{SLOTS, SharedMarks, TableError};
use std::io::Write;
use std::os::fd::OwnedFd;

fn mapped_twice() -> (SharedMarks, SharedMarks) {
    let table = SharedMarks::create().expect("a table");
    let other = SharedMarks::from_descriptor(table.descriptor().expect("a descriptor"));
    (table, other.expect("the same table"))
}

/// Guards against a commit that one process has reported and the other does not know.
#[test]
fn what_one_mapping_records_binds_in_the_other() {
    let (here, there) = mapped_twice();
    assert_eq!(there.must_see(7), None);
    here.record(7, 100);
    here.record(7, 90);
    assert_eq!((there.must_see(7), there.must_see(8)), (Some(100), None), "the newest commit counts");
    there.record(7, 110);
    assert_eq!(here.must_see(7), Some(110), "both sides write");
    here.raise_floor(105);
    assert_eq!((there.must_see(7), there.must_see(8)), (Some(110), Some(105)));
    assert_eq!(there.newest(), Some(110));
}

#[test]
fn sessions_in_one_slot_share_the_newest_commit() {
    let (here, there) = mapped_twice();
    here.record(3, 100);
    there.record(3 + SLOTS, 50);
    assert_eq!((there.must_see(3 + SLOTS), here.must_see(3)), (Some(100), Some(100)));
}

#[test]
fn write_is_in_flight_until_each_one_sent_has_ended() {
    let (here, there) = mapped_twice();
    here.write_sent(5);
    there.write_sent(5);
    here.write_ended(5);
    assert!(here.has_write_in_flight(5) && there.has_write_in_flight(5));
    there.write_ended(5);
    assert!(!here.has_write_in_flight(5));
    here.write_ended(5);
    there.write_sent(5);
    assert!(here.has_write_in_flight(5), "an end without a begin takes nothing from later ones");
}

#[test]
fn descriptor_of_something_else_is_refused() {
    let (mut writer, reader) = {
        let (reader, writer) = std::io::pipe().expect("a pipe");
        (writer, OwnedFd::from(reader))
    };
    writer.write_all(&[0; 64]).expect("written");
    assert!(SharedMarks::from_descriptor(reader).is_err());
    let path = std::env::temp_dir().join(format!("juniperdock-marks-{}", std::process::id()));
    let file = std::fs::File::options()
        .create(true)
        .truncate(true)
        .read(true)
        .write(true)
        .open(&path)
        .expect("a file");
    let _ = std::fs::remove_file(&path);
    file.set_len((8 + SLOTS * 2) * 8).expect("a file of the right size");
    assert!(matches!(
        SharedMarks::from_descriptor(file.into()),
        Err(TableError::Io(_) | TableError::NotATable)
    ));
}
