//! Client for the records that the stand-ins keep of received work and orders.

use std::time::Duration;

use agatestair_schema::standins::{
    LeavePage, LeaveRecord, ListsPage, ListsRecord, OrderPage, OrderRecord, RunPage, RunRecord,
};
use agatestair_schema::testbed::Deployment;
use serde::de::DeserializeOwned;
use ureq::Agent;

/// Timeout of the request for one page.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of one page in bytes.
const MAX_PAGE: u64 = 256 * 1024 * 1024;
/// Maximum number of pages read of one kind of record.
const MAX_PAGES: usize = 10_000;

/// Records of the stand-ins.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Requests that reached endpoints.
    pub runs: Vec<RunRecord>,
    /// Number of run records that the recorder discarded.
    pub dropped: u64,
    /// Orders that reached endpoints.
    pub orders: Vec<OrderRecord>,
    /// Changes of whether endpoints are to leave service.
    pub leaves: Vec<LeaveRecord>,
    /// Committed changes of the lists.
    pub lists: Vec<ListsRecord>,
}

/// Position in the recorder's logs: identifiers of the last records, and discarded records.
#[derive(Clone, Copy, Debug, Default)]
pub struct Position {
    runs: u64,
    orders: u64,
    dropped: u64,
}

/// HTTP client of the recorder.
pub struct Recorder {
    agent: Agent,
    base: String,
}

impl Recorder {
    /// Creates a client; `None` if the deployment has no recorder.
    pub fn new(deployment: &Deployment) -> Option<Self> {
        if deployment.recorder.is_empty() {
            return None;
        }
        let agent = Agent::config_builder().timeout_global(Some(TIMEOUT)).build().into();
        Some(Self { agent, base: format!("http://{}", deployment.recorder) })
    }

    /// Returns the current end position of the records.
    ///
    /// # Errors
    ///
    /// Returns a message with the URL of the page that could not be read.
    pub fn position(&self) -> Result<Position, String> {
        let records = self.read(Position::default())?;
        Ok(Position {
            runs: records.runs.last().map_or(0, |run| run.id),
            orders: records.orders.last().map_or(0, |order| order.id),
            dropped: records.dropped,
        })
    }

    /// Reads all runs and orders after `position`, and all leaves and list changes.
    ///
    /// # Errors
    ///
    /// Returns a message with the URL of the page that could not be read.
    pub fn read(&self, position: Position) -> Result<Records, String> {
        let mut records = Records::default();
        let mut after = position.runs;
        for _ in 0..MAX_PAGES {
            let page: RunPage = self.page(&format!("/runs?after={after}"))?;
            records.dropped = page.dropped.saturating_sub(position.dropped);
            let Some(last) = page.runs.last() else { break };
            after = last.id;
            records.runs.extend(page.runs);
        }
        let mut after = position.orders;
        for _ in 0..MAX_PAGES {
            let page: OrderPage = self.page(&format!("/orders?after={after}"))?;
            let Some(last) = page.orders.last() else { break };
            after = last.id;
            records.orders.extend(page.orders);
        }
        let leaves: LeavePage = self.page("/leaves")?;
        records.leaves = leaves.leaves;
        let lists: ListsPage = self.page("/lists")?;
        records.lists = lists.lists;
        Ok(records)
    }

    fn page<T: DeserializeOwned>(&self, path: &str) -> Result<T, String> {
        let url = format!("{}{path}", self.base);
        let fail = |error: ureq::Error| format!("{url}: {error}; is the deployment still running?");
        let mut response = self.agent.get(&url).call().map_err(fail)?;
        response.body_mut().with_config().limit(MAX_PAGE).read_json().map_err(fail)
    }
}
