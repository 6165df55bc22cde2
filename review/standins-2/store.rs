//! Stand-in for the platform's store: rows, transactions under conditions, and the feed of changes.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Request;
use crate::json::{Json, base64};

/// Longest poll of the feed.
const MAX_WAIT_MS: u64 = 30_000;

/// Time that a transaction takes.
const TX_TIME: Duration = Duration::from_millis(5);

#[derive(Clone)]
struct Row {
    table: String,
    key: String,
    /// In base64; `None` if the row was removed.
    value: Option<String>,
    ver: u64,
}

#[derive(Default)]
struct State {
    ver: u64,
    rows: BTreeMap<(String, String), Row>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    begun: Instant,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let store = Self { address, begun: Instant::now(), state: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row, as the operator or a runner does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("no thread panics");
        state.ver += 1;
        let (ver, value) = (state.ver, Some(base64(value.as_bytes())));
        set(&mut state, table, key, value, ver);
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else { return };
        let (mut reader, mut stream) = (BufReader::new(reading), stream);
        while let Some(request) = Request::read(&mut reader) {
            let (status, body) = self.answer(&request);
            let length = body.len();
            let head = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
            );
            if stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let path = request.path.split('?').next().unwrap_or_default();
        match path {
            "/api/rows-get" => self.read(request),
            "/api/rows-feed" => self.feed(request),
            "/api/rows-tx" => {
                thread::sleep(TX_TIME);
                self.transact(&String::from_utf8_lossy(&request.body))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn listing(&self, state: &State, rows: &[Row]) -> String {
        let now = self.begun.elapsed().as_millis();
        let rows: Vec<String> = rows.iter().map(wire).collect();
        format!(
            "{{\"rows\":[{}],\"truncated\":false,\"ver\":{},\"nowMs\":{now}}}",
            rows.join(","),
            state.ver
        )
    }

    fn read(&self, request: &Request) -> (u16, String) {
        let table = request.query("table").unwrap_or_default();
        let state = self.state.0.lock().expect("no thread panics");
        let rows = state.rows.values().filter(|row| row.table == table && row.value.is_some());
        let rows: Vec<Row> = rows.cloned().collect();
        (200, self.listing(&state, &rows))
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let number = |name: &str| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let table = request.query("table").unwrap_or_default();
        let (after, wait) = (number("after").unwrap_or(0), number("waitMs").unwrap_or(0));
        let until = Instant::now() + Duration::from_millis(wait.min(MAX_WAIT_MS));
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("no thread panics");
        loop {
            let rows = state.rows.values().filter(|row| row.table == table && row.ver > after);
            let mut rows: Vec<Row> = rows.cloned().collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort_by_key(|row| row.ver);
                return (200, self.listing(&state, &rows));
            }
            state = changed.wait_timeout(state, left).expect("no thread panics").0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(call) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("no thread panics");
        let at = |row: &Json| (row.text("table").to_owned(), row.text("key").to_owned());
        let current = |state: &State, row: &Json| {
            state.rows.get(&at(row)).filter(|row| row.value.is_some()).map_or(0, |row| row.ver)
        };
        let holds = |row: &Json| current(&state, row) == row.number("ver").unwrap_or(0);
        if !call.list("expected").iter().all(holds) {
            let rows = call.list("expected").iter().filter_map(|row| state.rows.get(&at(row)));
            let rows: Vec<Row> = rows.cloned().collect();
            return (412, self.listing(&state, &rows));
        }
        let (writes, removals) = (call.list("writes"), call.list("remove"));
        let reserved = |row: &Json| ["op", "servers"].contains(&row.text("table"));
        if writes.iter().chain(removals).any(reserved) {
            return (403, "{}".to_owned());
        }
        if !writes.is_empty() || !removals.is_empty() {
            state.ver += 1;
            let ver = state.ver;
            for row in writes {
                let value = Some(row.text("value").to_owned());
                set(&mut state, row.text("table"), row.text("key"), value, ver);
            }
            for row in removals {
                set(&mut state, row.text("table"), row.text("key"), None, ver);
            }
            changed.notify_all();
        }
        (200, self.listing(&state, &[]))
    }
}

fn set(state: &mut State, table: &str, key: &str, value: Option<String>, ver: u64) {
    let (table, key) = (table.to_owned(), key.to_owned());
    let row = Row { table: table.clone(), key: key.clone(), value, ver };
    state.rows.insert((table, key), row);
}

fn wire(row: &Row) -> String {
    let Row { table, key, value, ver } = row;
    let value = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"removed\":true".to_owned(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{value},\"ver\":{ver}}}")
}
