//! Lists the entries that callers may use.

use std::sync::Arc;

use agatestair_schema::caller::{EntryAddress, EntryAnswer};
use rand::seq::SliceRandom;

use crate::http::response::{HttpResponse, respond_json};
use crate::http::state::ServerState;
use crate::refusal::{RefusalKind, Refused};

/// Responds with the available entries: those of the caller's region and domain first, otherwise in
/// random order to spread the load.
///
/// # Errors
///
/// A refusal if no entry is available.
pub fn respond_entries(server: &Arc<ServerState>, query: &str) -> Result<HttpResponse, Refused> {
    let view = server.view();
    let own = &server.settings.instance;
    let mut entries: Vec<EntryAddress> = view
        .directory
        .iter()
        .filter(|record| record.name != own.name)
        .map(|record| EntryAddress {
            name: record.name.clone(),
            address: record.address.clone(),
            domain: record.domain.clone(),
            region: record.region.clone(),
        })
        .collect();
    if view.ready() {
        entries.push(EntryAddress {
            name: own.name.clone(),
            address: server.settings.listen.clone(),
            domain: own.domain.clone(),
            region: own.region.clone(),
        });
    }
    if entries.is_empty() {
        let kind = if view.leaving { RefusalKind::Leaving } else { RefusalKind::NotReady };
        return Err(Refused::not_run(kind));
    }
    entries.shuffle(&mut rand::rng());
    let domain = parameter(query, "domain");
    let region = parameter(query, "region");
    entries.sort_by_key(|entry| {
        let other_domain = domain.is_some_and(|domain| domain != entry.domain);
        let other_region = region.is_some_and(|region| region != entry.region);
        (other_region, other_domain)
    });
    let lifetime_ms = server.settings.answer_ms;
    Ok(respond_json(200, &EntryAnswer { entries, lifetime_ms }))
}

/// Value of a query parameter.
fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}
