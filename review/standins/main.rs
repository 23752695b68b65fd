//! The review's cases. Run from the repository's root: `standins CASE FOLDER`, which writes FOLDER/record.txt.

mod common;
mod sites;
mod foreign;
mod marks;
mod stuck;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let (case, folder) = (words[1].as_str(), words[2].as_str());
    // A run never takes longer than 120 s.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(110));
        println!("out of time");
        common::end_everything();
        std::process::exit(i32::from(common::COULD_NOT_RUN));
    });
    // What could not run is no verdict on the front.
    std::panic::set_hook(Box::new(|panic| {
        println!("the stand-ins failed: {panic}");
        common::end_everything();
        std::process::exit(i32::from(common::COULD_NOT_RUN));
    }));
    common::note_inherited();
    let record = common::Record::create(&format!("{folder}/record.txt"));
    record.line(&format!("case {case}, trouble {}", common::trouble()));
    let verdict = match case {
        "foreign" => foreign::run(&record),
        "marks" => marks::run(&record),
        "stuck" => stuck::run(&record),
        _ => common::COULD_NOT_RUN,
    };
    record.say(&format!("exit {verdict}"));
    std::process::exit(i32::from(verdict));
}
