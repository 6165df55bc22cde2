//! HTTP control API of the fault proxy.

use std::sync::Arc;

use agatestair_schema::standins::{ProxyFaults, RouteStates};

use super::route::ProxyRoutes;
use crate::http::{Connection, Handler, HttpRequest, keep_alive};

/// Returns the handler of the proxy's control API.
pub fn proxy_handler(routes: ProxyRoutes) -> Handler {
    Arc::new(move |request, connection| {
        handle(&routes, &request, &connection).then_some(connection)
    })
}

fn handle(routes: &ProxyRoutes, request: &HttpRequest, connection: &Connection) -> bool {
    match (request.method.as_str(), request.path()) {
        ("GET", "/routes") => {
            let states = routes.values().map(|route| route.state()).collect();
            keep_alive(connection, |c| c.respond_json(200, &RouteStates { routes: states }))
        }
        ("GET", "/healthz") => keep_alive(connection, |c| c.respond(200, "", b"ok\n")),
        ("POST", path) => set_faults(routes, path, &request.body, connection),
        _ => keep_alive(connection, |c| c.refuse(404, "no_such_path", "see docs/STANDINS.md", "")),
    }
}

fn set_faults(routes: &ProxyRoutes, path: &str, body: &[u8], connection: &Connection) -> bool {
    let name = path.strip_prefix("/routes/").unwrap_or_default();
    let Some(route) = routes.get(name) else {
        let message = "no such route; `GET /routes` names them";
        return keep_alive(connection, |c| c.refuse(404, "no_such_route", message, ""));
    };
    match serde_json::from_slice::<ProxyFaults>(body) {
        Ok(faults) => {
            route.set_faults(&faults);
            keep_alive(connection, |c| c.respond(200, "", b"{}"))
        }
        Err(error) => {
            let message = format!("the body is not valid: {error}; see the standins schema");
            keep_alive(connection, |c| c.refuse(400, "invalid_body", &message, ""))
        }
    }
}
