//! Reading and parsing of HTTP requests.

use std::io::{self, BufRead, Read};

use chunked_transfer::Decoder;

/// Maximum size of a request's head in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum size of a request's body in bytes.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;
/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 96;

/// One header of a request.
#[derive(Clone, Debug)]
struct Field {
    name: String,
    value: String,
}

/// A parsed request with its complete body.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// HTTP method.
    pub method: String,
    /// Request target: path and query.
    pub target: String,
    /// Body.
    pub body: Vec<u8>,
    fields: Vec<Field>,
}

impl HttpRequest {
    /// Path without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Value of a query parameter, still percent-encoded.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })
    }

    /// Value of a header; empty if absent.
    pub fn header(&self, name: &str) -> &str {
        let field = self.fields.iter().find(|field| field.name.eq_ignore_ascii_case(name));
        field.map_or("", |field| field.value.as_str())
    }

    /// Whether the client asks to close the connection after the response.
    pub fn wants_close(&self) -> bool {
        self.header("Connection").eq_ignore_ascii_case("close")
    }

    /// Reads the next request; `None` when the peer has closed the connection.
    ///
    /// # Errors
    ///
    /// The I/O error of the connection, [`io::ErrorKind::InvalidData`] or a parse error for a
    /// malformed or too large request, [`io::ErrorKind::UnexpectedEof`] for an incomplete body.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        let Some(head) = read_head(reader)? else {
            return Ok(None);
        };
        let mut request = parse_head(&head)?;
        request.body = request.read_body(reader)?;
        Ok(Some(request))
    }

    fn read_body(&self, reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if self.header("Transfer-Encoding").eq_ignore_ascii_case("chunked") {
            Decoder::new(reader).take(MAX_BODY_BYTES).read_to_end(&mut body)?;
            return Ok(body);
        }
        let length = self.header("Content-Length").parse::<u64>().unwrap_or(0);
        if length > MAX_BODY_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        reader.take(length).read_to_end(&mut body)?;
        if (body.len() as u64) < length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(body)
    }
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut head = Vec::new();
    loop {
        let limit = (MAX_HEAD_BYTES - head.len()) as u64;
        let count = reader.by_ref().take(limit).read_until(b'\n', &mut head)?;
        if count == 0 {
            let closed = head.is_empty();
            return if closed { Ok(None) } else { Err(io::ErrorKind::InvalidData.into()) };
        }
        if head.ends_with(b"\r\n\r\n") {
            return Ok(Some(head));
        }
    }
}

fn parse_head(head: &[u8]) -> io::Result<HttpRequest> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    parsed.parse(head).map_err(io::Error::other)?;
    let fields = parsed.headers.iter().map(|header| Field {
        name: header.name.to_owned(),
        value: String::from_utf8_lossy(header.value).into_owned(),
    });
    Ok(HttpRequest {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: parsed.path.unwrap_or_default().to_owned(),
        body: Vec::new(),
        fields: fields.collect(),
    })
}
