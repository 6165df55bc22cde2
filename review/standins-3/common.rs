//! Stand-ins for the platform's store, runners and clients, with the standard library only.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---- JSON and base64 -------------------------------------------------------------------------

/// A JSON value, as far as the calls of the store need it.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = Self::value(bytes, &mut at)?;
        skip(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Self> {
        skip(bytes, at);
        match *bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut members = BTreeMap::new();
                loop {
                    skip(bytes, at);
                    match *bytes.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Self::Object(members));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Self::Text(key) = Self::value(bytes, at)? else { return None };
                            skip(bytes, at);
                            if *bytes.get(*at)? != b':' {
                                return None;
                            }
                            *at += 1;
                            members.insert(key, Self::value(bytes, at)?);
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut items = Vec::new();
                loop {
                    skip(bytes, at);
                    match *bytes.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Self::List(items));
                        }
                        b',' => *at += 1,
                        _ => items.push(Self::value(bytes, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                loop {
                    match *bytes.get(*at)? {
                        b'"' => {
                            *at += 1;
                            return Some(Self::Text(String::from_utf8(text).ok()?));
                        }
                        b'\\' => {
                            let escape = *bytes.get(*at + 1)?;
                            *at += 2;
                            match escape {
                                b'n' => text.push(b'\n'),
                                b'r' => text.push(b'\r'),
                                b't' => text.push(b'\t'),
                                b'u' => {
                                    let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                                    let code = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                                    text.extend(code.to_string().bytes());
                                    *at += 4;
                                }
                                other => text.push(other),
                            }
                        }
                        byte => {
                            text.push(byte);
                            *at += 1;
                        }
                    }
                }
            }
            _ => {
                let start = *at;
                while bytes.get(*at).is_some_and(|byte| !b",]} \n\r\t".contains(byte)) {
                    *at += 1;
                }
                match std::str::from_utf8(&bytes[start..*at]).ok()? {
                    "null" => Some(Self::Null),
                    "true" => Some(Self::Bool(true)),
                    "false" => Some(Self::Bool(false)),
                    number => number.parse().ok().map(Self::Number),
                }
            }
        }
    }

    pub fn get(&self, key: &str) -> &Self {
        match self {
            Self::Object(members) => members.get(key).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let Self::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Self::Number(number) = self { *number as u64 } else { 0 }
    }

    pub fn items(&self) -> &[Self] {
        if let Self::List(items) = self { items } else { &[] }
    }
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let group = u32::from(part[0]) << 16
            | u32::from(part.get(1).copied().unwrap_or(0)) << 8
            | u32::from(part.get(2).copied().unwrap_or(0));
        for index in 0..4 {
            if index <= part.len() {
                text.push(DIGITS[(group >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut group, mut bits) = (0_u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let Some(digit) = DIGITS.iter().position(|known| *known == byte) else { continue };
        group = group << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((group >> bits) as u8);
            group &= (1 << bits) - 1;
        }
    }
    bytes
}

// ---- Record ----------------------------------------------------------------------------------

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn add(&self, text: impl AsRef<str>) {
        let ms = self.start.elapsed().as_millis();
        let line = format!("{:>4}.{:03} {}\n", ms / 1000, ms % 1000, text.as_ref());
        self.file.lock().unwrap().write_all(line.as_bytes()).expect("record.txt can be written");
    }
}

// ---- HTTP ------------------------------------------------------------------------------------

/// A request or response that was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    /// Headers with lower-case names.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether all of it arrived.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one message with a length or in chunks; `None` if the connection ends before its head.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let mut piece = [0; 16 * 1024];
    let end = loop {
        if let Some(at) = find(buffer, b"\r\n\r\n") {
            break at + 4;
        }
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => return None,
            Ok(length) => buffer.extend_from_slice(&piece[..length]),
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end);
    let mut lines = head.split("\r\n");
    let line = lines.next().unwrap_or("").to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
    let mut message = Message { line, headers: headers.collect(), ..Message::default() };
    let chunked = message.header("transfer-encoding").contains("chunked");
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    loop {
        if chunked {
            if let Some((body, used)) = join_chunks(buffer) {
                buffer.drain(..used);
                (message.body, message.whole) = (body, true);
                return Some(message);
            }
        } else if buffer.len() >= length {
            message.body = buffer.drain(..length).collect();
            message.whole = true;
            return Some(message);
        }
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => {
                message.body = std::mem::take(buffer);
                return Some(message);
            }
            Ok(length) => buffer.extend_from_slice(&piece[..length]),
        }
    }
}

