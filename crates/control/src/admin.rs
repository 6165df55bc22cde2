//! HTTP interface for operators.

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use agatestair_runtime::{MetricsHandle, listen, respond, respond_json};
use serde_json::json;
use stakker::sync::Channel;
use tiny_http::{Method, Request};

use crate::event::Event;
use crate::status::StatusReport;

/// Number of threads that handle requests.
const ADMIN_THREADS: usize = 2;
/// Longest wait for the actor's response.
const ACTOR_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts the threads that serve requests on `address`.
///
/// # Errors
///
/// The operating system's error if the address cannot be listened on.
pub fn start_admin(
    address: SocketAddr,
    events: &Channel<Event>,
    metrics: &MetricsHandle,
) -> io::Result<()> {
    let server = std::sync::Arc::new(listen(address)?);
    for index in 0..ADMIN_THREADS {
        let (server, events, metrics) = (server.clone(), events.clone(), metrics.clone());
        thread::Builder::new().name(format!("admin-{index}")).spawn(move || {
            while let Ok(request) = server.recv() {
                // Fails only if the caller has closed the connection.
                let _ = handle(request, &events, &metrics);
            }
        })?;
    }
    Ok(())
}

fn handle(request: Request, events: &Channel<Event>, metrics: &MetricsHandle) -> io::Result<()> {
    let path = request.url().split('?').next().unwrap_or("").to_owned();
    if *request.method() != Method::Get {
        return respond_json(request, 405, &json!({"error": "only GET is served here"}));
    }
    match path.as_str() {
        "/metrics" => respond(request, 200, "text/plain; version=0.0.4", metrics.render().into()),
        "/healthz" => match request_status(events) {
            Some(_) => respond(request, 200, "text/plain", b"ok\n".to_vec()),
            None => respond(request, 503, "text/plain", b"the process does not answer\n".to_vec()),
        },
        "/readyz" => handle_ready(request, request_status(events).as_ref()),
        "/v1/status" => match request_status(events) {
            Some(status) => respond_json(request, 200, &status),
            None => respond_json(request, 503, &json!({"error": "busy; ask again in a second"})),
        },
        _ => respond_json(
            request,
            404,
            &json!({"error": "unknown path; use /v1/status, /metrics, /healthz or /readyz"}),
        ),
    }
}

fn handle_ready(request: Request, status: Option<&StatusReport>) -> io::Result<()> {
    let ready = status.is_some_and(|status| status.fresh && status.revision > 0);
    if ready {
        return respond(request, 200, "text/plain", b"ready\n".to_vec());
    }
    let text = b"not ready: the lists are not known yet; check the platform's store\n";
    respond(request, 503, "text/plain", text.to_vec())
}

fn request_status(events: &Channel<Event>) -> Option<StatusReport> {
    let (sender, receiver) = mpsc::channel();
    events.send(Event::Status(sender));
    receiver.recv_timeout(ACTOR_TIMEOUT).ok()
}
