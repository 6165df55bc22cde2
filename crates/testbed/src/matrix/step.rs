//! Steps at which faults are injected, with how each is reached and held.

use std::thread;
use std::time::{Duration, Instant};

use agatestair_schema::lists::{EndpointWish, WishState};
use agatestair_schema::platform::{PlatformFaults, Transaction, Write};
use agatestair_schema::standins::{EndpointFaults, HoldPage};

use crate::caller::now_ms;
use crate::deployment::Testbed;
use crate::error::TestbedError;

use super::traffic::OUTPUT_TOKENS;

/// Time limit for a step to be reached.
const REACH_TIMEOUT: Duration = Duration::from_secs(8);
/// Time that streams are held after shutdown was requested; longer than the lifetime of
/// `GET /v1/entries` responses that name the entry.
const SHUTDOWN_HOLD_TIME: Duration = Duration::from_millis(1800);
/// Polling interval of the list of holds.
const REACH_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Index of the instance that a step restarts or shuts down; faults affect another instance.
pub const STEP_INSTANCE: usize = 1;

/// A point in the processing of a request, an order or a change of the deployment.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Step {
    /// Requests are being admitted.
    Admit,
    /// An idempotency key is about to be claimed.
    Claim,
    /// An idempotency key was claimed; the response of the store has not arrived yet.
    Claimed,
    /// A request has reached an endpoint but has not taken effect yet.
    Dispatch,
    /// The first piece of a stream was sent.
    FirstPiece,
    /// Half of the pieces of a stream were sent.
    MidStream,
    /// All pieces of a stream except the last were sent.
    LastPiece,
    /// A write has taken effect; its response has not been sent.
    Effect,
    /// The response for an idempotency key is about to be recorded.
    RecordAnswer,
    /// A lease is about to be taken over after its holder was killed.
    LeaseTake,
    /// A lease was renewed; the response of the store has not arrived yet.
    LeaseRenew,
    /// An order is about to be recorded.
    OrderIntent,
    /// An order has reached an engine but has not taken effect yet.
    OrderSent,
    /// An order has taken effect; its completion is about to be recorded.
    OrderDone,
    /// An endpoint is being drained while it streams.
    Drain,
    /// New lists were committed; the response of the store has not arrived yet.
    ConfigCommit,
    /// New lists are being distributed to the instances.
    ConfigSpread,
    /// An instance is starting.
    StartUp,
    /// An entry is shutting down while it streams.
    Shutdown,
}

impl Step {
    /// All steps.
    pub const ALL: [Self; 19] = [
        Self::Admit,
        Self::Claim,
        Self::Claimed,
        Self::Dispatch,
        Self::FirstPiece,
        Self::MidStream,
        Self::LastPiece,
        Self::Effect,
        Self::RecordAnswer,
        Self::LeaseTake,
        Self::LeaseRenew,
        Self::OrderIntent,
        Self::OrderSent,
        Self::OrderDone,
        Self::Drain,
        Self::ConfigCommit,
        Self::ConfigSpread,
        Self::StartUp,
        Self::Shutdown,
    ];

