//! What an endpoint itself has said of further work.

use std::time::Duration;

use crate::moment::Moment;

/// Longest time for which an endpoint's wish to get no work is followed. Endpoints ask for seconds;
/// one that asks for more is tried again after this.
pub const MAX_PAUSE: Duration = Duration::from_secs(300);

/// Time after the start of a pause for which the endpoint is not tried: its other answers to
/// requests that were on their way may still come.
const TRIAL_AFTER: Duration = Duration::from_millis(500);

/// A time for which an endpoint wants no work.
#[derive(Clone, Copy, Debug)]
struct Pause {
    since: Moment,
    until: Moment,
    /// Whether an attempt has gone there all the same.
    tried: bool,
}

/// What an endpoint itself has said of further work.
#[derive(Clone, Copy, Debug, Default)]
pub struct Standing {
    /// Whether it has announced that it will end.
    pub leaving: bool,
    /// Whether it has said something that cannot be understood.
    pub odd: bool,
    pause: Option<Pause>,
}

impl Standing {
    /// The endpoint wants no work for a while. A shorter wish does not end a longer one.
    pub fn pause(&mut self, told: Duration, now: Moment) {
        let until = now + told.min(MAX_PAUSE);
        match &mut self.pause {
            Some(pause) if now < pause.until => pause.until = pause.until.max(until),
            pause => *pause = Some(Pause { since: now, until, tried: false }),
        }
    }

    /// Time until the endpoint wants work again, `None` if it does.
    pub fn paused(&self, now: Moment) -> Option<Duration> {
        self.in_force(now).map(|pause| pause.until.since(now))
    }

    /// Whether one attempt may go to the endpoint although it wants no work: where all endpoints of
    /// a service say so, somebody has to find out when that ends.
    pub fn may_try(&self, now: Moment) -> bool {
        let pause = self.in_force(now);
        pause.is_some_and(|pause| !pause.tried && now.since(pause.since) >= TRIAL_AFTER)
    }

    /// An attempt goes to the endpoint.
    pub fn note_attempt(&mut self, now: Moment) {
        if let Some(pause) = self.pause.as_mut().filter(|pause| now < pause.until) {
            pause.tried = true;
        }
    }

    fn in_force(&self, now: Moment) -> Option<Pause> {
        self.pause.filter(|pause| now < pause.until)
    }
}
