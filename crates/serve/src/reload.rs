//! Settings that change while the instance runs.

use std::rc::Rc;
use std::time::Duration;

use agatestair_policy::RetrySettings;
use agatestair_runtime::log_event;
use agatestair_schema::settings::ServeSettings;
use tokio::signal::unix::Signal;
use tokio::time::sleep;

use crate::events::{RELOAD_FAILED, RELOADED};
use crate::front::Front;

/// Reads and checks the settings file.
pub type Reload = Box<dyn Fn() -> Result<ServeSettings, String>>;

/// Time between two looks at the settings file, which may also change without a signal.
const LOOK: Duration = Duration::from_secs(5);

/// Bounds on repeated sends.
pub fn retry_settings(settings: &ServeSettings) -> RetrySettings {
    RetrySettings {
        ratio: settings.bounds.retry_ratio,
        slack: settings.bounds.retry_slack,
        window: Duration::from_secs_f64(settings.bounds.retry_window_s),
    }
}

/// Reads the settings again at each signal and now and then.
///
/// Bounds, limits and the store's address take effect at once. Identity and listening addresses
/// stay as they were at the start.
pub async fn watch_settings(front: Rc<Front>, reload: Reload, mut hangup: Signal) {
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(LOOK) => false,
        };
        match reload() {
            Ok(settings) => adopt(&front, settings, signalled),
            Err(error) => log_event!(front.log, RELOAD_FAILED, "error" => error),
        }
    }
}

fn adopt(front: &Front, settings: ServeSettings, signalled: bool) {
    let former = front.settings();
    let changed = *former != settings;
    if changed {
        let retry = retry_settings(&settings);
        front.hub.ask(move |node, _| node.set_retry(retry));
        front.settings.replace(Rc::new(settings));
    }
    if changed || signalled {
        log_event!(front.log, RELOADED, "changed" => changed, "signal" => signalled);
    }
}
