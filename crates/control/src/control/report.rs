//! Status report for operators.

use std::sync::Arc;
use std::time::Duration;

use agatestair_policy::Moment;
use agatestair_policy::assign::owner;
use agatestair_schema::link::Presence;
use agatestair_schema::lists::WishState;

use super::Control;
use crate::fleet::TrackedEndpoint;
use crate::lease::shard_of;
use crate::members::PeerState;
use crate::status::{EndpointStatus, InstanceStatus, LeaseStatus, StatusReport};

impl Control {
    /// State of the deployment as known to this instance.
    pub(super) fn status(&self, now: Moment) -> StatusReport {
        let live = self.members.live(now);
        let mut instances = vec![self.own_status()];
        instances.extend(self.members.peers().map(|(name, peer)| peer_status(now, name, peer)));
        StatusReport {
            boot: self.boot.to_string(),
            endpoints: self
                .fleet
                .iter()
                .map(|(name, tracked)| self.endpoint_status(now, name, tracked, &live))
                .collect(),
            entry: self.entry.link.is_some(),
            fresh: self.fresh,
            instance: self.own.to_string(),
            instances,
            leases: self.lease_statuses(now),
            lists_age: age_ms(now, self.lists.confirmed()),
            revision: self.lists.revision(),
            store_age: age_ms(now, self.platform_responded),
        }
    }

    fn lease_statuses(&self, now: Moment) -> Vec<LeaseStatus> {
        let age_ms = age_ms(now, self.leases_read);
        let rows =
            self.leases.shards().iter().filter_map(|shard| Some((shard, shard.row.as_ref()?)));
        rows.map(|(shard, row)| LeaseStatus {
            age_ms,
            epoch: row.epoch,
            fencing: row.fencing,
            former: u32::try_from(row.former.len()).unwrap_or(u32::MAX),
            holder: row.holder.clone(),
            own: shard.held.as_ref().is_some_and(|held| now < held.deadline),
            shard: row.shard,
        })
        .collect()
    }

    fn own_status(&self) -> InstanceStatus {
        InstanceStatus {
            address: self.settings.entry.clone(),
            admin: self.settings.admin.clone(),
            age_ms: 0,
            boot: self.boot.to_string(),
            domain: self.settings.instance.domain.clone(),
            listed: String::new(),
            name: self.own.to_string(),
            open: self.entry.open(),
            presence: presence_name(self.presence()).to_owned(),
            region: self.settings.instance.region.clone(),
            revision: self.lists.revision(),
        }
    }

    fn endpoint_status(
        &self,
        now: Moment,
        name: &str,
        tracked: &TrackedEndpoint,
        live: &[Arc<str>],
    ) -> EndpointStatus {
        let wish = tracked.wish.as_ref().map_or(WishState::Serve, |wish| wish.state);
        let collector = owner(name, live).map_or("", |index| &*live[index]);
        let view = self.fleet.view(now, tracked);
        let order = self.orders.active(name);
        EndpointStatus {
            active: view.active,
            address: view.address,
            age_ms: view.age_ms,
            changing: view.changing,
            collector: collector.to_owned(),
            domain: view.domain,
            kind: view.kind.to_string(),
            models: view.models,
            name: view.name,
            order: order.map(|active| active.row.kind.clone()).unwrap_or_default(),
            queued: view.queued,
            role: view.role.to_string(),
            service: view.service,
            shard: shard_of(&tracked.view.service, self.settings.shards),
            state: view.state.to_string(),
            wish: wish.to_string(),
        }
    }
}

fn peer_status(now: Moment, name: &str, peer: &PeerState) -> InstanceStatus {
    let heartbeat = peer.heartbeat.as_ref();
    let record = peer.record.as_ref();
    let presence = match heartbeat {
        Some(heartbeat) if peer.is_reachable(now) => presence_name(heartbeat.presence),
        Some(_) => "silent",
        None => "listed",
    };
    let text = |from_heartbeat: Option<&String>, from_record: Option<&String>| {
        from_heartbeat.or(from_record).cloned().unwrap_or_default()
    };
    InstanceStatus {
        address: text(heartbeat.map(|b| &b.address), record.map(|r| &r.address)),
        admin: String::new(),
        age_ms: age_ms(now, peer.heartbeat_at),
        boot: text(heartbeat.map(|b| &b.boot), record.map(|r| &r.boot)),
        domain: text(heartbeat.map(|b| &b.domain), record.map(|r| &r.domain)),
        listed: record.map(|r| r.state.to_string()).unwrap_or_default(),
        name: name.to_owned(),
        open: heartbeat.map_or(0, |b| b.open),
        presence: presence.to_owned(),
        region: text(heartbeat.map(|b| &b.region), record.map(|r| &r.region)),
        revision: heartbeat.map_or(0, |b| b.revision),
    }
}

fn presence_name(presence: Presence) -> &'static str {
    match presence {
        Presence::Live => "live",
        Presence::Leaving => "leaving",
    }
}

fn age_ms(now: Moment, at: Option<Moment>) -> u64 {
    let age = at.map_or(Duration::MAX, |at| now.since(at));
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}
