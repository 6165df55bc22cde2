//! HTTP clients of an entry.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use agatestair_schema::caller::{ErrorBody, RunState};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use ureq::Agent;

use super::{API_KEY, MODEL};

/// Timeout for a response or a read.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// A response to a caller.
#[derive(Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Headers: name in lower case and value.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: String,
}

impl Response {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The refusal in the body: code and run state.
    pub fn refusal(&self) -> (String, RunState) {
        let body: ErrorBody = serde_json::from_str(&self.body).expect("body is a refusal");
        (body.error.code, body.error.ran)
    }
}

fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .allow_non_standard_methods(true)
        .timeout_global(Some(READ_TIMEOUT))
        .max_idle_connections(0)
        .build()
        .into()
}

/// Sends a request with the API key, these headers and, unless empty, the body.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Response {
    let mut request = ureq::http::Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("Authorization", format!("Bearer {API_KEY}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let response = if body.is_empty() {
        agent().run(request.body(()).expect("request is valid"))
    } else {
        agent().run(request.body(body).expect("request is valid"))
    };
    let mut response = response.expect("the entry responds");
    let headers = response
        .headers()
        .iter()
        .map(|(name, value)| (name.as_str().to_owned(), value.to_str().expect("ASCII").to_owned()));
    Response {
        status: response.status().as_u16(),
        headers: headers.collect(),
        body: response.body_mut().read_to_string().expect("the body arrives"),
    }
}

/// Status of a `GET` without an API key; `None` if there is no response.
pub fn status(address: SocketAddr, path: &str) -> Option<u16> {
    let response = agent().get(format!("http://{address}{path}")).call().ok()?;
    Some(response.status().as_u16())
}

/// JSON response to a `GET` without an API key.
pub fn get_json<T: DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    let mut response = agent().get(format!("http://{address}{path}")).call().expect("responds");
    response
        .body_mut()
        .with_config()
        .limit(1 << 30)
        .read_json()
        .expect("response has the expected type")
}

/// Body of a completion request.
pub fn prompt_body(prompt: &str, max_tokens: u32, stream: bool) -> String {
    json!({"model": MODEL, "prompt": prompt, "max_tokens": max_tokens, "stream": stream})
        .to_string()
}

/// How a streamed response ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamEnd {
    /// With the end event and the final chunk.
    Complete,
    /// Without one of the two.
    Truncated,
}

/// A streamed response that is being read.
pub struct EventStream {
    reader: BufReader<Box<dyn Read + Send>>,
    /// Text so far.
    pub text: String,
    /// Finish reason, once received.
    pub finish: Option<String>,
    /// Error event, if there was one.
    pub error: Option<Value>,
    done: bool,
}

impl EventStream {
    /// Starts a streamed completion.
    pub fn open(address: SocketAddr, prompt: &str, max_tokens: u32) -> Self {
        Self::open_with(address, &prompt_body(prompt, max_tokens, true))
    }

    /// Starts a streamed completion with this body at an entry or an engine.
    pub fn open_with(address: SocketAddr, body: &str) -> Self {
        let response = agent()
            .post(format!("http://{address}/v1/completions"))
            .header("Authorization", format!("Bearer {API_KEY}"))
            .header("Content-Type", "application/json")
            .send(body)
            .expect("the entry responds");
        let status = response.status().as_u16();
        let reader: Box<dyn Read + Send> = Box::new(response.into_body().into_reader());
        let mut stream = Self {
            reader: BufReader::new(reader),
            text: String::new(),
            finish: None,
            error: None,
            done: false,
        };
        if status != 200 {
            let mut body = String::new();
            stream.reader.read_to_string(&mut body).expect("body arrives");
            panic!("status {status}: {body}");
        }
        stream
    }

    /// Reads the next event's data; `None` at the end of the body.
    fn next_data(&mut self) -> Result<Option<String>, std::io::Error> {
        let mut line = String::new();
        loop {
            line.clear();
            if self.reader.read_line(&mut line)? == 0 {
                return Ok(None);
            }
            if let Some(data) = line.strip_prefix("data: ") {
                return Ok(Some(data.trim_end().to_owned()));
            }
        }
    }

    /// Reads the next event; `false` if there is none.
    pub fn read_piece(&mut self) -> bool {
        match self.next_data() {
            Ok(Some(data)) => {
                self.handle_data(&data);
                true
            }
            _ => false,
        }
    }

    fn handle_data(&mut self, data: &str) {
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let value: Value = serde_json::from_str(data).expect("events are JSON");
        if value.get("error").is_some() {
            self.error = Some(value);
            return;
        }
        let choice = &value["choices"][0];
        self.text.push_str(choice["text"].as_str().expect("pieces have text"));
        if let Some(finish) = choice["finish_reason"].as_str() {
            self.finish = Some(finish.to_owned());
        }
    }

    /// Reads to the end.
    pub fn read_to_end(&mut self) -> StreamEnd {
        loop {
            match self.next_data() {
                Ok(Some(data)) => self.handle_data(&data),
                Ok(None) if self.done => return StreamEnd::Complete,
                _ => return StreamEnd::Truncated,
            }
        }
    }
}

/// Sends raw bytes and returns everything received until the connection ends. If `end` is set, the
/// write side is shut down after sending.
pub fn send_raw(address: SocketAddr, bytes: &[u8], end: bool) -> String {
    let mut stream = TcpStream::connect(address).expect("the entry listens");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("timeout is positive");
    // The entry may respond and close the connection before everything is sent.
    let _ = stream.write_all(bytes);
    if end {
        let _ = stream.shutdown(std::net::Shutdown::Write);
    }
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}
