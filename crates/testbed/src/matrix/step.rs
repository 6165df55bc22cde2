//! Steps at which faults are injected, and how each is reached and held.

use std::thread;
use std::time::{Duration, Instant};

use agatestair_schema::lists::{EndpointWish, WishState};
use agatestair_schema::platform::{PlatformFaults, Transaction, Write};
use agatestair_schema::standins::{EndpointFaults, HoldPage};

use crate::caller::now_ms;
use crate::deployment::Testbed;
use crate::error::TestbedError;

use super::traffic::TOKENS;

/// Longest wait for a step to be reached.
const REACH_TIME: Duration = Duration::from_secs(8);
/// Time for which streams are held after a shutdown was asked for; longer than the lifetime of the
/// answers that name the entry.
const LEAVE_TIME: Duration = Duration::from_millis(1800);
/// Time between two looks at what is held.
const REACH_POLL: Duration = Duration::from_millis(10);
/// Instance that is restarted or shut down by a step; faults hit another.
pub const STEP_INSTANCE: usize = 1;

/// A step of a request, of an order, or of a change.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Step {
    /// Requests are being admitted.
    Admit,
    /// A key is about to be claimed.
    Claim,
    /// A key has been claimed; the reply has not come yet.
    Claimed,
    /// A request has reached an endpoint and has had no effect yet.
    Dispatch,
    /// The first piece was sent.
    FirstPiece,
    /// Half of the pieces were sent.
    MidStream,
    /// All pieces but one were sent.
    LastPiece,
    /// A write has taken effect; its answer has not been sent.
    Effect,
    /// The outcome of a key is about to be recorded.
    RecordAnswer,
    /// A lease is about to be taken after its holder has gone.
    LeaseTake,
    /// A lease was renewed; the reply has not come yet.
    LeaseRenew,
    /// An order is about to be recorded.
    OrderIntent,
    /// An order has reached an engine and has had no effect yet.
    OrderSent,
    /// An order has had its effect, which is about to be recorded.
    OrderDone,
    /// An endpoint is being drained while it streams.
    Drain,
    /// New lists were committed; the reply has not come yet.
    ConfigCommit,
    /// New lists are on their way to the instances.
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

    /// Name in reports and filters.
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

    /// Whether lists are changed in this step.
    pub fn changes_lists(self) -> bool {
        matches!(self, Self::ConfigCommit | Self::ConfigSpread)
    }

    /// Has the stand-ins hold what the step is about, before there is any traffic.
    pub fn arm(self, testbed: &Testbed) -> Result<(), TestbedError> {
        let hold = |prefix: &str| PlatformFaults { prefix: prefix.to_owned(), ..<_>::default() };
        match self {
            Self::Claim => {
                testbed.fault_platform(&PlatformFaults { hold_before: 1, ..hold("claim/") })
            }
            Self::Claimed => {
                testbed.fault_platform(&PlatformFaults { hold_after: 1, ..hold("claim/") })
            }
            Self::Dispatch => {
                fault_all(testbed, &EndpointFaults { hold_before: 1, ..<_>::default() })
            }
            Self::FirstPiece => hold_streams(testbed, 1),
            Self::MidStream | Self::Drain | Self::Shutdown => hold_streams(testbed, TOKENS / 2),
            Self::LastPiece => hold_streams(testbed, TOKENS - 1),
            Self::Effect | Self::RecordAnswer => {
                fault_plain(testbed, &EndpointFaults { hold_after: 1, ..<_>::default() })
            }
            Self::LeaseTake => {
                testbed.fault_platform(&PlatformFaults { hold_before: 1, ..hold("lease/") })
            }
            Self::LeaseRenew => {
                testbed.fault_platform(&PlatformFaults { hold_after: 1, ..hold("lease/") })
            }
            Self::OrderIntent => {
                testbed.fault_platform(&PlatformFaults { hold_before: 1, ..hold("order/") })
            }
            Self::OrderSent => {
                fault_engines(testbed, &EndpointFaults { hold_orders: 1, ..<_>::default() })
            }
            Self::OrderDone => testbed.fault_platform(&PlatformFaults {
                hold_before: 1,
                hold_count: 1,
                ..hold("order/")
            }),
            Self::ConfigCommit => {
                testbed.fault_platform(&PlatformFaults { hold_after: 1, ..hold("lists") })
            }
            Self::Admit | Self::ConfigSpread | Self::StartUp => Ok(()),
        }
    }

    /// Starts what the step is about, beside the traffic, and waits until it is reached.
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
                wish(testbed, WishState::Drain)?;
                Ok(wait_held(testbed, 1))
            }
            Self::Drain => {
                let held = wait_held(testbed, 1);
                wish(testbed, WishState::Drain)?;
                Ok(held)
            }
            Self::ConfigCommit => {
                change_lists_apart(testbed);
                Ok(wait_held(testbed, 1))
            }
            Self::ConfigSpread => {
                change_lists(testbed)?;
                Ok(true)
            }
            Self::RecordAnswer => {
                let effect = wait_held(testbed, 1);
                testbed.fault_platform(&PlatformFaults {
                    prefix: "claim/".to_owned(),
                    hold_before: 1,
                    ..<_>::default()
                })?;
                fault_all(testbed, &EndpointFaults::default())?;
                testbed.release()?;
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
                thread::sleep(LEAVE_TIME);
                Ok(held)
            }
            _ => Ok(wait_held(testbed, 1)),
        }
    }

    /// Ends all holds of the step.
    pub fn release(self, testbed: &Testbed) -> Result<(), TestbedError> {
        testbed.release()
    }

    /// Brings back what the step itself took away.
    pub fn undo(self, testbed: &mut Testbed) -> Result<(), TestbedError> {
        match self {
            Self::LeaseTake => testbed.restart_control(STEP_INSTANCE),
            Self::Shutdown => testbed.restart_entry(STEP_INSTANCE),
            Self::OrderIntent | Self::OrderSent | Self::OrderDone | Self::Drain => {
                wish(testbed, WishState::Serve)
            }
            _ => Ok(()),
        }
    }
}

