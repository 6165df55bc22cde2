//! How many engines of a service are ordered in each failure domain.
//!
//! Answers two loads: bursts, for which there is room before they come since a new engine takes
//! seconds to start, and the loss of all reclaimable engines of a failure domain at once, after which
//! the others still carry the load. An engine is given up only once others serve in its place.

use std::sync::Arc;
use std::time::Duration;

/// Constants of the decision.
#[derive(Clone, Copy, Debug)]
pub struct CapacitySettings {
    /// Share of the engines that may be busy at a peak.
    pub utilization: f64,
    /// Smallest room after the loss of a domain, relative to the fleet that operators provided.
    pub base_share: f64,
    /// Share of the room that is standing, so that it is never reclaimed.
    pub reserve: f64,
    /// Shortest time between two orders for one kind of engine in a domain.
    pub pause: Duration,
    /// Time for which the room must have been too large before it is made smaller.
    pub patience: Duration,
    /// Time for which a peak of the load counts. With 20 s, a load that rises and falls within a
    /// minute had engines ordered away and back in each period.
    pub peak_time: Duration,
    /// Change of an order below which it is left as it is, relative to the order.
    pub dead_band: f64,
}

impl Default for CapacitySettings {
    fn default() -> Self {
        Self {
            utilization: 0.5,
            base_share: 0.75,
            reserve: 0.05,
            pause: Duration::from_secs(3),
            patience: Duration::from_secs(20),
            peak_time: Duration::from_secs(60),
            dead_band: 0.2,
        }
    }
}

/// Whether the platform may take an engine away.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum EngineKind {
    /// It stays until it is ordered away.
    Standing,
    /// It is cheaper, and may be taken away at short notice.
    Reclaimable,
}

/// Engines of one kind in one failure domain.
#[derive(Clone, Copy, Debug, Default)]
pub struct KindCapacity {
    /// Engines that serve and are not leaving.
    pub serving: u32,
    /// Number of the last order, if there was one.
    pub ordered: Option<u32>,
    /// Time since the last order was sent, accepted or not.
    pub age: Duration,
    /// Whether the platform had none the last time.
    pub refused: bool,
    /// Whether it is not known that the platform received the last order.
    pub unanswered: bool,
}

impl KindCapacity {
    /// Engines that are expected to serve soon.
    fn expected(&self) -> u32 {
        let ordered = self.ordered.filter(|_| !self.refused).unwrap_or(self.serving);
        ordered.max(self.serving)
    }

    /// Engines that serve and were not ordered away.
    fn kept(&self) -> u32 {
        self.ordered.map_or(self.serving, |ordered| ordered.min(self.serving))
    }
}

/// Engines in one failure domain.
#[derive(Clone, Debug, Default)]
pub struct DomainCapacity {
    /// Name of the domain.
    pub domain: Arc<str>,
    /// Standing engines.
    pub standing: KindCapacity,
    /// Reclaimable engines.
    pub reclaimable: KindCapacity,
}

impl DomainCapacity {
    fn kept(&self) -> u32 {
        self.standing.kept() + self.reclaimable.kept()
    }

    fn kind(&self, kind: EngineKind) -> &KindCapacity {
        match kind {
            EngineKind::Standing => &self.standing,
            EngineKind::Reclaimable => &self.reclaimable,
        }
    }
}

/// What is known of a service.
#[derive(Clone, Debug, Default)]
pub struct ServiceCapacity {
    /// Smallest number of engines in a domain, of both kinds together.
    pub least: u32,
    /// Largest number of engines in a domain, of both kinds together.
    pub most: u32,
    /// Time until a new engine serves.
    pub boot: Duration,
    /// Engines that operators provided at first.
    pub base: u32,
    /// Number of engines that were busy at the latest peak.
    pub peak: f64,
    /// Number of engines that are busy now.
    pub busy: f64,
    /// Whether enough is known to order engines away.
    pub may_lower: bool,
    /// Time since standing engines of a domain were last ordered away.
    pub lowered: Option<Duration>,
    /// Failure domains in which the service runs.
    pub domains: Vec<DomainCapacity>,
}

