//! The cases of the third review that are scripts. `review-3 CASE RECORD` plays one and exits with 1 if
//! its rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment, the disruption is left out.

mod cases;
mod http;
mod links;
mod targets;
mod tier;

use std::{path::Path, process::exit, thread::spawn};

use tier::Record;

/// What a case has found.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(&'static str),
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record] = arguments.as_slice() else {
        eprintln!("usage: review-3 CASE RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(Path::new(record));
    record.line(format!("case {case}, disruption: {has_trouble}"));
    let play: fn(Record, bool) -> Verdict = match case.as_str() {
        "forgotten-keeper" => cases::forgotten_keeper::play,
        "promised-failure" => cases::promised_failure::play,
        "split-burst" => cases::split_burst::play,
        "same-name" => cases::same_name::play,
        "repeated-id" => cases::repeated_id::play,
        _ => {
            eprintln!("no case named {case}");
            exit(2);
        }
    };
    let played = record.clone();
    // A panic ends the thread, which drops the tier and its processes.
    let verdict = spawn(move || play(played, has_trouble)).join();
    let code = match verdict {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Ok(Verdict::CouldNotRun(reason)) => {
            record.line(format!("could not run: {reason}"));
            2
        }
        Err(_) => 2,
    };
    record.line(format!("exit {code}"));
    println!("{case}: exit {code}");
    exit(code);
}
