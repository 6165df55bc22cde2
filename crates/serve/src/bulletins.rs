//! Bulletins: datagrams in which watchers send the store's changes to all other instances.
//!
//! Changes are sent at once and again soon after, since datagrams may be lost. An instance that
//! misses a change detects it by the versions in later bulletins, and calls the store itself.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use agatestair_runtime::log_event;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout_at};

use crate::datagram::{Bulletin, BulletinTable, BulletinUpdate, Datagram, TableState};
use crate::events::{BULLETIN_WITHOUT_ROWS, WATCHING};
use crate::pulse::{encode, send_bytes};
use crate::shared::Shared;
use crate::store::Table;
use crate::timeline::TimelineNews;
use crate::watch::{Extent, apply, expire};
use crate::watchers::Rank;

/// Time between two bulletins without changes.
const INTERVAL: Duration = Duration::from_millis(250);

/// Time after which changes are sent a second time.
const REPEAT: Duration = Duration::from_millis(120);

/// Changes of a table, with the timeline of the store to which their versions belong.
#[derive(Clone, Debug)]
pub struct TimedUpdate {
    /// The timeline.
    pub timeline: Option<u64>,
    /// The changes.
    pub update: BulletinUpdate,
}

/// Sends bulletins while this instance is a watcher.
pub async fn send_bulletins(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let mut round = 0;
    let mut was_watching = false;
    loop {
        let (watching, age) = shared.hub.ask(|node, now| {
            let watching = node.members.is_large() && node.watchers.watching();
            (watching, node.watchers.response_age(now))
        });
        if watching != was_watching {
            log_event!(shared.log, WATCHING, "watching" => watching,
                "answer_age_ms" => age.as_millis() as u64);
            was_watching = watching;
        }
        send_bulletin(&shared, &socket, None, round).await;
        round += 1;
        let next = Instant::now() + INTERVAL;
        while Instant::now() < next {
            let Ok(news) = timeout_at(next, shared.table_updates.next()).await else { break };
            for news in news {
                send_bulletin(&shared, &socket, Some(news.clone()), round).await;
                let (shared, socket) = (shared.clone(), socket.clone());
                tokio::task::spawn_local(async move {
                    sleep(REPEAT).await;
                    send_bulletin(&shared, &socket, Some(news), round).await;
                });
            }
        }
    }
}

async fn send_bulletin(shared: &Shared, socket: &UdpSocket, news: Option<TimedUpdate>, round: u64) {
    let link = shared.settings().machine.link_mbps;
    let composed = shared.hub.ask(move |node, now| {
        let (answered, returned) = node.endpoint_list.contact(now)?;
        let watching = node.members.is_large() && node.watchers.watching();
        let own = node.own().0;
        let timeline = node.timeline.current();
        // Versions of changes that were queued before a restore mean nothing after it.
        let news = news.filter(|news| news.timeline == timeline).map(|news| news.update);
        let bulletin = Bulletin {
            sender: node.name_hash,
            weight: own.weight,
            answered_ms: millis(answered),
            returned_ms: returned.map(millis),
            timeline,
            tables: [BulletinTable::Configuration, BulletinTable::Endpoints]
                .map(|table| {
                    let cursor = node.cursor(table.into());
                    let (base, known) = cursor.span();
                    TableState { table, tip: cursor.tip, base, known }
                })
                .to_vec(),
            news,
        };
        if !watching {
            return None;
        }
        let audience = node.members.broadcast_audience(round, now);
        let bytes = bulletin.row_bytes() * audience.len();
        // Receivers detect missing rows by the versions, and read them from the store.
        let over_limit = bytes > 0 && !node.bulletin_bucket.take(bytes, link, now);
        let news = bulletin.news.filter(|_| !over_limit);
        Some((Bulletin { news, ..bulletin }, audience, over_limit))
    });
    if let Some((bulletin, audience, over_limit)) = composed {
        if over_limit {
            metrics::counter!("agatestair_serve_bulletins_bare_total").increment(1);
            log_event!(shared.log, BULLETIN_WITHOUT_ROWS, "audience" => audience.len(),
                "link_mbps" => link);
        }
        metrics::counter!("agatestair_serve_bulletins_total").increment(1);
        send_paced(shared, socket, &Datagram::Bulletin(bulletin), &audience).await;
    }
}

/// Sends a datagram to the given addresses, one after the other if all at once would exceed what
/// the link's queue holds.
async fn send_paced(
    shared: &Shared,
    socket: &UdpSocket,
    datagram: &Datagram,
    audience: &[SocketAddr],
) {
    let Some(bytes) = encode(shared, datagram) else { return };
    let link = shared.settings().machine.link_mbps;
    let size = bytes.len();
    for address in audience {
        let delay = shared.hub.ask(move |node, now| node.bulletin_pacer.delay(size, link, now));
        if !delay.is_zero() {
            sleep(delay).await;
        }
        send_bytes(shared, socket, &bytes, *address).await;
    }
}

/// Handles a received bulletin.
pub fn handle_bulletin(shared: &Shared, bulletin: Bulletin) {
    let Bulletin { sender, weight, answered_ms, returned_ms, timeline, tables, news } = bulletin;
    let age = Duration::from_millis(answered_ms.into());
    let name = shared.hub.ask(move |node, _| node.members.name(sender));
    if shared.note_peer_timeline(timeline, name.as_deref(), age) == TimelineNews::Former {
        // The sender has not learned of the restore yet.
        shared.hub.ask(move |node, now| node.watchers.note(Rank::new(weight, sender), age, now));
        metrics::counter!("agatestair_serve_former_answers_total", "source" => "bulletin")
            .increment(1);
        return;
    }
    let returned = returned_ms.map(|ms| Duration::from_millis(ms.into()));
    shared.hub.ask(move |node, now| {
        node.watchers.note(Rank::new(weight, sender), age, now);
        node.endpoint_list.note_peer_contact(now - age, returned.map(|returned| now - returned));
    });
    if let Some(news) = news {
        let table = Table::from(news.table);
        let rows =
            shared.hub.ask(move |node, now| node.cursor(table).note_update(news.into(), now));
        if !rows.is_empty() {
            apply(shared, table, rows, Extent::Changes, "bulletin");
        }
    }
    let behind = shared.hub.ask(move |node, now| {
        let behind = tables.into_iter().filter(|state| {
            let cursor = node.cursor(state.table.into());
            cursor.note_span(state.base, state.known);
            cursor.note_tip(state.tip, now);
            cursor.behind() == Some(now)
        });
        behind.map(|state| Table::from(state.table)).collect::<Vec<_>>()
    });
    behind.into_iter().for_each(|table| shared.wakeups.notify(table));
    expire(shared);
}

/// Whole milliseconds, saturating.
fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
