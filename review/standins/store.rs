//! Stand-in of the platform's metadata store: rows, long polls and transactions.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_request, Request};

/// Table, part and key of a row.
type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    /// Value in base64 and version.
    rows: BTreeMap<Key, (String, u64)>,
    /// Version, row and value of each change; `None` for a removal.
    changes: Vec<(u64, Key, Option<String>)>,
}

/// A store that listens on a loopback address.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<Rows>, Condvar)>,
}

impl Store {
    /// Starts a store.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let store = Self { address, state: Arc::default() };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row with an empty part.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.put_in(table, "", key, value);
    }

    /// Writes a row.
    pub fn put_in(&self, table: &str, part: &str, key: &str, value: &str) {
        let key = (table.to_owned(), part.to_owned(), key.to_owned());
        self.change(key, Some(encode(value.as_bytes())));
    }

    fn change(&self, key: Key, value: Option<String>) {
        let (rows, changed) = &*self.state;
        let mut rows = rows.lock().expect("no holder panics");
        rows.version += 1;
        let version = rows.version;
        match &value {
            Some(value) => drop(rows.rows.insert(key.clone(), (value.clone(), version))),
            None => drop(rows.rows.remove(&key)),
        }
        rows.changes.push((version, key, value));
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else { return };
        let (mut reader, mut writer) = (BufReader::new(reading), stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let body = self.respond(&request);
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Request) -> String {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let text = |name: &str| {
            let fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.into_iter().find(|(other, _)| *other == name).map_or("", |(_, value)| value)
        };
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        match path {
            "/api/rows-get" => self.get(text("table"), text("part")),
            "/api/rows-feed" => {
                let wait = Duration::from_millis(number("waitMs"));
                self.feed(text("table"), number("after"), wait)
            }
            "/api/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
            _ => "{}".to_owned(),
        }
    }

    fn get(&self, table: &str, part: &str) -> String {
        let rows = self.state.0.lock().expect("no holder panics");
        let found = rows.rows.iter().filter(|((t, p, _), _)| t == table && p == part);
        let found: Vec<String> =
            found.map(|(key, (value, version))| row(key, Some(value), *version)).collect();
        format!(
            "{{\"rows\":[{}],\"truncated\":false,\"ver\":{},\"nowMs\":1}}",
            found.join(","),
            rows.version
        )
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> String {
        let (rows, changed) = &*self.state;
        let end = Instant::now() + wait;
        let mut rows = rows.lock().expect("no holder panics");
        loop {
            let changes = rows.changes.iter().filter(|(v, (t, _, _), _)| *v > after && t == table);
            // Only the latest change of a row is returned.
            let latest: BTreeMap<&Key, (u64, Option<&String>)> =
                changes.map(|(version, key, value)| (key, (*version, value.as_ref()))).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !latest.is_empty() || left.is_zero() {
                let mut latest: Vec<_> = latest.into_iter().collect();
                latest.sort_by_key(|(_, (version, _))| *version);
                let found: Vec<String> = latest
                    .iter()
                    .map(|(key, (version, value))| row(key, *value, *version))
                    .collect();
                return format!(
                    "{{\"rows\":[{}],\"ver\":{},\"nowMs\":1}}",
                    found.join(","),
                    rows.version
                );
            }
            rows = changed.wait_timeout(rows, left).expect("no holder panics").0;
        }
    }

    /// Applies the writes and removals of a transaction without conditions.
    fn transact(&self, body: &str) -> String {
        let section = |name: &str| {
            let begin = body.find(&format!("\"{name}\":["))? + name.len() + 4;
            let end = begin + body[begin..].find(']')?;
            Some(&body[begin..end])
        };
        for (name, writes) in [("writes", true), ("remove", false)] {
            for entry in section(name).unwrap_or("").split('}').filter(|entry| entry.contains('{'))
            {
                let field = |name: &str| {
                    let begin = entry.find(&format!("\"{name}\":\""))? + name.len() + 4;
                    let end = begin + entry[begin..].find('"')?;
                    Some(entry[begin..end].to_owned())
                };
                let key = (
                    field("table").unwrap_or_default(),
                    field("part").unwrap_or_default(),
                    field("key").unwrap_or_default(),
                );
                self.change(key, field("value").filter(|_| writes));
            }
        }
        let version = self.state.0.lock().expect("no holder panics").version;
        format!("{{\"ver\":{version},\"nowMs\":1}}")
    }
}

fn row((table, part, key): &Key, value: Option<&String>, version: u64) -> String {
    let rest = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"removed\":true".to_owned(),
    };
    format!(
        "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"ver\":{version},{rest}}}"
    )
}

/// Base64 with padding.
fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = group.iter().fold(0_u32, |bits, byte| bits << 8 | u32::from(*byte));
        let bits = bits << (8 * (3 - group.len()));
        for position in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * position)) as usize & 63];
            text.push(if position <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

/// A route of the operator's configuration, for paths under `/{name}/` of one host.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u32, rest: &str) -> String {
    format!(
        "{{\"name\":\"r-{name}\",\"host\":\"shop.example\",\"prefix\":\"/{name}/\",\
         \"kind\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"priority\":0,\"service\":\"{service}\",\
         \"sticky\":false,{rest}}}"
    )
}

/// Properties of a service's engines, as the pages show them.
pub const ENGINE: &str = "\"engine\":{\"slots\":64,\"kvTokens\":525829,\"kvBytes\":35136,\
    \"linkMbps\":260000.0,\"moves\":true,\"backups\":true,\"stride\":10,\"handleTtlS\":5.0,\
    \"switchS\":3.0,\"pinMs\":4000.0,\"holdMs\":2000.0,\"models\":[{\"name\":\"m\"}]}";

/// The operator's configuration with plain services.
pub fn configuration(version: u32, routes: &[String], services: &[&str]) -> String {
    let services: Vec<(&str, &str)> = services.iter().map(|name| (*name, "")).collect();
    configuration_with(version, routes, &services)
}

/// The operator's configuration; each service has its name and further fields.
pub fn configuration_with(version: u32, routes: &[String], services: &[(&str, &str)]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|(name, more)| {
            let comma = if more.is_empty() { "" } else { "," };
            format!(
                "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":370,\
                 \"protocol\":\"h1\",\"tls\":false{comma}{more}}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":\
         {{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// An engine's entry.
pub fn engine_entry(service: &str, address: SocketAddr, slots: u32, stage: &str) -> String {
    let models = "[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]";
    let more = format!(",\"stage\":\"{stage}\",\"models\":{models}}}");
    let plain = entry(service, address, slots, "ready");
    plain.strip_suffix('}').unwrap_or(&plain).to_owned() + &more
}

/// A runner's entry.
pub fn entry(service: &str, address: SocketAddr, slots: u32, state: &str) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"{state}\",\"coldLeftMs\":0,\"seqNo\":1,\
         \"born\":1764900000000}}"
    )
}
