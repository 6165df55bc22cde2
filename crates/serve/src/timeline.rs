//! Timelines of the store: which versions can be compared with each other.

use std::time::Duration;

use agatestair_policy::Moment;

/// Time after which a lower timeline is believed if no response names a higher one meanwhile.
const LOWER_TIME: Duration = Duration::from_secs(10);

/// How the timeline of a response relates to the one that is followed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TimelineNews {
    /// It is the same, or the response names none.
    Current,
    /// The response was sent before the store was restored.
    Former,
    /// The store was restored since `former`, which is `None` if no timeline was known.
    Began {
        /// The timeline before.
        former: Option<u64>,
    },
}

/// The timeline of the store that an instance follows.
///
/// A store that is restored from a copy lacks its latest transactions, assigns their versions again
/// and begins a new timeline. Versions can only be compared within one timeline.
#[derive(Clone, Copy, Debug, Default)]
pub struct Timeline {
    current: Option<u64>,
    /// Since when all responses of the store name a lower timeline.
    lower_since: Option<Moment>,
}

impl Timeline {
    /// Number of the timeline that is followed, if the store has named one.
    pub fn current(&self) -> Option<u64> {
        self.current
    }

    /// Records the timeline that a response of the store names.
    ///
    /// A store that keeps naming a lower one was replaced, and is followed after `LOWER_TIME`.
    pub fn note_response(&mut self, named: Option<u64>, now: Moment) -> TimelineNews {
        let news = self.compare(named);
        match news {
            TimelineNews::Former => {
                let since = *self.lower_since.get_or_insert(now);
                if now.since(since) < LOWER_TIME {
                    return news;
                }
                self.begin(named)
            }
            TimelineNews::Began { .. } => self.begin(named),
            TimelineNews::Current => {
                if named.is_some() {
                    self.lower_since = None;
                }
                news
            }
        }
    }

    /// Records the timeline that another instance follows.
    pub fn note_peer(&mut self, named: Option<u64>) -> TimelineNews {
        if named.is_none() && self.current.is_some() {
            return TimelineNews::Former;
        }
        match self.compare(named) {
            TimelineNews::Began { .. } => self.begin(named),
            news => news,
        }
    }

    /// Whether the versions in a response that names the timeline `named` belong to the one that is
    /// followed. The call was made in the timeline `asked`, which matters unless the response is a
    /// `whole` table.
    pub fn admits(&self, asked: Option<u64>, named: Option<u64>, whole: bool) -> bool {
        let asked = asked == self.current;
        named.map_or(asked, |named| Some(named) == self.current && (asked || whole))
    }

    fn compare(&self, named: Option<u64>) -> TimelineNews {
        match (named, self.current) {
            (Some(named), Some(current)) if named < current => TimelineNews::Former,
            (Some(named), current) if current != Some(named) => {
                TimelineNews::Began { former: current }
            }
            _ => TimelineNews::Current,
        }
    }

    fn begin(&mut self, named: Option<u64>) -> TimelineNews {
        let former = std::mem::replace(&mut self.current, named);
        self.lower_since = None;
        TimelineNews::Began { former }
    }
}
