//! A minimal fake of an entry's control process.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};

use agatestair_link::{LinkEvent, LinkKey, LinkNode, NodeSettings, PeerRole};
use agatestair_schema::link::{
    Authority, Directory, EndpointKind, EndpointRole, EndpointState, EndpointView, EntryRecord,
    FleetView, Heartbeat, LinkMessage, ListsPush, PlanShare, ShareGrant,
};
use agatestair_schema::settings::LinkSettings;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use slog::{Discard, Logger, o};
use tokio_util::sync::CancellationToken;

use super::{API_KEY, LINK_KEY, MODEL, RigSettings, free_address};

/// State that the fake sends, and the last heartbeat that it received.
#[derive(Clone)]
struct State {
    lists: Value,
    fleet: FleetView,
    directory: Vec<EntryRecord>,
    fresh: bool,
    mute: bool,
    heartbeat: Option<Heartbeat>,
    link: Option<LinkKey>,
}

/// A minimal fake of the control process; stops when dropped.
pub struct FakeControl {
    /// Address that the entry dials.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    node: Arc<OnceLock<LinkNode>>,
    token: CancellationToken,
}

impl Drop for FakeControl {
    fn drop(&mut self) {
        self.token.cancel();
    }
}

impl FakeControl {
    /// Starts the fake with a fleet of these engines and plain services.
    pub fn start(settings: &RigSettings, engines: &[SocketAddr], services: &[SocketAddr]) -> Self {
        let engines = engines.iter().enumerate().map(|(index, address)| {
            view(&format!("engine{index}-1"), "models", EndpointKind::Engine, *address)
        });
        let services = services.iter().enumerate().map(|(index, address)| {
            view(&format!("ledger{index}-1"), "ledger", EndpointKind::Service, *address)
        });
        let fleet = FleetView { version: 1, endpoints: engines.chain(services).collect() };
        Self::start_with(State {
            lists: lists(1, settings),
            fleet,
            directory: Vec::new(),
            fresh: true,
            mute: false,
            heartbeat: None,
            link: None,
        })
    }

    /// Starts another fake that sends the same state.
    pub fn sibling(&self) -> Self {
        let mut state = self.state.lock().expect("not poisoned").clone();
        state.heartbeat = None;
        state.link = None;
        Self::start_with(state)
    }

    fn start_with(state: State) -> Self {
        let address = free_address();
        let state = Arc::new(Mutex::new(state));
        let node: Arc<OnceLock<LinkNode>> = Arc::default();
        let token = CancellationToken::new();
        let settings = NodeSettings {
            instance: "control".into(),
            domain: "a".into(),
            boot: "1".into(),
            role: PeerRole::Control,
            listen: Some(address),
            link: LinkSettings {
                key: LINK_KEY.to_owned(),
                previous_key: String::new(),
                ping_ms: 200,
                timeout_ms: 2000,
            },
            log: Logger::root(Discard, o!()),
        };
        let (shared, sender) = (state.clone(), node.clone());
        let sink = move |event| handle_event(event, &shared, &sender);
        let started = LinkNode::start(settings, token.clone(), sink).expect("node starts");
        node.set(started).ok().expect("set once");
        Self { address, state, node, token }
    }

    /// Last heartbeat of the entry.
    pub fn heartbeat(&self) -> Option<Heartbeat> {
        self.state.lock().expect("not poisoned").heartbeat.clone()
    }

    /// Reports the lists as current or stale.
    pub fn set_fresh(&self, fresh: bool) {
        self.change(|state| state.fresh = fresh);
    }

    /// Stops sending messages.
    pub fn mute(&self) {
        self.change(|state| state.mute = true);
    }

    /// Sends a directory of these entries.
    pub fn set_directory(&self, names: &[&str]) {
        let record = |name: &&str| EntryRecord {
            name: (*name).to_owned(),
            address: "127.0.0.1:9".to_owned(),
            domain: "b".to_owned(),
            region: "r".to_owned(),
        };
        let records = names.iter().map(record).collect();
        self.change(|state| state.directory = records);
    }

    /// Sends new lists with this revision.
    pub fn set_lists(&self, revision: u64, store_down: &'static str) {
        let settings = RigSettings { store_down, ..RigSettings::default() };
        self.change(|state| state.lists = lists(revision, &settings));
    }

    /// Changes the state of an endpoint.
    pub fn set_endpoint(&self, name: &str, endpoint: EndpointState) {
        self.change(|state| {
            for view in state.fleet.endpoints.iter_mut().filter(|view| view.name == name) {
                view.state = endpoint;
            }
            state.fleet.version += 1;
        });
    }