fn join_chunks(bytes: &[u8]) -> Option<(Vec<u8>, usize)> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let end = at + find(&bytes[at..], b"\r\n")?;
        let size = std::str::from_utf8(&bytes[at..end]).ok()?;
        let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
        at = end + 2;
        let chunk = bytes.get(at..at + size)?;
        body.extend_from_slice(chunk);
        if bytes.get(at + size..at + size + 2)? != b"\r\n" {
            return None;
        }
        at += size + 2;
        if size == 0 {
            return Some((body, at));
        }
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// Sends a request on a new connection and reads the answer within a time limit.
pub fn call(address: SocketAddr, request: &str, limit: Duration) -> Result<Message, String> {
    let connected = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)));
    let mut stream = connected.map_err(|error| error.to_string())?;
    stream.set_read_timeout(Some(limit)).map_err(|error| error.to_string())?;
    stream.write_all(request.as_bytes()).map_err(|error| error.to_string())?;
    let answer = read_message(&mut stream, &mut Vec::new());
    match answer {
        Some(answer) if answer.whole => Ok(answer),
        Some(answer) => Err(format!("cut after {}", answer.line)),
        None => Err("no answer".to_owned()),
    }
}

// ---- Store -----------------------------------------------------------------------------------

/// How the store treats the calls of one machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    Normal,
    /// Calls get no response, neither new ones nor those that wait for changes.
    Silent,
    /// Calls get 503.
    Busy,
}

#[derive(Clone)]
struct Row {
    value: Option<Vec<u8>>,
    ver: u64,
}

struct Tables {
    rows: BTreeMap<(String, String), Row>,
    ver: u64,
    modes: HashMap<usize, Mode>,
    /// Raised whenever a mode changes, so that calls that wait notice.
    epoch: HashMap<usize, u64>,
    /// Long polls that wait now: machine, table, time of the call, wait in ms.
    polls: Vec<(usize, String, Instant, u64)>,
}

/// The platform's store. Each machine reaches it at an address of its own.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<Tables>, Condvar)>,
    start: Instant,
}

impl Store {
    pub fn new() -> Self {
        let tables = Tables {
            rows: BTreeMap::new(),
            ver: 0,
            modes: HashMap::new(),
            epoch: HashMap::new(),
            polls: Vec::new(),
        };
        Self { state: Arc::new((Mutex::new(tables), Condvar::new())), start: Instant::now() }
    }

