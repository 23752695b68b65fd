//! Which programs a rolling upgrade may start.

use juniperdock_front::messages;
use juniperdock_front::serve::{in_known_folder, upgrade_for_roll};
use juniperdock_operator_config::Upgrade;
use std::path::{Path, PathBuf};
use std::sync::Arc;

#[test]
fn a_rolling_upgrade_starts_only_programs_beside_the_running_one() {
    let own = std::env::current_exe().ok();
    let path = own.clone().expect("its own path");
    let known = [own, None];
    assert!(in_known_folder(&path, &known) && !in_known_folder(Path::new("/bin/sh"), &known));
    let detour = path.parent().expect("a folder").join("../../../../../../../../../bin/sh");
    assert!(!in_known_folder(&detour, &known) && !in_known_folder(Path::new("nowhere"), &known));
    assert!(in_known_folder(Path::new("/bin/sh"), &[Some(PathBuf::from("/bin/ls"))]));
    let upgrade: messages::UpgradeFn = Arc::new(|_| Ok(7));
    let upgrade_for_roll = upgrade_for_roll(&upgrade, &Upgrade::default());
    assert!(upgrade_for_roll(Some("/bin/sh")).is_err() && upgrade_for_roll(None) == Ok(7));
}
