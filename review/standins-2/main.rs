//! Stand-ins and cases of the second review; `review/build-2.sh` builds them.

mod case10;
mod case6;
mod case7;
mod case8;
mod case9;
mod children;
mod http;
mod json;
mod reset;
mod store;

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let address = |text: &str| text.parse::<SocketAddr>().expect("an address");
    match words[..] {
        ["case6", record] => case6::play(Path::new(record)),
        ["case7", record] => case7::play(Path::new(record)),
        ["case8", record] => case8::play(Path::new(record)),
        ["case9", record] => case9::play(Path::new(record)),
        ["case10", record] => case10::play(Path::new(record)),
        ["runner6", id, at] => case6::serve(id, address(at)),
        ["runner7", id, at] => case7::serve(id, address(at)),
        ["runner9", seed, id, at] => case9::serve(id, address(at), seed.parse().expect("a number")),
        _ => {
            eprintln!("usage: standins CASE RECORD");
            ExitCode::from(2)
        }
    }
}