    /// Changes the address of endpoints whose names start with `prefix`.
    pub fn set_address(&self, prefix: &str, address: SocketAddr) {
        self.change(|state| {
            let views = state.fleet.endpoints.iter_mut();
            for view in views.filter(|view| view.name.starts_with(prefix)) {
                view.address = address.to_string();
            }
            state.fleet.version += 1;
        });
    }

    /// Changes the role of an engine.
    pub fn set_role(&self, name: &str, role: EndpointRole) {
        self.change(|state| {
            for view in state.fleet.endpoints.iter_mut().filter(|view| view.name == name) {
                view.role = role;
            }
            state.fleet.version += 1;
        });
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        let mut state = self.state.lock().expect("not poisoned");
        change(&mut state);
        if let (Some(link), Some(node)) = (state.link, self.node.get()) {
            push_state(&state, node, link);
        }
    }
}

fn handle_event(event: LinkEvent, state: &Mutex<State>, node: &OnceLock<LinkNode>) {
    let mut state = state.lock().expect("not poisoned");
    match event {
        LinkEvent::Up { link, .. } => state.link = Some(link),
        LinkEvent::Down { .. } => state.link = None,
        LinkEvent::Message { message, link, .. } => {
            state.link = Some(link);
            let LinkMessage::Heartbeat(heartbeat) = *message else { return };
            state.heartbeat = Some(heartbeat);
        }
    }
    if let (Some(link), Some(node)) = (state.link, node.get()) {
        push_state(&state, node, link);
    }
}

fn push_state(state: &State, node: &LinkNode, link: LinkKey) {
    if state.mute {
        return;
    }
    let revision = state.lists["revision"].as_u64().expect("lists have a revision");
    let document = state.lists.to_string();
    let shares = ["gold", "basic"]
        .iter()
        .map(|plan| PlanShare { plan: (*plan).to_owned(), share: 1.0, demand_total: 0.0 })
        .collect();
    node.send(link, LinkMessage::Lists(ListsPush { revision, document }));
    node.send(link, LinkMessage::Fleet(state.fleet.clone()));
    node.send(link, LinkMessage::Shares(ShareGrant { plans: shares, entries: 1, engines: 2 }));
    node.send(link, LinkMessage::Directory(Directory { entries: state.directory.clone() }));
    node.send(link, LinkMessage::Authority(Authority { fresh: state.fresh }));
}

fn view(name: &str, service: &str, kind: EndpointKind, address: SocketAddr) -> EndpointView {
    let models = match kind {
        EndpointKind::Engine => vec![MODEL.to_owned()],
        EndpointKind::Service => Vec::new(),
    };
    EndpointView {
        name: name.to_owned(),
        service: service.to_owned(),
        kind,
        address: address.to_string(),
        domain: "a".to_owned(),
        state: EndpointState::Serving,
        role: EndpointRole::Mixed,
        changing: false,
        report: 1,
        age_ms: 0,
        active: 0,
        queued: 0,
        prefill_backlog: 0,
        decode_backlog: 0,
        prefill_rate: 60_000.0,
        decode_rate: 2_000.0,
        kv_used: 0,
        kv_total: 400_000,
        models,
    }
}

fn lists(revision: u64, settings: &RigSettings) -> Value {
    let RigSettings { store_down, first_ms, deadline_ms, call_ms, .. } = settings;
    let hash: String = Sha256::digest(API_KEY).iter().map(|byte| format!("{byte:02x}")).collect();
    let other: String = Sha256::digest("other").iter().map(|byte| format!("{byte:02x}")).collect();
    let plan = |name: &str, priority: u32| {
        json!({
            "name": name, "priority": priority, "first_ms": first_ms, "token_ms": 500,
            "deadline_ms": deadline_ms,
        })
    };
    json!({
        "revision": revision, "operator": "test", "applied_ms": 1,
        "plans": {
            "plans": [plan("gold", 2), plan("basic", 1)],
            "customers": [
                {"name": "acme", "plan": "gold", "keys": [hash]},
                {"name": "other", "plan": "basic", "keys": [other]},
            ],
        },
        "allowances": {
            "allowances": [
                {"plan": "gold", "services": ["models", "ledger"], "models": [MODEL],
                    "fleet_share": 0.8},
                {"plan": "basic", "services": ["models"], "models": [], "fleet_share": 0.2},
            ],
            "services": [{"service": "ledger", "store_down": store_down, "deadline_ms": call_ms}],
        },
    })
}
