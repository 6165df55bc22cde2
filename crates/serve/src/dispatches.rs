//! Record of each time that a request was sent, and the decision whether it may be sent again.

use std::cell::Cell;
use std::rc::Rc;

use agatestair_policy::EndpointKey;

use crate::configuration::RouteKind;

/// What an endpoint is asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Work {
    /// To prefill the prompt, which is no run.
    Prefill,
    /// To run the request, or to continue a stream as a new run.
    Run,
    /// To continue the run of another engine from a copy of its KV cache.
    Copy,
}

impl Work {
    /// Name in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Run => "run",
            Self::Copy => "copy",
        }
    }
}

/// How a dispatch has ended, as evidence of what its endpoint has done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// Nothing was written.
    NotWritten,
    /// The endpoint has refused this dispatch.
    Refused,
    /// The endpoint has ended the connection, and its process accepts no other.
    Gone,
    /// The connection has ended, and the endpoint may still work.
    Unsure,
}

/// Key of a dispatch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DispatchKey(usize);

/// One time that a request was sent, or is about to be.
#[derive(Clone, Copy, Debug)]
struct Record {
    work: Work,
    endpoint: EndpointKey,
    /// How it has ended; `None` while the endpoint may work on it.
    end: Option<End>,
}

impl Record {
    /// Whether the endpoint may have run the request.
    fn may_run(&self) -> bool {
        self.work != Work::Prefill && !matches!(self.end, Some(End::NotWritten | End::Refused))
    }
}

/// Why a request may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Grounds {
    /// It was not sent before.
    First,
    /// No endpoint has run it: nothing was written, it was refused, or only the prompt was read.
    NotRun,
    /// It may run more than once.
    Repeatable,
    /// It may run more than once, and another attempt of it is late.
    Hedged,
    /// An engine continues the run that has ended at another one.
    SameRun,
    /// It is no run.
    NoRun,
}

impl Grounds {
    /// Name in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::NotRun => "not run before",
            Self::Repeatable => "may run again",
            Self::Hedged => "hedged",
            Self::SameRun => "the same run",
            Self::NoRun => "no run",
        }
    }
}

/// All dispatches of one request.
#[derive(Debug)]
pub struct Dispatches {
    all: Vec<Record>,
    /// Whether an endpoint may have run the request.
    passed_on: Rc<Cell<bool>>,
}

impl Dispatches {
    /// Creates an empty record, which keeps `passed_on` up to date.
    pub fn new(passed_on: Rc<Cell<bool>>) -> Self {
        Self { all: Vec::new(), passed_on }
    }

    /// Number of dispatches that may have been executed, or may be.
    pub fn runs(&self) -> u32 {
        let runs = self.all.iter().filter(|record| record.may_run());
        u32::try_from(runs.count()).unwrap_or(u32::MAX)
    }

    /// Whether a request of this kind, with at most `attempts` runs, may run once more.
    pub fn may_repeat(&self, kind: RouteKind, attempts: u32) -> bool {
        kind.may_repeat() && self.runs() < attempts
    }

    /// Whether the request was run, and the processes that ran it are gone. Silence is no evidence of
    /// that, nor is the end of a connection, which an endpoint may notice late.
    pub fn is_over(&self) -> bool {
        let mut runs = self.all.iter().filter(|record| record.may_run()).peekable();
        runs.peek().is_some() && runs.all(|record| record.end == Some(End::Gone))
    }

    /// Why the request may be sent to an endpoint now; `None` if it must not.
    pub fn grounds(&self, work: Work, kind: RouteKind, attempts: u32) -> Option<Grounds> {
        match work {
            Work::Prefill => Some(Grounds::NoRun),
            Work::Copy => self.is_over().then_some(Grounds::SameRun),
            Work::Run if self.all.is_empty() => Some(Grounds::First),
            Work::Run if self.runs() == 0 => Some(Grounds::NotRun),
            Work::Run => self.may_repeat(kind, attempts).then_some(Grounds::Repeatable),
        }
    }

    /// Why the request may be sent to another endpoint while an attempt of it is awaited; `None` if it
    /// must not.
    pub fn hedge_grounds(&self, kind: RouteKind, attempts: u32) -> Option<Grounds> {
        self.may_repeat(kind, attempts).then_some(Grounds::Hedged)
    }

    /// Whether an endpoint may have got the request before. A late answer to that dispatch names the
    /// request, too, and may come on a connection that is kept.
    pub fn has_reached(&self, endpoint: EndpointKey) -> bool {
        let mut reached = self.all.iter().filter(|record| record.end != Some(End::NotWritten));
        reached.any(|record| record.endpoint == endpoint)
    }

    /// Records that the request is about to be sent.
    pub fn begin(&mut self, work: Work, endpoint: EndpointKey) -> DispatchKey {
        self.all.push(Record { work, endpoint, end: None });
        self.note_change();
        DispatchKey(self.all.len() - 1)
    }

    /// Records how a dispatch has ended; the first end counts.
    pub fn end(&mut self, key: DispatchKey, end: End) {
        self.all[key.0].end.get_or_insert(end);
        self.note_change();
    }

    fn note_change(&self) {
        self.passed_on.set(self.runs() > 0);
    }
}
