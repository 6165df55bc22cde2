//! A monotonic clock that also runs while the machine is suspended.

use agatestair_policy::Moment;
use rustix::time::{ClockId, clock_gettime};

const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;

/// The operating system's boot-time clock (`CLOCK_BOOTTIME`).
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Time since the machine booted, including suspended time.
    pub fn now(self) -> Moment {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
        Moment(seconds * MICROS_PER_SECOND + nanos / NANOS_PER_MICRO)
    }
}

/// Wall-clock time in milliseconds since the Unix epoch, for timestamps in records.
pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}
