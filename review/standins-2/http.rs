//! HTTP/1.1 messages on blocking sockets.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request as a stand-in reads it.
pub struct Request {
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Reads the next request; `None` once the connection has ended.
    pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Self> {
        let line = line(reader)?;
        let path = line.split(' ').nth(1)?.to_owned();
        let headers = headers(reader)?;
        let mut request = Self { path, headers, body: Vec::new() };
        if let Some(length) = request.header("content-length") {
            request.body = vec![0; length.parse().ok()?];
            reader.read_exact(&mut request.body).ok()?;
        } else if request.header("transfer-encoding").is_some() {
            while let Some(chunk) = chunk(reader)? {
                request.body.extend(chunk);
            }
        }
        Some(request)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Value of a parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|pair| pair.0 == name)
            .map(|pair| pair.1)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| &**value)
}

fn line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    let count = reader.read_line(&mut line).ok()?;
    (count > 0 && line.ends_with('\n')).then(|| line.trim_end().to_owned())
}

fn headers(reader: &mut BufReader<TcpStream>) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Reads a chunk; `Some(None)` is the last one, `None` the end of the connection.
fn chunk(reader: &mut BufReader<TcpStream>) -> Option<Option<Vec<u8>>> {
    let size = usize::from_str_radix(&line(reader)?, 16).ok()?;
    let mut bytes = vec![0; size];
    reader.read_exact(&mut bytes).ok()?;
    line(reader)?;
    Some((size > 0).then_some(bytes))
}

/// What a client gets for a request.
#[derive(Debug, Default)]
pub struct Answer {
    /// 0 if there was none.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// Whether the body ended as its framing says.
    pub complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    fn read(reader: &mut BufReader<TcpStream>) -> Self {
        let mut answer = Self::default();
        let Some(first) = line(reader) else { return answer };
        answer.status = first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
        let Some(headers) = headers(reader) else { return answer };
        answer.headers = headers;
        let mut body = Vec::new();
        if let Some(length) = answer.header("content-length").and_then(|text| text.parse().ok()) {
            body = vec![0; length];
            answer.complete = reader.read_exact(&mut body).is_ok();
        } else if answer.header("transfer-encoding").is_some() {
            loop {
                match chunk(reader) {
                    Some(Some(bytes)) => body.extend(bytes),
                    Some(None) => {
                        answer.complete = true;
                        break;
                    }
                    None => break,
                }
            }
        } else {
            answer.complete = reader.read_to_end(&mut body).is_ok();
        }
        answer.body = String::from_utf8_lossy(&body).into_owned();
        answer
    }
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects; a read that lasts longer than `patience` fails.
    pub fn connect(address: SocketAddr, patience: Duration) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(patience)).ok()?;
        stream.set_nodelay(true).ok()?;
        let reader = BufReader::new(stream.try_clone().ok()?);
        Some(Self { stream, reader })
    }

    /// Sends a request and reads the answer.
    pub fn send(&mut self, method: &str, path: &str, headers: &str, body: &str) -> Answer {
        let length = body.len();
        let text =
            format!("{method} {path} HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        if self.stream.write_all(text.as_bytes()).is_err() {
            return Answer::default();
        }
        Answer::read(&mut self.reader)
    }
}

/// Sends a request on a new connection.
pub fn send(address: SocketAddr, method: &str, path: &str, headers: &str, body: &str) -> Answer {
    let client = Client::connect(address, Duration::from_secs(15));
    client.map_or_else(Answer::default, |mut client| client.send(method, path, headers, body))
}

/// Waits until a condition holds; returns whether it did in time.
pub fn wait(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let begun = Instant::now();
    while begun.elapsed() < limit {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}
