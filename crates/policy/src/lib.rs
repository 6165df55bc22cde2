//! Deterministic decision logic for admission, queueing, shares, placement, hedging and roles.
//!
//! This crate does no I/O, reads no clock and uses no unseeded random generator. The entry process
//! passes requests, fleet views and progress to a [`Scheduler`], and carries out the [`Action`]s
//! that it returns. Instances without a queue place their attempts on a [`board::Board`].

mod action;
mod admission;
pub mod assign;
pub mod board;
mod budget;
mod cache_map;
mod capacity;
mod demand;
mod durations;
mod fleet;
mod freshness;
mod hedge;
mod keys;
mod mix;
mod moment;
mod plans;
mod pressure;
mod quarantine;
mod queue;
mod request;
mod retry;
mod roles;
mod scheduler;
mod settings;
mod shares;
mod size;
mod speed;
mod straggler;
mod tenure;
mod usage;

pub use action::{Action, AttemptEnd, Purpose, Refusal, RefusalCode};
pub use budget::Budget;
pub use capacity::{
    CapacityOrder, CapacitySettings, DomainCapacity, EngineKind, KindCapacity, ServiceCapacity,
    plan_capacity,
};
pub use durations::Durations;
pub use freshness::{Freshness, Proof, StoreClock};
pub use hedge::{HedgeCandidate, HedgeDenial, HedgeLimits, Hedges};
pub use keys::{AttemptKey, EndpointKey, RequestKey};
pub use moment::Moment;
pub use pressure::{Holding, PressureSettings, choose_drops};
pub use quarantine::{
    CrashReport, ProcessKey, Quarantine, QuarantineChange, QuarantineCheck, ServicePart, Survival,
    Verdict, fingerprint,
};
pub use request::{Call, Completion, RequestFacts, Work};
pub use retry::{RetryBudget, RetrySettings};
pub use roles::{RoleChange, RolePlanner, RoleSettings};
pub use scheduler::Scheduler;
pub use settings::{
    BudgetSettings, EjectSettings, EngineModel, HedgeRule, HedgeSettings, QueueSettings,
    SchedulerSettings,
};
pub use shares::{ShareAllocator, ShareSettings};
pub use tenure::{HolderRow, Tenure, TenureStep, Tenures};
pub use usage::{UsageCounts, UsageLedger, UsageMeter, UsageWindows, usage_total};
