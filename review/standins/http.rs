//! Minimal HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// A request head with its body.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub target: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Value of a header; the name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Identifier of the client's attempt.
    pub fn id(&self) -> &str {
        self.header("x-agatestair-request-id").unwrap_or("-")
    }
}

/// A response as a client sees it.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the end of the body was marked by its length or by the last chunk.
    pub complete: bool,
}

impl Response {
    /// Value of a header; the name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
}

/// Reads the next request of a connection; `None` at its end.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let target = words.nth(1).unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let length = find(&headers, "content-length").and_then(|value| value.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(Some(Request { target, headers, body }))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a response; what has arrived of a body that breaks off is kept.
pub fn read_response(reader: &mut BufReader<TcpStream>) -> io::Result<Response> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let status = line.split_whitespace().nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let headers = read_headers(reader)?;
    let mut response = Response { status, headers, ..Response::default() };
    let length = response.header("content-length").and_then(|value| value.parse::<u64>().ok());
    let chunked = response.header("transfer-encoding").is_some_and(|value| value == "chunked");
    if chunked {
        response.complete = read_chunks(reader, &mut response.body).is_ok();
    } else if let Some(length) = length {
        let read = reader.take(length).read_to_end(&mut response.body);
        response.complete = read.is_ok() && response.body.len() as u64 == length;
    } else {
        response.complete = reader.read_to_end(&mut response.body).is_ok();
    }
    Ok(response)
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk)?;
        body.extend_from_slice(&chunk);
        let mut end = String::new();
        reader.read_line(&mut end)?;
        if size == 0 {
            return Ok(());
        }
    }
}
