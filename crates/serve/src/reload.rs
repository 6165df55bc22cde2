//! Reloads the settings while the instance runs.

use std::rc::Rc;
use std::time::Duration;

use agatestair_policy::{HedgeLimits, RetrySettings};
use agatestair_runtime::log_event;
use agatestair_schema::settings::ServeSettings;
use tokio::signal::unix::Signal;
use tokio::time::sleep;

use crate::events::{RELOAD_FAILED, RELOADED};
use crate::shared::Shared;

/// Reads and validates the settings file.
pub type Reload = Box<dyn Fn() -> Result<ServeSettings, String>>;

/// Time between two reads of the settings file, which may also change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Settings of the retry budget.
pub fn retry_settings(settings: &ServeSettings) -> RetrySettings {
    RetrySettings {
        ratio: settings.bounds.retry_ratio,
        slack: settings.bounds.retry_slack,
        window: Duration::from_secs_f64(settings.bounds.retry_window_s),
    }
}

/// Bounds on second attempts, if there may be any.
pub fn hedge_limits(settings: &ServeSettings) -> Option<HedgeLimits> {
    settings.hedge.as_ref().map(|hedge| HedgeLimits { share: hedge.share, room: hedge.room })
}

/// Bound on the use of withdrawn API keys.
pub fn revocation(settings: &ServeSettings) -> Option<Duration> {
    settings.bounds.revoke_ms.map(|ms| Duration::from_secs_f64(ms / 1000.0))
}

/// Reloads the settings at each `SIGHUP` and every [`POLL_INTERVAL`].
///
/// Bounds, limits and the store's address take effect at once. Identity and listen addresses keep
/// their values from the start.
pub async fn watch_settings(shared: Rc<Shared>, reload: Reload, mut hangup: Signal) {
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(POLL_INTERVAL) => false,
        };
        match reload() {
            Ok(settings) => apply_settings(&shared, settings, signalled),
            Err(error) => log_event!(shared.log, RELOAD_FAILED, "error" => error),
        }
    }
}

fn apply_settings(shared: &Shared, settings: ServeSettings, signalled: bool) {
    let previous = shared.settings();
    let changed = *previous != settings;
    if changed {
        let retry = retry_settings(&settings);
        let revoke = revocation(&settings);
        let hedge = hedge_limits(&settings);
        shared.hub.ask(move |node, _| {
            node.set_retry(retry);
            node.set_revoke(revoke);
            node.set_hedge(hedge);
        });
        shared.settings.replace(Rc::new(settings));
    }
    if changed || signalled {
        log_event!(shared.log, RELOADED, "changed" => changed, "signal" => signalled);
    }
}
