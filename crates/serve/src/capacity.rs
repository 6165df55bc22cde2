//! Orders engines at the platform's API while this instance holds the duties.
//!
//! The numbers that were ordered are rows of the store, written before an order is sent, so that the
//! next holder continues from them.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::{
    CapacityOrder, CapacitySettings, DomainCapacity, EngineKind, KindCapacity, Moment,
    ServiceCapacity, Tenure, plan_capacity,
};
use agatestair_runtime::log_event;
use agatestair_schema::settings::DutyKind;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::configuration::Scaling;
use crate::duty::{DutyError, call, commit, has_duty, rows, tenure};
use crate::events::{DUTY_FAILED, ENGINES_ORDERED};
use crate::node::Engines;
use crate::proof::boot_now;
use crate::shared::Shared;
use crate::store::RowKey;

/// Prefix of the keys of what was ordered.
const KEY_PREFIX: &str = "scale/";

/// Time between two decisions.
const INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a new holder knows enough to order engines away.
const LEARNING_TIME: Duration = Duration::from_secs(5);

/// Share of the instances whose loads must be known to order engines away.
const MIN_KNOWN: f64 = 0.5;

/// What was ordered of a service in a failure domain, as stored in its row.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct StoredOrder {
    #[serde(default)]
    standing: Option<u32>,
    #[serde(default)]
    reclaimable: Option<u32>,
}

impl StoredOrder {
    fn of(self, kind: EngineKind) -> Option<u32> {
        match kind {
            EngineKind::Standing => self.standing,
            EngineKind::Reclaimable => self.reclaimable,
        }
    }

    fn set(&mut self, kind: EngineKind, engines: u32) {
        match kind {
            EngineKind::Standing => self.standing = Some(engines),
            EngineKind::Reclaimable => self.reclaimable = Some(engines),
        }
    }
}

/// The fleet that operators provided, as stored in the row of a service.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct StoredBase {
    engines: u32,
}

/// A service in a failure domain.
type Place = (Arc<str>, Arc<str>);

/// An order that was sent.
#[derive(Clone, Copy, Debug)]
struct Sent {
    at: Moment,
    refused: bool,
    unanswered: bool,
}

/// What the holder knows of its orders.
struct Orders {
    tenure: Tenure,
    since: Moment,
    stored: HashMap<Place, StoredOrder>,
    bases: HashMap<Arc<str>, u32>,
    sent: HashMap<(Place, EngineKind), Sent>,
    lowered: HashMap<Arc<str>, Moment>,
    peaks: HashMap<Arc<str>, VecDeque<(Moment, f64)>>,
}

/// Orders engines as long as this instance holds the duties.
pub async fn keep_capacity(shared: Rc<Shared>) {
    let mut orders: Option<Orders> = None;
    loop {
        sleep(INTERVAL).await;
        if !has_duty(&shared, DutyKind::Autoscaler) {
            continue;
        }
        let Some(tenure) = tenure(&shared) else {
            orders = None;
            continue;
        };
        let current = match orders.take().filter(|known| known.tenure == tenure) {
            Some(current) => Ok(current),
            None => load(&shared, tenure).await,
        };
        let outcome = match current {
            Ok(current) => step(&shared, current).await,
            Err(error) => Err(error),
        };
        match outcome {
            Ok(next) => orders = Some(next),
            Err(error) => log_event!(shared.log, DUTY_FAILED, "duty" => "autoscaler",
                "error" => error.to_string()),
        }
    }
}

/// Reads what former holders have ordered.
async fn load(shared: &Shared, tenure: Tenure) -> Result<Orders, DutyError> {
    let now = boot_now();
    let mut orders = Orders {
        tenure,
        since: now,
        stored: HashMap::new(),
        bases: HashMap::new(),
        sent: HashMap::new(),
        lowered: HashMap::new(),
        peaks: HashMap::new(),
    };
    for row in rows(shared).await? {
        let (Some(name), Some(value)) = (row.key.strip_prefix(KEY_PREFIX), row.value) else {
            continue;
        };
        // A row that cannot be read counts as missing; the order is then given anew.
        if let Some((service, domain)) = name.split_once('/') {
            let place: Place = (service.into(), domain.into());
            if let Ok(stored) = serde_json::from_slice(&value) {
                for kind in [EngineKind::Standing, EngineKind::Reclaimable] {
                    orders.sent.insert(
                        (place.clone(), kind),
                        Sent { at: now, refused: false, unanswered: false },
                    );
                }
                orders.stored.insert(place, stored);
            }
        } else if let Ok(StoredBase { engines }) = serde_json::from_slice(&value) {
            orders.bases.insert(name.into(), engines);
        }
    }
    Ok(orders)
}

async fn step(shared: &Shared, mut orders: Orders) -> Result<Orders, DutyError> {
    let services = shared.hub.ask(|node, now| {
        let known = node.endpoint_list.known && !node.endpoint_list.is_store_down();
        let enough = known && node.members.alive_share(now) >= MIN_KNOWN;
        let services = node.scaled_services();
        let views = services.into_iter().map(|(name, scaling)| {
            let engines = node.engines_by_domain(&name, &scaling);
            let busy = node.board.busy(&name, now);
            (name, scaling, engines, busy)
        });
        known.then(|| (enough, views.collect::<Vec<_>>()))
    });
    let Some((enough, services)) = services else { return Ok(orders) };
    for (name, scaling, engines, busy) in services {
        let view = orders.view(&name, &scaling, &engines, busy, enough);
        for order in plan_capacity(&CapacitySettings::default(), &view) {
            send(shared, &mut orders, &name, &view, order).await?;
        }
    }
    Ok(orders)
}

