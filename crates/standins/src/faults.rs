//! Fault injection at one endpoint.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use agatestair_schema::standins::EndpointFaults;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Faults applied to one piece of a stream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PieceFault {
    /// Delay before it is sent.
    pub late: Duration,
    /// Sent after the following piece.
    pub swap: bool,
    /// Sent twice.
    pub double: bool,
    /// Not sent.
    pub omit: bool,
    /// Also sent on the stream of another request.
    pub cross: bool,
}

struct FaultState {
    faults: EndpointFaults,
    slow_until: Option<Instant>,
    random: ChaCha8Rng,
}

/// Active faults of one endpoint, with a seeded random generator.
pub struct FaultInjector {
    state: Mutex<FaultState>,
}

impl FaultInjector {
    /// Creates an injector without active faults.
    pub fn new(seed: u64) -> Self {
        let state = FaultState {
            faults: EndpointFaults::default(),
            slow_until: None,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        Self { state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, FaultState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the active faults.
    pub fn set(&self, faults: EndpointFaults) {
        let mut state = self.lock();
        state.slow_until =
            (faults.slow_ms > 0).then(|| Instant::now() + Duration::from_millis(faults.slow_ms));
        state.faults = faults;
    }

    /// Returns a copy of the active faults.
    pub fn get(&self) -> EndpointFaults {
        self.lock().faults.clone()
    }

    /// Current factor on processing times, at least 0.01.
    pub fn slow_factor(&self) -> f64 {
        let mut state = self.lock();
        if state.slow_until.is_some_and(|until| Instant::now() >= until) {
            state.slow_until = None;
            state.faults.slow_factor = 1.0;
        }
        state.faults.slow_factor.max(0.01)
    }

    /// Consumes one use of a fault that applies to the next N requests; returns whether it applies.
    pub fn consume(&self, counter: impl FnOnce(&mut EndpointFaults) -> &mut u32) -> bool {
        let mut state = self.lock();
        let counter = counter(&mut state.faults);
        if *counter == 0 {
            return false;
        }
        *counter -= 1;
        true
    }

    /// Whether to close a stream after `pieces` pieces; counts down `cut_count`.
    pub fn should_cut(&self, pieces: u32) -> bool {
        let mut state = self.lock();
        let faults = &mut state.faults;
        if faults.cut_after == 0 || faults.cut_after != pieces {
            return false;
        }
        if faults.cut_count > 0 {
            faults.cut_count -= 1;
            if faults.cut_count == 0 {
                faults.cut_after = 0;
            }
        }
        true
    }

    /// Chooses the faults of the next piece at random, according to `share`.
    pub fn next_piece_fault(&self) -> PieceFault {
        let mut state = self.lock();
        let faults = &state.faults;
        let active =
            faults.late_ms > 0 || faults.swap || faults.double || faults.omit || faults.cross;
        if !active {
            return PieceFault::default();
        }
        let fault = PieceFault {
            late: Duration::from_millis(faults.late_ms),
            swap: faults.swap,
            double: faults.double,
            omit: faults.omit,
            cross: faults.cross,
        };
        let share = faults.share.clamp(0.0, 1.0);
        if state.random.random_bool(share) { fault } else { PieceFault::default() }
    }

    /// Returns true with probability `share`, clamped to 0 to 1.
    pub fn random_bool(&self, share: f64) -> bool {
        self.lock().random.random_bool(share.clamp(0.0, 1.0))
    }
}
