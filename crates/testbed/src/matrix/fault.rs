//! Faults of the matrix, with how each is injected and healed.

use std::thread;
use std::time::Duration;

use agatestair_schema::platform::{InstanceState, PlatformFaults};
use agatestair_schema::standins::{EndpointFaults, ProxyFaults};

use crate::deployment::Testbed;
use crate::error::TestbedError;

use super::step::{set_all_faults, set_engine_faults, set_plain_faults};

/// Index of the instance that faults of a single instance affect.
pub const FAULT_INSTANCE: usize = 0;
/// Duration of most faults.
const FAULT_DURATION: Duration = Duration::from_millis(1200);
/// Duration of pauses and partitions; longer than a lease, and than the time after which an entry
/// is stale.
const PAUSE_DURATION: Duration = Duration::from_millis(3500);

/// A fault that the matrix injects.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Fault {
    /// No fault; verifies that the step alone breaks no promise.
    None,
    /// The entry process is killed.
    EntryKilled,
    /// The control process is killed.
    ControlKilled,
    /// Both processes of an instance are killed.
    InstanceKilled,
    /// The entry process is paused for longer than the time after which it is stale.
    EntryPaused,
    /// The control process is paused until its leases have expired.
    ControlPaused,
    /// The instance is partitioned from the platform and the other instances in both directions.
    Partition,
    /// One-way partition: data sent to the platform, or received on links that other instances
    /// opened, is dropped.
    PartitionUp,
    /// One-way partition: data received from the platform, or sent on links that other instances
    /// opened, is dropped.
    PartitionDown,
    /// The engines keep sending an old load report.
    ReportsStale,
    /// An engine crashes and restarts.
    EngineCrash,
    /// All endpoints of one failure domain crash and restart.
    DomainCrash,
    /// The engines run eight times slower.
    EngineSlow,
    /// The store rejects every request.
    StoreDown,
    /// The store responds only shortly before its clients time out.
    StoreSlow,
    /// Responses of the store are lost after the write was committed.
    ReplyLost,
    /// Open connections of callers stop carrying data for good, without being closed.
    CallerSilent,
    /// Open connections of endpoints stop carrying data for good, without being closed.
    EndpointSilent,
    /// Two operators apply lists concurrently.
    OperatorsRace,
    /// The instance list lags by several seconds and shows a live instance as leaving.
    ListLags,
    /// Some stream pieces are delayed.
    PiecesLate,
    /// Some stream pieces also arrive on the streams of other requests.
    PiecesCrossed,
    /// Some stream pieces are duplicated.
    PiecesDoubled,
    /// Some stream pieces are missing.
    PiecesMissing,
    /// Some stream pieces arrive out of order.
    PiecesSwapped,
    /// The engines abort streams.
    StreamCut,
    /// Streams end normally before the response is complete.
    StreamEnds,
    /// Responses of the plain service are lost after the write took effect.
    AnswerLost,
    /// Endpoints accept requests and never respond.
    EndpointHangs,
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 29] = [
        Self::None,
        Self::EntryKilled,
        Self::ControlKilled,
        Self::InstanceKilled,
        Self::EntryPaused,
        Self::ControlPaused,
        Self::Partition,
        Self::PartitionUp,
        Self::PartitionDown,
        Self::ReportsStale,
        Self::EngineCrash,
        Self::DomainCrash,
        Self::EngineSlow,
        Self::StoreDown,
        Self::StoreSlow,
        Self::ReplyLost,
        Self::CallerSilent,
        Self::EndpointSilent,
        Self::OperatorsRace,
        Self::ListLags,
        Self::PiecesLate,
        Self::PiecesCrossed,
        Self::PiecesDoubled,
        Self::PiecesMissing,
        Self::PiecesSwapped,
        Self::StreamCut,
        Self::StreamEnds,
        Self::AnswerLost,
        Self::EndpointHangs,
    ];

    /// Name in reports and in the `--only` filter.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::EntryKilled => "entry-killed",
            Self::ControlKilled => "control-killed",
            Self::InstanceKilled => "instance-killed",
            Self::EntryPaused => "entry-paused",
            Self::ControlPaused => "control-paused",
            Self::Partition => "partition",
            Self::PartitionUp => "partition-up",
            Self::PartitionDown => "partition-down",
            Self::ReportsStale => "reports-stale",
            Self::EngineCrash => "engine-crash",
            Self::DomainCrash => "domain-crash",
            Self::EngineSlow => "engine-slow",
            Self::StoreDown => "store-down",
            Self::StoreSlow => "store-slow",
            Self::ReplyLost => "reply-lost",
            Self::CallerSilent => "caller-silent",
            Self::EndpointSilent => "endpoint-silent",
            Self::OperatorsRace => "operators-race",
            Self::ListLags => "list-lags",
            Self::PiecesLate => "pieces-late",
            Self::PiecesCrossed => "pieces-crossed",
            Self::PiecesDoubled => "pieces-doubled",
            Self::PiecesMissing => "pieces-missing",
            Self::PiecesSwapped => "pieces-swapped",
            Self::StreamCut => "stream-cut",
            Self::StreamEnds => "stream-ends",
            Self::AnswerLost => "answer-lost",
            Self::EndpointHangs => "endpoint-hangs",
        }
    }

    /// Whether the fault may break open streams of the affected instance.
    pub fn breaks_streams(self) -> bool {
        matches!(
            self,
            Self::EntryKilled | Self::InstanceKilled | Self::EntryPaused | Self::CallerSilent
        )
    }

    /// Injects the fault. No other fault of the same kind may be active in the stand-ins, since it
    /// would be replaced.
    pub fn inject(self, testbed: &mut Testbed) -> Result<(), TestbedError> {
        self.inject_processes(testbed)?;
        let platform = self.platform_faults();
        if platform != PlatformFaults::default() {
            testbed.set_platform_faults(&platform)?;
        }
        self.inject_endpoints(testbed)?;
        for route in self.routes(testbed) {
            testbed.set_route_faults(&route, &self.route_faults())?;
        }
        match self {
            Self::OperatorsRace => apply_lists_concurrently(testbed),
            Self::ListLags => testbed.set_instance_state(FAULT_INSTANCE, InstanceState::Leaving),
            _ => Ok(()),
        }
    }

    fn inject_processes(self, testbed: &mut Testbed) -> Result<(), TestbedError> {
        let instance = &mut testbed.instances[FAULT_INSTANCE];
        match self {
            Self::EntryKilled => instance.entry.kill(),
            Self::ControlKilled => instance.control.kill(),
            Self::InstanceKilled => {
                instance.entry.kill();
                instance.control.kill();
                testbed.set_instance_state(FAULT_INSTANCE, InstanceState::Gone)?;
            }
            Self::EntryPaused => instance.entry.pause(),
            Self::ControlPaused => instance.control.pause(),
            _ => {}
        }
        Ok(())
    }

    fn platform_faults(self) -> PlatformFaults {
        match self {
            Self::StoreDown => PlatformFaults { outage: true, ..<_>::default() },
            Self::StoreSlow => PlatformFaults { delay_ms: 800, ..<_>::default() },
            Self::ReplyLost => PlatformFaults { lose_replies: 6, ..<_>::default() },
            Self::ListLags => PlatformFaults { list_lag_ms: 8000, ..<_>::default() },
            _ => PlatformFaults::default(),
        }
    }

    fn inject_endpoints(self, testbed: &Testbed) -> Result<(), TestbedError> {
        let no_faults = EndpointFaults::default;
        let some_pieces = || EndpointFaults { share: 0.3, ..no_faults() };
        match self {
            Self::ReportsStale => {
                set_all_faults(testbed, &EndpointFaults { stale_reports: true, ..no_faults() })
            }
            Self::EngineCrash => {
                let engine = testbed.engine_names().swap_remove(0);
                testbed
                    .set_endpoint_faults(&engine, &EndpointFaults { crash_ms: 300, ..no_faults() })
            }
            Self::DomainCrash => crash_domain(testbed),
            Self::EngineSlow => {
                set_engine_faults(testbed, &EndpointFaults { slow_factor: 8.0, ..no_faults() })
            }
            Self::EndpointSilent => {
                set_all_faults(testbed, &EndpointFaults { silence: true, ..no_faults() })
            }
            Self::PiecesLate => {
                set_engine_faults(testbed, &EndpointFaults { late_ms: 40, ..some_pieces() })
            }
            Self::PiecesCrossed => {
                set_engine_faults(testbed, &EndpointFaults { cross: true, ..some_pieces() })
            }
            Self::PiecesDoubled => {
                set_engine_faults(testbed, &EndpointFaults { double: true, ..some_pieces() })
            }
            Self::PiecesMissing => set_engine_faults(
                testbed,
                &EndpointFaults { omit: true, share: 0.05, ..no_faults() },
            ),
            Self::PiecesSwapped => {
                set_engine_faults(testbed, &EndpointFaults { swap: true, ..some_pieces() })
            }
            Self::StreamCut => set_engine_faults(
                testbed,
                &EndpointFaults { cut_after: 5, cut_count: 1, ..no_faults() },
            ),
            Self::StreamEnds => set_engine_faults(
                testbed,
                &EndpointFaults { cut_after: 5, cut_count: 1, cut_in_order: true, ..no_faults() },
            ),
            Self::AnswerLost => {
                set_plain_faults(testbed, &EndpointFaults { lose_answers: 1, ..no_faults() })
            }
            Self::EndpointHangs => {
                set_all_faults(testbed, &EndpointFaults { hang: 1, ..no_faults() })
            }
            _ => Ok(()),
        }
    }

    /// Routes of the fault proxy that the fault affects.
    fn routes(self, testbed: &Testbed) -> Vec<String> {
        let name = &testbed.addresses.instances[FAULT_INSTANCE].name;
        match self {
            Self::Partition | Self::PartitionUp | Self::PartitionDown => {
                vec![format!("link/{name}"), format!("platform/{name}")]
            }
            Self::CallerSilent => vec![format!("caller/{name}")],
            _ => Vec::new(),
        }
    }

    fn route_faults(self) -> ProxyFaults {
        ProxyFaults {
            silence_up: !matches!(self, Self::PartitionDown),
            silence_down: !matches!(self, Self::PartitionUp),
            existing_only: self == Self::CallerSilent,
            ..<_>::default()
        }
    }

    /// Sleeps for the duration of the fault.
    pub fn wait(self) {
        match self {
            Self::None => {}
            Self::EntryPaused
            | Self::ControlPaused
            | Self::Partition
            | Self::PartitionUp
            | Self::PartitionDown => thread::sleep(PAUSE_DURATION),
            _ => thread::sleep(FAULT_DURATION),
        }
    }

    /// Ends the fault and restarts the processes that it killed.
    pub fn heal(self, testbed: &mut Testbed) -> Result<(), TestbedError> {
        testbed.set_platform_faults(&PlatformFaults::default())?;
        set_all_faults(testbed, &EndpointFaults::default())?;
        if self != Self::CallerSilent {
            for route in self.routes(testbed) {
                testbed.set_route_faults(&route, &ProxyFaults::default())?;
            }
        }
        self.heal_processes(testbed)
    }

    fn heal_processes(self, testbed: &mut Testbed) -> Result<(), TestbedError> {
        match self {
            Self::EntryKilled => testbed.restart_entry(FAULT_INSTANCE),
            Self::ControlKilled => testbed.restart_control(FAULT_INSTANCE),
            Self::InstanceKilled => {
                testbed.set_instance_state(FAULT_INSTANCE, InstanceState::Live)?;
                testbed.spawn_control(FAULT_INSTANCE)?;
                testbed.restart_entry(FAULT_INSTANCE)
            }
            Self::EntryPaused => {
                testbed.instances[FAULT_INSTANCE].entry.resume();
                Ok(())
            }
            Self::ControlPaused => {
                testbed.instances[FAULT_INSTANCE].control.resume();
                Ok(())
            }
            Self::ListLags => testbed.set_instance_state(FAULT_INSTANCE, InstanceState::Live),
            _ => Ok(()),
        }
    }
}

/// Crashes every endpoint of the first failure domain.
fn crash_domain(testbed: &Testbed) -> Result<(), TestbedError> {
    let faults = EndpointFaults { crash_ms: 600, ..<_>::default() };
    let domain = testbed.options.layout.domains[0];
    let endpoints = testbed.describe_endpoints();
    let affected = endpoints.iter().filter(|endpoint| endpoint.domain == domain);
    affected
        .map(|endpoint| &endpoint.name)
        .try_for_each(|name| testbed.set_endpoint_faults(name, &faults))
}

/// Applies the same lists from two operators concurrently; at most one may commit a revision.
fn apply_lists_concurrently(testbed: &Testbed) -> Result<(), TestbedError> {
    let layout = &testbed.options.layout;
    let apply = || testbed.write_lists(layout.plans, layout.allowances);
    thread::scope(|scope| {
        let first = scope.spawn(apply);
        let second = scope.spawn(apply);
        // The operator that loses the race gets an error, as expected.
        let _ = (first.join(), second.join());
    });
    Ok(())
}