impl Orders {
    /// What the decision needs to know of a service.
    fn view(
        &mut self,
        name: &Arc<str>,
        scaling: &Scaling,
        engines: &Engines,
        busy: f64,
        enough: bool,
    ) -> ServiceCapacity {
        let now = boot_now();
        let peak_time = CapacitySettings::default().peak_time;
        let peaks = self.peaks.entry(name.clone()).or_default();
        peaks.push_back((now, busy));
        while peaks.front().is_some_and(|(at, _)| now.since(*at) > peak_time) {
            peaks.pop_front();
        }
        let peak = peaks.iter().map(|(_, busy)| *busy).fold(0.0, f64::max);
        // Engines that operators provide register one after the other at the start of a fleet.
        let standing = engines.values().map(|counts| counts[0]).sum();
        let is_provided = !self.has_standing_orders(name);
        let known = self.bases.entry(name.clone()).or_insert(standing);
        if is_provided {
            *known = (*known).max(standing);
        }
        let base = *known;
        let domains = engines.iter().map(|(domain, counts)| DomainCapacity {
            domain: domain.clone(),
            standing: self.kind(name, domain, EngineKind::Standing, counts[0], now),
            reclaimable: self.kind(name, domain, EngineKind::Reclaimable, counts[1], now),
        });
        ServiceCapacity {
            least: scaling.least,
            most: scaling.most,
            boot: scaling.boot,
            base,
            peak,
            busy,
            may_lower: enough && now.since(self.since) >= LEARNING_TIME,
            lowered: self.lowered.get(name).map(|at| now.since(*at)),
            domains: domains.collect(),
        }
    }

    /// Whether standing engines of a service were ordered before, or ordered away.
    fn has_standing_orders(&self, service: &Arc<str>) -> bool {
        let mut places = self.stored.iter().filter(|((known, _), _)| known == service);
        places.any(|(_, stored)| stored.standing.is_some())
    }

    fn kind(
        &self,
        service: &Arc<str>,
        domain: &Arc<str>,
        kind: EngineKind,
        serving: u32,
        now: Moment,
    ) -> KindCapacity {
        let place = (service.clone(), domain.clone());
        let ordered = self.stored.get(&place).and_then(|stored| stored.of(kind));
        let sent = self.sent.get(&(place, kind));
        KindCapacity {
            serving,
            ordered,
            age: sent.map_or(Duration::MAX, |sent| now.since(sent.at)),
            refused: sent.is_some_and(|sent| sent.refused),
            unanswered: sent.is_some_and(|sent| sent.unanswered),
        }
    }
}

/// Records an order and sends it.
async fn send(
    shared: &Shared,
    orders: &mut Orders,
    service: &Arc<str>,
    view: &ServiceCapacity,
    order: CapacityOrder,
) -> Result<(), DutyError> {
    let CapacityOrder { domain, kind, engines, cause } = order;
    let place: Place = (service.clone(), domain.clone());
    let known = view.domains.iter().find(|known| known.domain == domain);
    let serving = known.map_or(0, |known| match kind {
        EngineKind::Standing => known.standing.serving,
        EngineKind::Reclaimable => known.reclaimable.serving,
    });
    let mut stored = orders.stored.get(&place).copied().unwrap_or_default();
    let former = stored.of(kind);
    stored.set(kind, engines);
    let mut writes = Vec::new();
    if former != Some(engines) {
        let key: RowKey = format!("{KEY_PREFIX}{service}/{domain}").into();
        writes.push((key, serde_json::to_vec(&stored).expect("numbers serialize to JSON")));
        let key: RowKey = format!("{KEY_PREFIX}{service}").into();
        let base = StoredBase { engines: view.base };
        writes.push((key, serde_json::to_vec(&base).expect("numbers serialize to JSON")));
    }
    let confirmed = commit(shared, orders.tenure, Vec::new(), writes, Vec::new()).await?;
    orders.stored.insert(place.clone(), stored);
    if kind == EngineKind::Standing && engines < serving {
        orders.lowered.insert(service.clone(), boot_now());
    }
    let request = (shared.wire.order_engines)(service, &domain, kind, engines);
    let status = call(shared, &confirmed, DutyKind::Autoscaler, request).await;
    // 409 says that there are none. Other failures say nothing about that.
    let refused = status == Ok(StatusCode::CONFLICT);
    let unanswered = !refused && !status.as_ref().is_ok_and(StatusCode::is_success);
    orders.sent.insert((place, kind), Sent { at: boot_now(), refused, unanswered });
    let label = match kind {
        EngineKind::Standing => "standing",
        EngineKind::Reclaimable => "reclaimable",
    };
    metrics::counter!("agatestair_serve_orders_total", "kind" => label,
    "outcome" => match (refused, unanswered) {
        (true, _) => "refused",
        (false, true) => "unanswered",
        (false, false) => "accepted",
    })
    .increment(1);
    log_event!(shared.log, ENGINES_ORDERED, "service" => &**service, "domain" => &*domain,
        "kind" => label, "engines" => engines, "former" => former, "serving" => serving,
        "busy" => view.busy, "peak" => view.peak, "cause" => cause,
        "status" => status.ok().map(|status| status.as_u16()));
    Ok(())
}