    /// Name in reports and in the `--only` filter.
    pub fn name(self) -> &'static str {
        match self {
            Self::Admit => "admit",
            Self::Claim => "claim",
            Self::Claimed => "claimed",
            Self::Dispatch => "dispatch",
            Self::FirstPiece => "first-piece",
            Self::MidStream => "mid-stream",
            Self::LastPiece => "last-piece",
            Self::Effect => "effect",
            Self::RecordAnswer => "record-answer",
            Self::LeaseTake => "lease-take",
            Self::LeaseRenew => "lease-renew",
            Self::OrderIntent => "order-intent",
            Self::OrderSent => "order-sent",
            Self::OrderDone => "order-done",
            Self::Drain => "drain",
            Self::ConfigCommit => "config-commit",
            Self::ConfigSpread => "config-spread",
            Self::StartUp => "start-up",
            Self::Shutdown => "shutdown",
        }
    }

    /// Whether the step changes the lists.
    pub fn changes_lists(self) -> bool {
        matches!(self, Self::ConfigCommit | Self::ConfigSpread)
    }

    /// Configures the stand-ins to hold the operations of the step, before any traffic is sent.
    pub fn set_holds(self, testbed: &Testbed) -> Result<(), TestbedError> {
        let with_prefix =
            |prefix: &str| PlatformFaults { prefix: prefix.to_owned(), ..<_>::default() };
        match self {
            Self::Claim => testbed
                .set_platform_faults(&PlatformFaults { hold_before: 1, ..with_prefix("claim/") }),
            Self::Claimed => testbed
                .set_platform_faults(&PlatformFaults { hold_after: 1, ..with_prefix("claim/") }),
            Self::Dispatch => {
                set_all_faults(testbed, &EndpointFaults { hold_before: 1, ..<_>::default() })
            }
            Self::FirstPiece => hold_streams(testbed, 1),
            Self::MidStream | Self::Drain | Self::Shutdown => {
                hold_streams(testbed, OUTPUT_TOKENS / 2)
            }
            Self::LastPiece => hold_streams(testbed, OUTPUT_TOKENS - 1),
            Self::Effect | Self::RecordAnswer => {
                set_plain_faults(testbed, &EndpointFaults { hold_after: 1, ..<_>::default() })
            }
            Self::LeaseTake => testbed
                .set_platform_faults(&PlatformFaults { hold_before: 1, ..with_prefix("lease/") }),
            Self::LeaseRenew => testbed
                .set_platform_faults(&PlatformFaults { hold_after: 1, ..with_prefix("lease/") }),
            Self::OrderIntent => testbed
                .set_platform_faults(&PlatformFaults { hold_before: 1, ..with_prefix("order/") }),
            Self::OrderSent => {
                set_engine_faults(testbed, &EndpointFaults { hold_orders: 1, ..<_>::default() })
            }
            Self::OrderDone => testbed.set_platform_faults(&PlatformFaults {
                hold_before: 1,
                hold_count: 1,
                ..with_prefix("order/")
            }),
            Self::ConfigCommit => testbed
                .set_platform_faults(&PlatformFaults { hold_after: 1, ..with_prefix("lists") }),
            Self::Admit | Self::ConfigSpread | Self::StartUp => Ok(()),
        }
    }

    /// Triggers the step where traffic alone does not, and waits until it is reached.
    ///
    /// Returns whether it was reached in time.
    pub fn reach(self, testbed: &mut Testbed) -> Result<bool, TestbedError> {
        match self {
            Self::Admit => Ok(true),
            Self::LeaseTake => {
                testbed.instances[STEP_INSTANCE].control.kill();
                Ok(wait_held(testbed, 1))
            }
            Self::OrderIntent | Self::OrderSent | Self::OrderDone => {
                write_wish(testbed, WishState::Drain)?;
                Ok(wait_held(testbed, 1))
            }
            Self::Drain => {
                let held = wait_held(testbed, 1);
                write_wish(testbed, WishState::Drain)?;
                Ok(held)
            }
            Self::ConfigCommit => {
                spawn_change_lists(testbed);
                Ok(wait_held(testbed, 1))
            }
            Self::ConfigSpread => {
                change_lists(testbed)?;
                Ok(true)
            }
            Self::RecordAnswer => {
                let effect = wait_held(testbed, 1);
                testbed.set_platform_faults(&PlatformFaults {
                    prefix: "claim/".to_owned(),
                    hold_before: 1,
                    ..<_>::default()
                })?;
                set_all_faults(testbed, &EndpointFaults::default())?;
                testbed.release_holds()?;
                Ok(effect && wait_held(testbed, 2))
            }
            Self::StartUp => {
                testbed.instances[STEP_INSTANCE].entry.kill();
                testbed.instances[STEP_INSTANCE].control.kill();
                testbed.spawn_control(STEP_INSTANCE)?;
                testbed.spawn_entry(STEP_INSTANCE)?;
                Ok(true)
            }
            Self::Shutdown => {
                let held = wait_held(testbed, 1);
                testbed.instances[STEP_INSTANCE].entry.terminate();
                thread::sleep(SHUTDOWN_HOLD_TIME);
                Ok(held)
            }
            _ => Ok(wait_held(testbed, 1)),
        }
    }

    /// Releases all operations held at the step.
    pub fn release_holds(self, testbed: &Testbed) -> Result<(), TestbedError> {
        testbed.release_holds()
    }

    /// Reverts what the step itself changed: stopped processes and drained engines.
    pub fn restore(self, testbed: &mut Testbed) -> Result<(), TestbedError> {
        match self {
            Self::LeaseTake => testbed.restart_control(STEP_INSTANCE),
            Self::Shutdown => testbed.restart_entry(STEP_INSTANCE),
            Self::OrderIntent | Self::OrderSent | Self::OrderDone | Self::Drain => {
                write_wish(testbed, WishState::Serve)
            }
            _ => Ok(()),
        }
    }
}

