//! What an endpoint has announced about accepting work: pauses and shutdown.

use std::time::Duration;

use crate::moment::Moment;

/// Longest pause that an endpoint is granted. Endpoints ask for seconds; one that asks for more
/// than this gets attempts again after it.
pub const MAX_PAUSE: Duration = Duration::from_secs(300);

/// Time from the start of a pause to the earliest probe. Until then, the endpoint may still be
/// responding to requests that were already in flight when it asked for the pause.
const PROBE_DELAY: Duration = Duration::from_millis(500);

/// A period for which an endpoint has asked for no new work.
#[derive(Clone, Copy, Debug)]
struct Pause {
    since: Moment,
    until: Moment,
    /// Whether an attempt was sent during the pause.
    probed: bool,
}

/// What an endpoint has announced about accepting work.
#[derive(Clone, Copy, Debug, Default)]
pub struct Availability {
    /// Whether it has announced that it is shutting down.
    pub leaving: bool,
    /// Whether it has sent a malformed response header.
    pub malformed: bool,
    pause: Option<Pause>,
}

impl Availability {
    /// Starts or extends a pause. A shorter request does not cut an ongoing pause short.
    pub fn pause(&mut self, requested: Duration, now: Moment) {
        let until = now + requested.min(MAX_PAUSE);
        match &mut self.pause {
            Some(pause) if now < pause.until => pause.until = pause.until.max(until),
            pause => *pause = Some(Pause { since: now, until, probed: false }),
        }
    }

    /// Time until the pause ends, `None` if the endpoint is not paused.
    pub fn pause_left(&self, now: Moment) -> Option<Duration> {
        self.current_pause(now).map(|pause| pause.until.since(now))
    }

    /// Whether one probe attempt may be sent during the pause. When all endpoints of a service are
    /// paused, probes find out whether one accepts work again.
    pub fn may_probe(&self, now: Moment) -> bool {
        let pause = self.current_pause(now);
        pause.is_some_and(|pause| !pause.probed && now.since(pause.since) >= PROBE_DELAY)
    }

    /// Records that an attempt is sent to the endpoint.
    pub fn note_attempt(&mut self, now: Moment) {
        if let Some(pause) = self.pause.as_mut().filter(|pause| now < pause.until) {
            pause.probed = true;
        }
    }

    fn current_pause(&self, now: Moment) -> Option<Pause> {
        self.pause.filter(|pause| now < pause.until)
    }
}
