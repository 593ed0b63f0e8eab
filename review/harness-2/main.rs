//! Runs the scripts of review/6 to review/10: `harness CASE PROGRAM FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod copies;
mod groups;
mod http;
mod operator;
mod proxy;
mod record;
mod searcher;
mod stall;
mod tier;

use std::{path::PathBuf, process::exit, sync::Arc};

use record::Record;

/// What a script has found.
pub enum Verdict {
    Held,
    Broken,
    NotRun(&'static str),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, program, folder] = arguments.as_slice() else {
        eprintln!("usage: harness CASE PROGRAM FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(&PathBuf::from(folder).join("record.txt")));
    let program = PathBuf::from(program);
    let case = case.clone();
    let own_record = Arc::clone(&record);
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match case.as_str() {
        "groups" => groups::run(&program, &own_record, has_trouble),
        "stall" => stall::run(&program, &own_record, has_trouble),
        "copies" => copies::run(&program, &own_record, has_trouble),
        _ => Verdict::NotRun("no such case"),
    }));
    let code = match verdict {
        Ok(Verdict::Held) => {
            record.say("verdict: the rule held");
            0
        }
        Ok(Verdict::Broken) => {
            record.say("verdict: the rule was broken");
            1
        }
        Ok(Verdict::NotRun(reason)) => {
            record.say(&format!("verdict: not run: {reason}"));
            2
        }
        Err(_) => {
            record.say("verdict: not run: the script failed");
            2
        }
    };
    exit(code);
}
