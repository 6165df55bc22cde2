//! Faults of the matrix: how each is injected and healed.

use std::thread;
use std::time::Duration;

use agatestair_schema::platform::{InstanceState, PlatformFaults};
use agatestair_schema::standins::{EndpointFaults, ProxyFaults};

use crate::deployment::Testbed;
use crate::error::TestbedError;

use super::step::{fault_all, fault_engines, fault_plain};

/// Instance that faults hit.
pub const FAULT_INSTANCE: usize = 0;
/// Duration of faults that last.
const FAULT_TIME: Duration = Duration::from_millis(1200);
/// Duration of pauses and partitions; longer than a lease and than the time after which an entry is stale.
const PAUSE_TIME: Duration = Duration::from_millis(3500);

/// A fault.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Fault {
    /// No fault; shows that the step alone breaks nothing.
    None,
    /// The entry process is killed.
    EntryKilled,
    /// The control process is killed.
    ControlKilled,
    /// Both processes of an instance are killed.
    InstanceKilled,
    /// The entry process is paused past the time after which it is stale.
    EntryPaused,
    /// The control process is paused past its leases.
    ControlPaused,
    /// The instance is cut off from the platform and the other instances.
    Partition,
    /// What the instance sends to the platform and gets from others is lost, not the reverse.
    PartitionUp,
    /// What the instance gets from the platform and answers to others is lost, not the reverse.
    PartitionDown,
    /// The engines repeat an old load report.
    ReportsStale,
    /// An engine crashes and starts anew.
    EngineCrash,
    /// All engines and services of one failure domain crash.
    DomainCrash,
    /// The engines run eight times slower.
    EngineSlow,
    /// The store refuses everything.
    StoreDown,
    /// The store answers after most of the time that its clients wait.
    StoreSlow,
    /// Replies of the store are lost after the write.
    ReplyLost,
    /// The callers' open connections go silent for good.
    CallerSilent,
    /// The endpoints' open connections go silent for good.
    EndpointSilent,
    /// Two operators apply lists at once.
    OperatorsRace,
    /// The instance list lags by many seconds and shows a live instance as leaving.
    ListLags,
    /// Pieces come late.
    PiecesLate,
    /// Pieces come on other requests' streams too.
    PiecesCrossed,
    /// Pieces come twice.
    PiecesDoubled,
    /// Pieces are missing.
    PiecesMissing,
    /// Pieces come out of order.
    PiecesSwapped,
    /// Streams are cut by the engines.
    StreamCut,
    /// Streams end in order before the answer is whole.
    StreamEnds,
    /// Answers of the plain service are lost after their effect.
    AnswerLost,
    /// Endpoints take requests and never answer.
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

    /// Name in reports and filters.
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

    /// Whether open streams of the instance that is hit may break.
    pub fn breaks_streams(self) -> bool {
        matches!(
            self,
            Self::EntryKilled | Self::InstanceKilled | Self::EntryPaused | Self::CallerSilent
        )
    }

    /// Injects the fault. The stand-ins must have no other faults of the same kind in force.
    pub fn inject(self, testbed: &mut Testbed) -> Result<(), TestbedError> {
        self.inject_processes(testbed)?;
        let platform = self.platform_faults();
        if platform != PlatformFaults::default() {
            testbed.fault_platform(&platform)?;
        }
        self.inject_endpoints(testbed)?;
        for route in self.routes(testbed) {
            testbed.fault_route(&route, &self.route_faults())?;
        }
        match self {
            Self::OperatorsRace => race(testbed),
            Self::ListLags => testbed.list_instance(FAULT_INSTANCE, InstanceState::Leaving),
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
                testbed.list_instance(FAULT_INSTANCE, InstanceState::Gone)?;
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
        let none = EndpointFaults::default;
        let pieces = || EndpointFaults { share: 0.3, ..none() };
        match self {
            Self::ReportsStale => {
                fault_all(testbed, &EndpointFaults { stale_reports: true, ..none() })
            }
            Self::EngineCrash => {
                let engine = testbed.engine_names().swap_remove(0);
                testbed.fault_endpoint(&engine, &EndpointFaults { crash_ms: 300, ..none() })
            }
            Self::DomainCrash => crash_domain(testbed),
            Self::EngineSlow => {
                fault_engines(testbed, &EndpointFaults { slow_factor: 8.0, ..none() })
            }
            Self::EndpointSilent => fault_all(testbed, &EndpointFaults { silence: true, ..none() }),
            Self::PiecesLate => fault_engines(testbed, &EndpointFaults { late_ms: 40, ..pieces() }),
            Self::PiecesCrossed => {
                fault_engines(testbed, &EndpointFaults { cross: true, ..pieces() })
            }
            Self::PiecesDoubled => {
                fault_engines(testbed, &EndpointFaults { double: true, ..pieces() })
            }
            Self::PiecesMissing => {
                fault_engines(testbed, &EndpointFaults { omit: true, share: 0.05, ..none() })
            }
            Self::PiecesSwapped => {
                fault_engines(testbed, &EndpointFaults { swap: true, ..pieces() })
            }
            Self::StreamCut => {
                fault_engines(testbed, &EndpointFaults { cut_after: 5, cut_count: 1, ..none() })
            }
            Self::StreamEnds => fault_engines(
                testbed,
                &EndpointFaults { cut_after: 5, cut_count: 1, cut_in_order: true, ..none() },
            ),
            Self::AnswerLost => fault_plain(testbed, &EndpointFaults { lose_answers: 1, ..none() }),
            Self::EndpointHangs => fault_all(testbed, &EndpointFaults { hang: 1, ..none() }),
            _ => Ok(()),
        }
    }

    /// Routes of the proxy that the fault concerns.
    fn routes(self, testbed: &Testbed) -> Vec<String> {
        let name = &testbed.plan.instances[FAULT_INSTANCE].name;
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

    /// Waits as long as the fault lasts.
    pub fn wait(self) {
        match self {
            Self::None => {}
            Self::EntryPaused
            | Self::ControlPaused
            | Self::Partition
            | Self::PartitionUp
            | Self::PartitionDown => thread::sleep(PAUSE_TIME),
            _ => thread::sleep(FAULT_TIME),
        }
    }

    /// Ends the fault.
    pub fn heal(self, testbed: &mut Testbed) -> Result<(), TestbedError> {
        testbed.fault_platform(&PlatformFaults::default())?;
        fault_all(testbed, &EndpointFaults::default())?;
        if self != Self::CallerSilent {
            for route in self.routes(testbed) {
                testbed.fault_route(&route, &ProxyFaults::default())?;
            }
        }
        self.heal_processes(testbed)
    }

    fn heal_processes(self, testbed: &mut Testbed) -> Result<(), TestbedError> {
        match self {
            Self::EntryKilled => testbed.restart_entry(FAULT_INSTANCE),
            Self::ControlKilled => testbed.restart_control(FAULT_INSTANCE),
            Self::InstanceKilled => {
                testbed.list_instance(FAULT_INSTANCE, InstanceState::Live)?;
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
            Self::ListLags => testbed.list_instance(FAULT_INSTANCE, InstanceState::Live),
            _ => Ok(()),
        }
    }
}

/// Crashes every endpoint of the first failure domain.
fn crash_domain(testbed: &Testbed) -> Result<(), TestbedError> {
    let faults = EndpointFaults { crash_ms: 600, ..<_>::default() };
    let domain = testbed.options.layout.domains[0];
    let endpoints = testbed.describe_endpoints();
    let hit = endpoints.iter().filter(|endpoint| endpoint.domain == domain);
    hit.map(|endpoint| &endpoint.name).try_for_each(|name| testbed.fault_endpoint(name, &faults))
}

/// Two operators apply the same lists at once; at most one of them may win a revision.
fn race(testbed: &Testbed) -> Result<(), TestbedError> {
    let layout = &testbed.options.layout;
    let apply = || testbed.write_lists(layout.plans, layout.allowances);
    thread::scope(|scope| {
        let first = scope.spawn(apply);
        let second = scope.spawn(apply);
        // Losing the race is an error of that operator only.
        let _ = (first.join(), second.join());
    });
    Ok(())
}