/// Replaces the faults of all endpoints.
pub fn fault_all(testbed: &Testbed, faults: &EndpointFaults) -> Result<(), TestbedError> {
    fault_engines(testbed, faults)?;
    fault_plain(testbed, faults)
}

/// Replaces the faults of all engines.
pub fn fault_engines(testbed: &Testbed, faults: &EndpointFaults) -> Result<(), TestbedError> {
    testbed.engine_names().iter().try_for_each(|name| testbed.fault_endpoint(name, faults))
}

/// Replaces the faults of all endpoints of the plain service.
pub fn fault_plain(testbed: &Testbed, faults: &EndpointFaults) -> Result<(), TestbedError> {
    testbed.plain_names().iter().try_for_each(|name| testbed.fault_endpoint(name, faults))
}

fn hold_streams(testbed: &Testbed, pieces: u32) -> Result<(), TestbedError> {
    fault_engines(testbed, &EndpointFaults { hold_stream: pieces, ..<_>::default() })
}

/// Waits until as many holds were recorded.
fn wait_held(testbed: &Testbed, count: usize) -> bool {
    let deadline = Instant::now() + REACH_TIME;
    while Instant::now() < deadline {
        let page = testbed.client.get::<HoldPage>(&testbed.plan.recorder, "/holds");
        if page.is_ok_and(|page| page.holds.len() >= count) {
            return true;
        }
        thread::sleep(REACH_POLL);
    }
    false
}

/// Asks for the first engine to be drained or to serve.
fn wish(testbed: &Testbed, state: WishState) -> Result<(), TestbedError> {
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
    testbed.client.post(&testbed.plan.platform, "/table/transact", &transaction).map(drop)
}

/// Takes the second model away from the last plan.
fn change_lists(testbed: &Testbed) -> Result<(), TestbedError> {
    testbed.write_lists(testbed.options.layout.plans, &changed_allowances(testbed)).map(drop)
}

fn change_lists_apart(testbed: &Testbed) {
    let (client, platform) = (testbed.client.clone(), testbed.plan.platform.clone());
    let (plans, allowances) = (testbed.options.layout.plans, changed_allowances(testbed));
    thread::spawn(move || {
        if let Ok((plans, allowances)) = crate::lists::parse_lists(plans, &allowances) {
            // The reply may be lost by the fault; the commit shows in the records.
            let _ = crate::lists::write_lists(&client, &platform, plans, allowances);
        }
    });
}

/// The allowances without the second model in the last plan.
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
