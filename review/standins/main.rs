//! Stand-ins of the store, the runners and the clients, and the scenarios of the review's scripts.

mod case1;
mod case2;
mod case3;
mod case4;
mod case5;
mod children;
mod client;
mod front;
mod http;
mod record;
mod runner;
mod store;

use std::process::ExitCode;

/// The rule was kept.
pub const HELD: u8 = 0;
/// The rule was broken.
pub const BROKEN: u8 = 1;
/// The scenario could not run.
pub const FAILED: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run: fn(&str, bool) -> Result<bool, String> = match words[..] {
        ["runner", kind] => return runner::main(kind),
        ["case1", _] => case1::run,
        ["case2", _] => case2::run,
        ["case3", _] => case3::run,
        ["case4", _] => case4::run,
        ["case5", _] => case5::run,
        _ => {
            eprintln!("usage: standins caseN FOLDER");
            return ExitCode::from(FAILED);
        }
    };
    children::limit_time();
    // A panic of a scenario unwinds, so that the processes that it started are ended.
    let outcome = std::panic::catch_unwind(|| run(words[1], trouble));
    match outcome {
        Ok(Ok(true)) => ExitCode::from(HELD),
        Ok(Ok(false)) => ExitCode::from(BROKEN),
        Ok(Err(cause)) => {
            eprintln!("the scenario could not run: {cause}");
            ExitCode::from(FAILED)
        }
        Err(_) => ExitCode::from(FAILED),
    }
}
