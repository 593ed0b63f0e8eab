//! Plays one case of the review against the project's own programs: `harness CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

#![allow(dead_code, reason = "each case uses a part of the stand-ins")]

mod cold;
mod first_start;
mod http;
mod leave;
mod operator;
mod proxy;
mod quota;
mod race;
mod record;
mod servers;
mod tier;
mod zero;

use std::path::PathBuf;

/// What a case has shown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() {
    let mut words = std::env::args().skip(1);
    let (case, folder) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let folder = PathBuf::from(folder);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let verdict = std::panic::catch_unwind(|| match case.as_str() {
        "cold" => cold::run(&folder, trouble),
        "first-start" => first_start::run(&folder, trouble),
        "leave" => leave::run(&folder, trouble),
        "quota" => quota::run(&folder, trouble),
        "race" => race::run(&folder, trouble),
        "zero" => zero::run(&folder, trouble),
        _ => Verdict::NotRun,
    });
    // A stand-in that fails is no finding.
    let verdict = verdict.unwrap_or(Verdict::NotRun);
    println!("{verdict:?}");
    std::process::exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    });
}
