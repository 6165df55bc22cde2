//! Tests of the fault proxy.

use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use agatestair_schema::settings::RouteSettings;
use agatestair_standins::start_routes;
use agatestair_testbed::PortBlock;

/// Timeout for an expected event; only a defect takes that long.
const TIMEOUT: Duration = Duration::from_secs(30);

#[test]
fn dropped_routes_close_their_ports() {
    let mut ports = PortBlock::reserve().expect("a block of ports is free");
    let target = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let target = target.local_addr().expect("a bound address").to_string();
    let routes = ["a", "b"].map(|name| RouteSettings {
        listen: ports.allocate_address().expect("the block has ports left"),
        name: name.to_owned(),
        target: target.clone(),
    });
    let proxy = start_routes(&routes).expect("the ports are reserved");
    let kept = proxy.clone();
    drop(proxy);
    for route in &routes {
        TcpStream::connect(&route.listen).expect("the proxy listens");
    }
    drop(kept);
    let begun = Instant::now();
    while routes.iter().any(|route| TcpListener::bind(&route.listen).is_err()) {
        assert!(begun.elapsed() < TIMEOUT, "the proxy still listens");
        thread::sleep(Duration::from_millis(5));
    }
}
