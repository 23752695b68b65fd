//! Hosts router instances on the simulator's line protocol: reads batches of events from standard input and writes one
//! reply per batch to standard output. Names and ids are only translated here; no decision is made.

mod adapter;
mod membership;
mod message;

use adapter::Adapter;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let membership = match args.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] => false,
        ["--fellows"] => true,
        _ => {
            eprintln!("juniperdock-simhost: expected no argument or --fellows, found {args:?}");
            return ExitCode::FAILURE;
        }
    };
    match run(
        membership,
        BufReader::with_capacity(1 << 20, io::stdin().lock()),
        BufWriter::new(io::stdout().lock()),
    ) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("juniperdock-simhost: {why}");
            ExitCode::FAILURE
        }
    }
}

/// Processes batches until the input ends. An error contains the number of the line at which it occurred.
fn run(membership: bool, mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut adapter = Adapter::new(membership);
    let mut text = Vec::new();
    let mut line_number = 0u64;
    let mut in_batch = false;
    loop {
        text.clear();
        if input.read_until(b'\n', &mut text).map_err(|e| format!("reading after line {line_number}: {e}"))?
            == 0
        {
            break;
        }
        line_number += 1;
        let line =
            std::str::from_utf8(&text).map_err(|_| format!("line {line_number}: expected UTF-8 text"))?;
        let line = line.trim_end_matches(['\n', '\r']);
        if line.is_empty() && !in_batch {
            continue;
        }
        let with_line = |why: String| format!("line {line_number}: {why}");
        if line.starts_with("ROUND ") == in_batch {
            return Err(with_line(format!(
                "expected {}, found {line:?}",
                if in_batch { "an event or COMMIT" } else { "ROUND" }
            )));
        }
        in_batch = !adapter.process(line).map_err(with_line)?;
        if !in_batch {
            output
                .write_all(adapter.reply().as_bytes())
                .and_then(|()| output.flush())
                .map_err(|e| format!("writing the reply after line {line_number}: {e}"))?;
            adapter.clear_reply();
        }
    }
    if in_batch {
        return Err(format!("line {line_number}: the input ended inside a batch, expected COMMIT"));
    }
    Ok(())
}
