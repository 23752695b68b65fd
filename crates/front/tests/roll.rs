//! Which program a rolling upgrade may start.

use juniperdock_front::mail;
use juniperdock_front::serve::{beside, rolled};
use juniperdock_operator_config::Upgrade;
use std::path::{Path, PathBuf};
use std::sync::Arc;

#[test]
fn a_roll_starts_nothing_but_what_lies_beside_the_program() {
    let own = std::env::current_exe().ok();
    let path = own.clone().expect("its own path");
    let known = [own, None];
    assert!(beside(&path, &known) && !beside(Path::new("/bin/sh"), &known));
    let detour = path.parent().expect("a folder").join("../../../../../../../../../bin/sh");
    assert!(!beside(&detour, &known) && !beside(Path::new("nowhere"), &known));
    assert!(beside(Path::new("/bin/sh"), &[Some(PathBuf::from("/bin/ls"))]));
    let begun: mail::Upgrade = Arc::new(|_| Ok(7));
    let rolled = rolled(&begun, &Upgrade::default());
    assert!(rolled(Some("/bin/sh")).is_err() && rolled(None) == Ok(7));
}
