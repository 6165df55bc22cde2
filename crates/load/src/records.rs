//! Reads what the stand-ins recorded.

use std::time::Duration;

use agatestair_schema::standins::{
    LeavePage, LeaveRecord, ListsPage, ListsRecord, OrderPage, OrderRecord, RunPage, RunRecord,
};
use agatestair_schema::testbed::Deployment;
use serde::de::DeserializeOwned;
use ureq::Agent;

/// Longest wait for one page.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Greatest size of one page in bytes.
const MAX_PAGE: u64 = 256 * 1024 * 1024;
/// Greatest number of pages of one kind.
const MAX_PAGES: usize = 10_000;

/// All that the stand-ins recorded since a mark.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Work that reached endpoints.
    pub runs: Vec<RunRecord>,
    /// Records of work that the recorder no longer has.
    pub dropped: u64,
    /// Orders that reached endpoints.
    pub orders: Vec<OrderRecord>,
    /// Changes of whether endpoints are to take new work.
    pub leaves: Vec<LeaveRecord>,
    /// Accepted changes of the lists.
    pub lists: Vec<ListsRecord>,
}

/// Numbers of the last records before a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mark {
    runs: u64,
    orders: u64,
    dropped: u64,
}

/// Client of the recorder.
pub struct Recorder {
    agent: Agent,
    base: String,
}

impl Recorder {
    /// Creates the client; `None` if the deployment has no recorder.
    pub fn new(deployment: &Deployment) -> Option<Self> {
        if deployment.recorder.is_empty() {
            return None;
        }
        let agent = Agent::config_builder().timeout_global(Some(TIMEOUT)).build().into();
        Some(Self { agent, base: format!("http://{}", deployment.recorder) })
    }

    /// Marks the present end of the records.
    ///
    /// # Errors
    ///
    /// A text that names the page which could not be read.
    pub fn mark(&self) -> Result<Mark, String> {
        let records = self.read(Mark::default())?;
        Ok(Mark {
            runs: records.runs.last().map_or(0, |run| run.id),
            orders: records.orders.last().map_or(0, |order| order.id),
            dropped: records.dropped,
        })
    }

    /// Reads all records after `mark`.
    ///
    /// # Errors
    ///
    /// A text that names the page which could not be read.
    pub fn read(&self, mark: Mark) -> Result<Records, String> {
        let mut records = Records::default();
        let mut after = mark.runs;
        for _ in 0..MAX_PAGES {
            let page: RunPage = self.page(&format!("/runs?after={after}"))?;
            records.dropped = page.dropped.saturating_sub(mark.dropped);
            let Some(last) = page.runs.last() else { break };
            after = last.id;
            records.runs.extend(page.runs);
        }
        let mut after = mark.orders;
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
        let fail = |error: ureq::Error| format!("{url}: {error}; is the deployment still up?");
        let mut response = self.agent.get(&url).call().map_err(fail)?;
        response.body_mut().with_config().limit(MAX_PAGE).read_json().map_err(fail)
    }
}