/// Replaces the faults of all endpoints.
pub fn set_all_faults(testbed: &Testbed, faults: &EndpointFaults) -> Result<(), TestbedError> {
    set_engine_faults(testbed, faults)?;
    set_plain_faults(testbed, faults)
}

/// Replaces the faults of all engines.
pub fn set_engine_faults(testbed: &Testbed, faults: &EndpointFaults) -> Result<(), TestbedError> {
    testbed.engine_names().iter().try_for_each(|name| testbed.set_endpoint_faults(name, faults))
}

/// Replaces the faults of all endpoints of the plain service.
pub fn set_plain_faults(testbed: &Testbed, faults: &EndpointFaults) -> Result<(), TestbedError> {
    testbed.plain_names().iter().try_for_each(|name| testbed.set_endpoint_faults(name, faults))
}

fn hold_streams(testbed: &Testbed, pieces: u32) -> Result<(), TestbedError> {
    set_engine_faults(testbed, &EndpointFaults { hold_stream: pieces, ..<_>::default() })
}

/// Waits until at least `count` operations were held; returns whether this happened in time.
fn wait_held(testbed: &Testbed, count: usize) -> bool {
    let deadline = Instant::now() + REACH_TIMEOUT;
    while Instant::now() < deadline {
        let page = testbed.client.get::<HoldPage>(&testbed.addresses.recorder, "/holds");
        if page.is_ok_and(|page| page.holds.len() >= count) {
            return true;
        }
        thread::sleep(REACH_POLL_INTERVAL);
    }
    false
}

/// Writes an operator's wish that the first engine drains or serves.
fn write_wish(testbed: &Testbed, state: WishState) -> Result<(), TestbedError> {
    let endpoint = testbed.engine_names().swap_remove(0);
    let wish = EndpointWish {
        endpoint: endpoint.clone(),
        state,
        operator: "testbed".to_owned(),
        asked_ms: now_ms(),
        successor: None,
    };
    let transaction = Transaction {
        attempt: format!("testbed-wish-{}", wish.asked_ms),
        checks: Vec::new(),
        writes: vec![Write {
            key: format!("wish/{endpoint}"),
            value: serde_json::to_string(&wish).ok(),
            ttl_ms: None,
        }],
    };
    testbed.client.post(&testbed.addresses.platform, "/table/transact", &transaction).map(drop)
}

/// Applies lists that remove the second model from the last plan.
fn change_lists(testbed: &Testbed) -> Result<(), TestbedError> {
    testbed.write_lists(testbed.options.layout.plans, &changed_allowances(testbed)).map(drop)
}

/// Applies the changed lists in a background thread, since the commit may be held.
fn spawn_change_lists(testbed: &Testbed) {
    let (client, platform) = (testbed.client.clone(), testbed.addresses.platform.clone());
    let (plans, allowances) = (testbed.options.layout.plans, changed_allowances(testbed));
    thread::spawn(move || {
        if let Ok((plans, allowances)) = crate::lists::parse_lists(plans, &allowances) {
            // The fault may lose the response; the records show whether the commit took effect.
            let _ = crate::lists::write_lists(&client, &platform, plans, allowances);
        }
    });
}

/// The allowances without the second model of the last plan, as JSON.
fn changed_allowances(testbed: &Testbed) -> String {
    let layout = &testbed.options.layout;
    let Ok((_, mut allowances)) = crate::lists::parse_lists(layout.plans, layout.allowances) else {
        return layout.allowances.to_owned();
    };
    if let Some(last) = allowances.allowances.last_mut() {
        last.models.retain(|model| model != layout.models[1]);
    }
    serde_json::to_string(&allowances).unwrap_or_default()
}
