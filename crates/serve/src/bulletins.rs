//! Bulletins: datagrams in which watchers send the store's changes to all other instances.
//!
//! Changes are sent at once and again soon after, since datagrams may be lost. An instance that
//! misses a change detects it by the versions in later bulletins, and calls the store itself.

use std::rc::Rc;
use std::time::Duration;

use agatestair_runtime::log_event;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout_at};

use crate::datagram::{Bulletin, BulletinNews, BulletinTable, Datagram, TableState};
use crate::events::{BULLETIN_BARE, WATCHING};
use crate::front::Front;
use crate::pulse::send_all;
use crate::store::Table;
use crate::watch::{apply, expire};
use crate::watchers::Rank;

/// Time between two bulletins without changes.
const INTERVAL: Duration = Duration::from_millis(250);

/// Time after which changes are sent a second time.
const REPEAT: Duration = Duration::from_millis(120);

/// Sends bulletins while this instance is a watcher.
pub async fn send_bulletins(front: Rc<Front>, socket: Rc<UdpSocket>) {
    let mut round = 0;
    let mut was_watching = false;
    loop {
        let (watching, age) = front.hub.ask(|node, now| {
            let watching = node.members.is_large() && node.watchers.watching();
            (watching, node.watchers.answer_age(now))
        });
        if watching != was_watching {
            log_event!(front.log, WATCHING, "watching" => watching,
                "answer_age_ms" => age.as_millis() as u64);
            was_watching = watching;
        }
        send_bulletin(&front, &socket, None, round).await;
        round += 1;
        let next = Instant::now() + INTERVAL;
        while Instant::now() < next {
            let Ok(news) = timeout_at(next, front.changes.next()).await else { break };
            for news in news {
                send_bulletin(&front, &socket, Some(news.clone()), round).await;
                let (front, socket) = (front.clone(), socket.clone());
                tokio::task::spawn_local(async move {
                    sleep(REPEAT).await;
                    send_bulletin(&front, &socket, Some(news), round).await;
                });
            }
        }
    }
}

async fn send_bulletin(front: &Front, socket: &UdpSocket, news: Option<BulletinNews>, round: u64) {
    let link = front.settings().machine.link_mbps;
    let composed = front.hub.ask(move |node, now| {
        let (answered, returned) = node.fleet.contact(now)?;
        let watching = node.members.is_large() && node.watchers.watching();
        let own = node.own().0;
        let bulletin = Bulletin {
            sender: node.digest,
            weight: own.weight,
            answered_ms: millis(answered),
            returned_ms: returned.map(millis),
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
        let over_limit = bytes > 0 && !node.allowance.take(bytes, link, now);
        let news = bulletin.news.filter(|_| !over_limit);
        Some((Bulletin { news, ..bulletin }, audience, over_limit))
    });
    if let Some((bulletin, audience, over_limit)) = composed {
        if over_limit {
            metrics::counter!("agatestair_serve_bulletins_bare_total").increment(1);
            log_event!(front.log, BULLETIN_BARE, "audience" => audience.len(), "link_mbps" => link);
        }
        metrics::counter!("agatestair_serve_bulletins_total").increment(1);
        send_all(front, socket, &Datagram::Bulletin(bulletin), &audience).await;
    }
}

/// Handles a received bulletin.
pub fn handle_bulletin(front: &Front, bulletin: Bulletin) {
    let Bulletin { sender, weight, answered_ms, returned_ms, tables, news } = bulletin;
    let age = Duration::from_millis(answered_ms.into());
    let returned = returned_ms.map(|ms| Duration::from_millis(ms.into()));
    front.hub.ask(move |node, now| {
        node.watchers.note(Rank::new(weight, sender), age, now);
        node.fleet.hear_contact(now - age, returned.map(|returned| now - returned));
    });
    if let Some(news) = news {
        let table = Table::from(news.table);
        let rows = front.hub.ask(move |node, now| node.cursor(table).note_news(news.into(), now));
        if !rows.is_empty() {
            apply(front, table, rows, false, "bulletin");
        }
    }
    let behind = front.hub.ask(move |node, now| {
        let behind = tables.into_iter().filter(|state| {
            let cursor = node.cursor(state.table.into());
            cursor.note_span(state.base, state.known);
            cursor.note_tip(state.tip, now);
            cursor.behind() == Some(now)
        });
        behind.map(|state| Table::from(state.table)).collect::<Vec<_>>()
    });
    behind.into_iter().for_each(|table| front.behind.notify(table));
    expire(front);
}

/// Whole milliseconds, saturating.
fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