/// An order for a number of engines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CapacityOrder {
    /// Failure domain.
    pub domain: Arc<str>,
    /// Kind of the engines.
    pub kind: EngineKind,
    /// Number of engines that there are to be.
    pub engines: u32,
    /// Why it is ordered, for the log.
    pub cause: &'static str,
}

/// Numbers of engines that a domain is to have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Target {
    standing: u32,
    reclaimable: u32,
}

/// The orders that are due for a service.
pub fn plan_capacity(settings: &CapacitySettings, service: &ServiceCapacity) -> Vec<CapacityOrder> {
    let target = target(settings, service);
    let mut orders = Vec::new();
    let mut spare = spare(settings, service);
    let mut lowers = false;
    for domain in &service.domains {
        if let Some(order) = reclaimable_order(settings, service, domain, target, spare) {
            spare = spare.saturating_sub(domain.reclaimable.kept().saturating_sub(order.engines));
            orders.push(order);
        }
        if let Some(order) = standing_order(settings, service, domain, target, spare, lowers) {
            let fewer = domain.standing.kept().saturating_sub(order.engines);
            spare = spare.saturating_sub(fewer);
            lowers |= fewer > 0;
            orders.push(order);
        }
    }
    orders
}

/// Number of each kind in every domain, so that the rest is enough after the loss of one domain's
/// reclaimable engines.
fn target(settings: &CapacitySettings, service: &ServiceCapacity) -> Target {
    let domains = service.domains.len().max(1) as f64;
    let need = room(settings, service);
    let standing = (need * settings.reserve / domains).floor().max(1.0);
    let rest = (need - standing * domains).max(0.0);
    let others = if domains > 1.0 { domains - 1.0 } else { 1.0 };
    let reclaimable = (rest / others).ceil();
    let standing = (standing as u32).min(service.most);
    let reclaimable = (reclaimable as u32).min(service.most - standing);
    Target { standing, reclaimable: reclaimable.max(service.least.saturating_sub(standing)) }
}

/// Number of engines that must remain after the loss of a domain.
fn room(settings: &CapacitySettings, service: &ServiceCapacity) -> f64 {
    (service.peak / settings.utilization).max(f64::from(service.base) * settings.base_share)
}

/// Number of engines that serve beyond those that must remain.
fn spare(settings: &CapacitySettings, service: &ServiceCapacity) -> u32 {
    let kept: u32 = service.domains.iter().map(DomainCapacity::kept).sum();
    kept.saturating_sub(room(settings, service).ceil() as u32)
}

/// Number of engines by which the present load exceeds those that serve or will soon.
fn shortfall(settings: &CapacitySettings, service: &ServiceCapacity) -> u32 {
    let expected = service.domains.iter();
    let expected = expected.map(|known| known.standing.expected() + known.reclaimable.expected());
    let need = (service.busy / settings.utilization).ceil() as u32;
    need.saturating_sub(expected.sum::<u32>())
}

fn reclaimable_order(
    settings: &CapacitySettings,
    service: &ServiceCapacity,
    domain: &DomainCapacity,
    target: Target,
    spare: u32,
) -> Option<CapacityOrder> {
    let known = &domain.reclaimable;
    let occupied = domain.standing.serving.max(domain.standing.ordered.unwrap_or(0));
    let room = service.most.saturating_sub(occupied);
    let open = service.domains.iter().filter(|other| !other.reclaimable.refused).count().max(1);
    let extra = shortfall(settings, service).div_ceil(u32::try_from(open).unwrap_or(u32::MAX));
    let extra = if known.refused { 0 } else { extra };
    // What is short comes on top of what is expected, which may exceed the target already.
    let raised = if extra > 0 { known.expected() + extra } else { 0 };
    let wanted = target.reclaimable.max(raised).min(room);
    let (engines, cause) = match known.ordered {
        // The first order takes no engine away: its row may have been lost.
        None => (wanted.max(known.serving), "not ordered yet"),
        Some(ordered) if wanted > ordered => {
            (wanted, if extra > 0 { "short of engines" } else { "more room is needed" })
        }
        Some(ordered) if is_too_large(settings, service, known, ordered, wanted, spare) => {
            (wanted, "less room is needed")
        }
        Some(ordered) => (ordered, resend_cause(service, known, ordered)?),
    };
    if engines == 0 && known.serving == 0 {
        return None;
    }
    order(settings, domain, EngineKind::Reclaimable, engines, cause)
}

