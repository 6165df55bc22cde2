//! Faults in force at one endpoint.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use agatestair_schema::standins::EndpointFaults;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// What is done with one piece of a stream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PieceFault {
    /// Sent late by this much.
    pub late: Duration,
    /// Sent after the piece that follows it.
    pub swap: bool,
    /// Sent twice.
    pub double: bool,
    /// Left out.
    pub omit: bool,
    /// Sent on another stream as well.
    pub cross: bool,
}

struct FaultState {
    faults: EndpointFaults,
    slow_until: Option<Instant>,
    random: ChaCha8Rng,
}

/// Faults of one endpoint, with its seeded random numbers.
pub struct FaultBox {
    state: Mutex<FaultState>,
}

impl FaultBox {
    /// Creates it without faults.
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

    /// Replaces the faults in force.
    pub fn set(&self, faults: EndpointFaults) {
        let mut state = self.lock();
        state.slow_until =
            (faults.slow_ms > 0).then(|| Instant::now() + Duration::from_millis(faults.slow_ms));
        state.faults = faults;
    }

    /// The faults in force.
    pub fn get(&self) -> EndpointFaults {
        self.lock().faults.clone()
    }

    /// Factor on processing times.
    pub fn slow_factor(&self) -> f64 {
        let mut state = self.lock();
        if state.slow_until.is_some_and(|until| Instant::now() >= until) {
            state.slow_until = None;
            state.faults.slow_factor = 1.0;
        }
        state.faults.slow_factor.max(0.01)
    }

    /// Counts down one of the faults that concern a number of coming requests.
    pub fn take(&self, counter: impl FnOnce(&mut EndpointFaults) -> &mut u32) -> bool {
        let mut state = self.lock();
        let counter = counter(&mut state.faults);
        if *counter == 0 {
            return false;
        }
        *counter -= 1;
        true
    }

    /// Whether a stream is closed after its piece number `pieces`.
    pub fn cuts(&self, pieces: u32) -> bool {
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

    /// What is done with the next piece.
    pub fn next_piece(&self) -> PieceFault {
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

    /// Draws whether something of probability `share` happens.
    pub fn draw(&self, share: f64) -> bool {
        self.lock().random.random_bool(share.clamp(0.0, 1.0))
    }
}
