//! Stand-ins of runners, in threads of the scenario or as a process of their own.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::children;
use crate::http::{read_request, Request};
use crate::record::Record;

/// Time that the slow work of a runner process takes.
pub const SLOW_WORK: Duration = Duration::from_secs(3);

/// Number of events of a slow stream.
pub const EVENTS: u32 = 10;

/// A request at a runner, with the connection for the answer.
pub struct Exchange<'a> {
    pub request: &'a Request,
    pub stream: &'a mut TcpStream,
}

impl Exchange<'_> {
    /// Writes a whole answer; `extra` holds further header lines.
    pub fn answer(&mut self, status: &str, extra: &str, body: &str) -> io::Result<()> {
        let text = format!(
            "HTTP/1.1 {status}\r\nX-Agatestair-Request-Id: {}\r\n\
             X-Agatestair-Server-Stamp: stamp\r\n{extra}Content-Length: {}\r\n\r\n{body}",
            self.request.id(),
            body.len()
        );
        self.stream.write_all(text.as_bytes())
    }

    /// Writes the head of an answer; `extra` holds further header lines.
    pub fn head(&mut self, extra: &str) -> io::Result<()> {
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Agatestair-Request-Id: {}\r\n\
             X-Agatestair-Server-Stamp: stamp\r\n{extra}\r\n",
            self.request.id()
        );
        self.stream.write_all(text.as_bytes())
    }

    /// Writes bytes as one chunk; no bytes end the body.
    pub fn chunk(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
    }
}

/// Serves requests until the process ends; a connection is closed after an error of `serve`.
pub fn start(
    serve: impl Fn(&mut Exchange<'_>) -> io::Result<()> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve_connection(stream, &*serve));
        }
    });
    address
}

fn serve_connection(
    mut stream: TcpStream,
    serve: &(impl Fn(&mut Exchange<'_>) -> io::Result<()> + ?Sized),
) {
    let Ok(reading) = stream.try_clone() else { return };
    let mut reader = BufReader::new(reading);
    while let Ok(Some(request)) = read_request(&mut reader) {
        let outcome = serve(&mut Exchange { request: &request, stream: &mut stream });
        if outcome.is_err() {
            return;
        }
    }
}

/// A runner in a process of its own, ended on drop.
pub struct RunnerProcess {
    pub address: SocketAddr,
    child: Child,
}

impl RunnerProcess {
    /// Starts a runner of a kind, whose runs go into the record.
    pub fn start(kind: &str, name: &'static str, record: &Record) -> Result<Self, String> {
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let child = Command::new(program).args(["runner", kind]).stdout(Stdio::piped()).spawn();
        let mut child = child.map_err(|error| error.to_string())?;
        children::note(&child);
        let mut lines = BufReader::new(child.stdout.take().expect("the output is a pipe")).lines();
        let first = lines.next().and_then(Result::ok).unwrap_or_default();
        let address = first.parse().map_err(|_| "the runner names no address".to_owned())?;
        let record = record.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.line(format!("runner {name}: {line}"));
            }
        });
        Ok(Self { address, child })
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        children::end(&mut self.child);
    }
}

impl Drop for RunnerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs a runner as a process: prints its address, then a line for each run that begins or ends.
pub fn main(kind: &str) -> ExitCode {
    let address = match kind {
        "unframed" => start(serve_unframed),
        _ => return ExitCode::from(crate::FAILED),
    };
    println!("{address}");
    loop {
        thread::park();
    }
}

/// The whole plain answer to a request.
pub fn whole_answer(id: &str) -> String {
    format!("{}{}", first_half(id), second_half(id))
}

fn first_half(id: &str) -> String {
    format!("the first half of the answer to {id}; ")
}

fn second_half(id: &str) -> String {
    format!("the second half of the answer to {id}")
}

/// An event of the stream that answers a request.
pub fn event(id: &str, number: u32) -> String {
    format!("id: {number}\ndata: piece {number} of {EVENTS} for {id}\n\n")
}

/// The whole stream that answers a request.
pub fn whole_stream(id: &str) -> String {
    (1..=EVENTS).map(|number| event(id, number)).collect()
}

/// Answers slowly, without a length or chunks: the answer ends with its connection.
fn serve_unframed(exchange: &mut Exchange<'_>) -> io::Result<()> {
    let id = exchange.request.id().to_owned();
    println!("begins {id}");
    if exchange.request.target.starts_with("/stream/") {
        exchange.head("Content-Type: text/event-stream\r\nConnection: close\r\n")?;
        for number in 1..=EVENTS {
            exchange.stream.write_all(event(&id, number).as_bytes())?;
            thread::sleep(SLOW_WORK / EVENTS);
        }
    } else {
        exchange.head("Connection: close\r\n")?;
        exchange.stream.write_all(first_half(&id).as_bytes())?;
        thread::sleep(SLOW_WORK);
        exchange.stream.write_all(second_half(&id).as_bytes())?;
    }
    println!("has made its whole answer to {id}");
    exchange.stream.shutdown(Shutdown::Write)?;
    Err(io::ErrorKind::ConnectionAborted.into())
}
