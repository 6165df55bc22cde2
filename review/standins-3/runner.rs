//! A sound runner as a process of its own. Its answers have no length and end with their connection.
//!
//! Usage: runner NAME EVENTS PAUSE_MS. Prints its address, and what it runs.

mod common;

use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use common::*;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (name, events, pause) =
        (args[1].clone(), args[2].parse().unwrap(), args[3].parse().unwrap());
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    say(&format!("address {}", listener.local_addr().expect("a bound address")));
    for stream in listener.incoming().flatten() {
        let name = name.clone();
        thread::spawn(move || serve(stream, &name, events, pause));
    }
}

fn say(line: &str) {
    // One write, so that lines of several requests don't mix.
    drop(std::io::stdout().write_all(format!("{line}\n").as_bytes()));
}

fn serve(mut stream: TcpStream, name: &str, events: u32, pause: u64) {
    drop(stream.set_nodelay(true));
    let mut buffer = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut buffer) {
        let id = request.header("x-agatestair-request-id").to_owned();
        let expected = request.header("x-agatestair-expect-instance");
        if request.path().starts_with("/api/") || id.is_empty() || expected != name {
            let status = if id.is_empty() { "404 None" } else { "421 Misdirected" };
            let answer = format!(
                "HTTP/1.1 {status}\r\nX-Agatestair-Request-Id: {id}\r\n\
                 X-Agatestair-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        say(&format!("run {id}"));
        let is_stream = request.path().contains("/stream");
        let media = if is_stream { "text/event-stream" } else { "text/plain" };
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Agatestair-Request-Id: {id}\r\n\
             X-Agatestair-Server-Stamp: {name}.{id}\r\nContent-Type: {media}\r\n\
             Connection: close\r\n\r\n"
        );
        thread::sleep(Duration::from_millis(20));
        let mut sent = stream.write_all(head.as_bytes()).is_ok();
        for event in 1..=events {
            let text = if is_stream {
                format!("id: {event}\ndata: piece {event} of {events}\n\n")
            } else {
                format!("line {event} of {events}\n")
            };
            sent = sent && stream.write_all(text.as_bytes()).is_ok();
            thread::sleep(Duration::from_millis(pause));
        }
        say(&format!("{} {id}", if sent { "sent" } else { "dropped" }));
        drop(stream.shutdown(Shutdown::Write));
        return;
    }
}