fn standing_order(
    settings: &CapacitySettings,
    service: &ServiceCapacity,
    domain: &DomainCapacity,
    target: Target,
    spare: u32,
    lowers: bool,
) -> Option<CapacityOrder> {
    let known = &domain.standing;
    let stranded = service.domains.iter().all(|other| other.reclaimable.refused);
    let domains = u32::try_from(service.domains.len().max(1)).unwrap_or(u32::MAX);
    let extra = if stranded { shortfall(settings, service).div_ceil(domains) } else { 0 };
    let raised = if extra > 0 { known.expected() + extra } else { 0 };
    let wanted = target.standing.max(raised).min(service.most);
    let has = known.ordered.unwrap_or(known.serving);
    let (engines, cause) = if wanted > has {
        (wanted, if extra > 0 { "short of engines" } else { "the reserve is too small" })
    } else if wanted < has {
        let fewer = known.kept().saturating_sub(wanted);
        let waits = lowers && !is_idle(service);
        if waits || fewer > spare || !is_replaced(settings, service, domain, target, fewer) {
            return None;
        }
        (wanted, "others serve in their place")
    } else {
        (has, resend_cause(service, known, has)?)
    };
    order(settings, domain, EngineKind::Standing, engines, cause)
}

/// Whether standing engines can be given up: as many reclaimable ones of their domain serve, as far as
/// there is room for them, and no domain has just given up others under load.
fn is_replaced(
    settings: &CapacitySettings,
    service: &ServiceCapacity,
    domain: &DomainCapacity,
    target: Target,
    fewer: u32,
) -> bool {
    let lowered_lately = service.lowered.is_some_and(|age| age < settings.pause);
    let free = service.most.saturating_sub(domain.standing.serving);
    // The target rises with the load, which must not keep the engines that are to be replaced.
    let goal = target.reclaimable.min(free).min(fewer);
    let is_replaced = domain.reclaimable.serving >= goal;
    service.may_lower && is_replaced && (is_idle(service) || !lowered_lately)
}

/// Whether nobody notices that engines leave.
fn is_idle(service: &ServiceCapacity) -> bool {
    service.busy < 1.0
}

/// Whether an order can be made smaller: for long enough it was more than the load needs.
fn is_too_large(
    settings: &CapacitySettings,
    service: &ServiceCapacity,
    known: &KindCapacity,
    ordered: u32,
    wanted: u32,
    spare: u32,
) -> bool {
    service.may_lower
        && wanted < ordered
        && known.kept().saturating_sub(wanted) <= spare
        && beyond_band(settings, ordered, wanted)
        && known.age >= settings.patience
}

fn beyond_band(settings: &CapacitySettings, ordered: u32, wanted: u32) -> bool {
    f64::from(ordered.abs_diff(wanted)) > f64::from(ordered) * settings.dead_band
}

/// Why an order is sent again: engines are missing although they had time to start, or are still
/// there.
fn resend_cause(
    service: &ServiceCapacity,
    known: &KindCapacity,
    ordered: u32,
) -> Option<&'static str> {
    if known.refused {
        return Some("refused before");
    }
    if known.unanswered {
        return Some("no answer before");
    }
    // Twice the time to start: orders may be carried out late.
    let had_time = known.age >= service.boot * 2;
    (known.serving != ordered && had_time).then_some("not carried out")
}

fn order(
    settings: &CapacitySettings,
    domain: &DomainCapacity,
    kind: EngineKind,
    engines: u32,
    cause: &'static str,
) -> Option<CapacityOrder> {
    let known = domain.kind(kind);
    if known.ordered.is_some() && known.age < settings.pause {
        return None;
    }
    Some(CapacityOrder { domain: domain.domain.clone(), kind, engines, cause })
}