    /// Opens the address of a machine.
    pub fn open(&self, machine: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(stream, machine));
            }
        });
        address
    }

    pub fn set_mode(&self, machine: usize, mode: Mode) {
        let mut tables = self.state.0.lock().unwrap();
        tables.modes.insert(machine, mode);
        *tables.epoch.entry(machine).or_default() += 1;
        self.state.1.notify_all();
    }

    /// Writes a row as the platform or the operator does; returns its version.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) -> u64 {
        let mut tables = self.state.0.lock().unwrap();
        tables.ver += 1;
        let row = Row { value: value.map(|value| value.as_bytes().to_vec()), ver: tables.ver };
        tables.rows.insert((table.to_owned(), key.to_owned()), row);
        self.state.1.notify_all();
        tables.ver
    }

    /// Machines whose long poll of a table waits now, with its age and its wait.
    pub fn polls(&self, table: &str) -> Vec<(usize, Duration, u64)> {
        let tables = self.state.0.lock().unwrap();
        let polls = tables.polls.iter().filter(|(_, known, _, _)| known == table);
        polls.map(|(machine, _, at, wait)| (*machine, at.elapsed(), *wait)).collect()
    }

    fn mode(&self, machine: usize) -> Mode {
        let tables = self.state.0.lock().unwrap();
        tables.modes.get(&machine).copied().unwrap_or(Mode::Normal)
    }

    fn serve(&self, mut stream: TcpStream, machine: usize) {
        let mut buffer = Vec::new();
        while let Some(call) = read_message(&mut stream, &mut buffer) {
            let answer = match self.mode(machine) {
                Mode::Normal => self.handle(&call, machine),
                Mode::Busy => Some((503, "{}".to_owned())),
                Mode::Silent => None,
            };
            let Some((status, body)) = answer else {
                // A connection on which a response is lost delivers nothing further.
                let mut rest = [0; 1024];
                while matches!(stream.read(&mut rest), Ok(length) if length > 0) {}
                return;
            };
            thread::sleep(Duration::from_millis(4));
            let text = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64 + 1
    }

    fn handle(&self, call: &Message, machine: usize) -> Option<(u16, String)> {
        let (path, query) = call.path().split_once('?').unwrap_or((call.path(), ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let table = query.get("table").copied().unwrap_or("").to_owned();
        match path {
            "/api/rows-get" => {
                let tables = self.state.0.lock().unwrap();
                let from = query.get("from").map_or(String::new(), |text| unescape(text));
                let rows = tables.rows.iter().filter(|((known, key), row)| {
                    *known == table && row.value.is_some() && *key >= from
                });
                let rows: Vec<String> =
                    rows.map(|((_, key), row)| wire(&table, key, row)).collect();
                let (ver, now) = (tables.ver, self.now_ms());
                let rows = rows.join(",");
                let body = format!(
                    "{{\"rows\":[{rows}],\"truncated\":false,\"ver\":{ver},\"nowMs\":{now}}}"
                );
                Some((200, body))
            }
            "/api/rows-feed" => self.feed(&table, &query, machine),
            "/api/rows-tx" => Some(self.transact(std::str::from_utf8(&call.body).ok()?)),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn feed(
        &self,
        table: &str,
        query: &HashMap<&str, &str>,
        machine: usize,
    ) -> Option<(u16, String)> {
        let after: u64 = query.get("after").and_then(|text| text.parse().ok()).unwrap_or(0);
        let wait: u64 = query.get("waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
        let begun = Instant::now();
        let until = begun + Duration::from_millis(wait);
        let mut tables = self.state.0.lock().unwrap();
        let epoch = tables.epoch.get(&machine).copied().unwrap_or(0);
        tables.polls.push((machine, table.to_owned(), begun, wait));
        let lost = loop {
            if tables.epoch.get(&machine).copied().unwrap_or(0) != epoch {
                break true;
            }
            let changed =
                tables.rows.iter().any(|((known, _), row)| known == table && row.ver > after);
            let left = until.saturating_duration_since(Instant::now());
            if changed || left.is_zero() {
                break false;
            }
            tables = self.state.1.wait_timeout(tables, left).unwrap().0;
        };
        let own = (machine, table.to_owned(), begun, wait);
        if lost {
            return None;
        }
        tables.polls.retain(|known| *known != own);
        let rows = tables.rows.iter().filter(|((known, _), row)| known == table && row.ver > after);
        let mut rows: Vec<(u64, String)> =
            rows.map(|((_, key), row)| (row.ver, wire(table, key, row))).collect();
        rows.sort();
        let rows: Vec<String> = rows.into_iter().map(|(_, row)| row).collect();
        let (rows, ver, now) = (rows.join(","), tables.ver, self.now_ms());
        Some((200, format!("{{\"rows\":[{rows}],\"ver\":{ver},\"nowMs\":{now}}}")))
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(call) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let id =
            |row: &Json| (row.get("table").text().to_owned(), row.get("key").text().to_owned());
        let mut tables = self.state.0.lock().unwrap();
        for row in call.get("expected").items() {
            let known = tables.rows.get(&id(row)).filter(|known| known.value.is_some());
            if known.map_or(0, |known| known.ver) != row.get("ver").number() {
                return (412, "{\"rows\":[]}".to_owned());
            }
        }
        let (writes, removals) = (call.get("writes").items(), call.get("remove").items());
        tables.ver += u64::from(!(writes.is_empty() && removals.is_empty()));
        let ver = tables.ver;
        for row in writes {
            let value = Some(unbase64(row.get("value").text()));
            tables.rows.insert(id(row), Row { value, ver });
        }
        for row in removals {
            tables.rows.insert(id(row), Row { value: None, ver });
        }
        self.state.1.notify_all();
        (200, format!("{{\"ver\":{ver},\"nowMs\":{}}}", self.now_ms()))
    }
}

fn wire(table: &str, key: &str, row: &Row) -> String {
    let end = match &row.value {
        Some(value) => format!("\"value\":\"{}\"", base64(value)),
        None => "\"removed\":true".to_owned(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{end},\"ver\":{}}}", row.ver)
}

fn unescape(text: &str) -> String {
    let (bytes, mut plain, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        let code = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match code.filter(|_| bytes[at] == b'%') {
            Some(code) => {
                plain.push(code);
                at += 3;
            }
            None => {
                plain.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

// ---- Runners ---------------------------------------------------------------------------------

/// A request that a runner ran.
#[derive(Clone, Debug)]
pub struct Ran {
    pub at: Instant,
    pub id: String,
    pub runner: String,
    pub service: String,
}

/// A sound runner of a plain service.
#[derive(Clone)]
pub struct Runner {
    pub name: String,
    pub service: String,
    pub address: SocketAddr,
    pub born: u64,
}

/// What all runners ran.
pub type Runs = Arc<Mutex<Vec<Ran>>>;

impl Runner {
    pub fn start(name: &str, service: &str, runs: &Runs, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let (name, service) = (name.to_owned(), service.to_owned());
        let runner = Self { name, service, address, born: unix_ms() };
        let (own, runs, record) = (runner.clone(), runs.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (own, runs, record) = (own.clone(), runs.clone(), record.clone());
                thread::spawn(move || own.serve(stream, &runs, &record));
            }
        });
        runner
    }

    fn serve(&self, mut stream: TcpStream, runs: &Runs, record: &Record) {
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer) {
            let id = request.header("x-agatestair-request-id").to_owned();
            let expected = request.header("x-agatestair-expect-instance");
            let answer = if !expected.is_empty() && expected != self.name {
                format!(
                    "HTTP/1.1 421 Misdirected\r\nX-Agatestair-Request-Id: {id}\r\n\
                     Content-Length: 0\r\n\r\n"
                )
            } else if id.is_empty() {
                "HTTP/1.1 400 Bad\r\nX-Agatestair-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                    .to_owned()
            } else {
                let (runner, service) = (self.name.clone(), self.service.clone());
                record.add(format!("run    {id} by {runner} of {service}"));
                runs.lock().unwrap().push(Ran {
                    at: Instant::now(),
                    id: id.clone(),
                    runner,
                    service,
                });
                thread::sleep(Duration::from_millis(5));
                let body = format!("{}:{id}", self.service);
                format!(
                    "HTTP/1.1 200 OK\r\nX-Agatestair-Request-Id: {id}\r\n\
                     X-Agatestair-Server-Stamp: {}.{id}\r\nX-Agatestair-Server-Load: 1,0,6,100\r\n\
                     Content-Length: {}\r\n\r\n{body}",
                    self.name,
                    body.len()
                )
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The runner's entry in the store.
    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"{state}\",\"coldLeftMs\":0,\"seqNo\":0,\"born\":{}}}",
            self.service, self.address, self.born
        )
    }
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock after 1970");
    now.as_millis() as u64
}

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

/// Lets a process end with this one, also if this one is killed.
pub fn end_with_parent(command: &mut Command) -> &mut Command {
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        })
    }
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

// ---- Machines --------------------------------------------------------------------------------

/// One machine with the project's process.
pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub child: Child,
    pub log: PathBuf,
}

/// Figures of the deployment, as its settings name them.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub contact_ms: u64,
    pub grace_s: u64,
}

impl Machine {
    /// Starts the process of the deploy file with settings like those that its template yields.
    pub fn start(
        index: usize,
        folder: &Path,
        store: SocketAddr,
        ports: &[u16; 4],
        bounds: Bounds,
    ) -> Self {
        let name = format!("front-a-{index}");
        let ip = address_of(index);
        let [front, ready, directory, peers] = ports.map(|port| SocketAddr::from((ip, port)));
        let settings = format!(
            "{{\"instance\": {{\"name\": \"{name}\", \"region\": \"r\", \"domain\": \"a\"}},\n\
             \"bootstrap\": true,\n\
             \"listen\": {{\"callers\": \"{front}\", \"ready\": \"{ready}\", \
             \"directory\": \"{directory}\", \"peers\": \"{peers}\"}},\n\
             \"store\": {{\"address\": \"{store}\"}},\n\
             \"machine\": {{\"cpu_share\": 0.25, \"link_mbps\": 1000.0, \"memory_mb\": 260, \
             \"max_files\": 4100}},\n\
             \"bounds\": {{\"grace_s\": {}, \"contact_ms\": {}, \"answer_s\": 5, \
             \"retry_ratio\": 0.2, \"retry_window_s\": 10, \"retry_slack\": 58, \
             \"lease_ms\": 3000, \"heartbeat_ms\": 1200}}}}\n",
            bounds.grace_s, bounds.contact_ms
        );
        let path = folder.join(format!("{name}.jsonc"));
        fs::write(&path, settings).expect("the temporary folder is writable");
        let log = folder.join(format!("{name}.log"));
        let mut command = Command::new("target/release/agatestair-front");
        command.env_clear().env("AGATESTAIR_CONFIG", &path).env("PATH", "/usr/bin:/bin");
        command.stdin(Stdio::null()).stderr(Stdio::null());
        command.stdout(File::create(&log).expect("the temporary folder is writable"));
        let child = end_with_parent(&mut command).spawn();
        let child = child.expect("target/release/agatestair-front was built");
        Self { name, front, ready, child, log }
    }

    pub fn is_ready(&self) -> bool {
        let request =
            format!("GET /api/ready HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", self.ready);
        call(self.ready, &request, Duration::from_secs(1))
            .is_ok_and(|answer| answer.status() == 200)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        // The process is a child that was not waited for, so that its id is its own.
        let sent = unsafe { kill(self.child.id() as i32, signal) };
        assert_eq!(sent, 0, "{} could not be signalled", self.name);
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Loopback address of a machine.
fn address_of(index: usize) -> Ipv4Addr {
    let net = std::env::var("MACHINE_NET").ok().and_then(|text| text.parse().ok());
    Ipv4Addr::new(127, 0, net.unwrap_or(61), 10 + index as u8)
}

/// Ports that are free on all loopback addresses of the machines.
pub fn free_ports(machines: usize) -> [u16; 4] {
    let mut found = Vec::new();
    for port in 20_000 + (std::process::id() as u16 % 10_000)..60_000 {
        let ips = (0..machines).map(address_of);
        let free = ips.map(|ip| SocketAddr::from((ip, port))).all(|address| {
            TcpListener::bind(address).is_ok() && std::net::UdpSocket::bind(address).is_ok()
        });
        if free {
            found.push(port);
        }
        if let [a, b, c, d] = found[..] {
            return [a, b, c, d];
        }
    }
    panic!("no free ports");
}

/// A temporary folder, removed when it is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("agatestair-review-{}", std::process::id()));
        fs::create_dir_all(&path).expect("the temporary folder is writable");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            drop(fs::remove_dir_all(&self.0));
        }
    }
}
