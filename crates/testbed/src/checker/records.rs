//! Records of the stand-ins, read from the recorder.

use agatestair_schema::standins::{
    LeavePage, LeaveRecord, ListsPage, ListsRecord, OrderPage, OrderRecord, RunPage, RunRecord,
};

use crate::client::Client;
use crate::error::TestbedError;

/// What the stand-ins received.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Requests that reached endpoints.
    pub runs: Vec<RunRecord>,
    /// Orders that reached endpoints.
    pub orders: Vec<OrderRecord>,
    /// Changes of whether an endpoint or instance is leaving.
    pub leaves: Vec<LeaveRecord>,
    /// Accepted revisions of the lists.
    pub lists: Vec<ListsRecord>,
}

impl Records {
    /// Reads all records from the recorder.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Request`] if the recorder cannot be reached.
    pub fn read(client: &Client, recorder: &str) -> Result<Self, TestbedError> {
        let orders: OrderPage = client.get(recorder, "/orders")?;
        let leaves: LeavePage = client.get(recorder, "/leaves")?;
        let lists: ListsPage = client.get(recorder, "/lists")?;
        Ok(Self {
            runs: read_runs(client, recorder)?,
            orders: orders.orders,
            leaves: leaves.leaves,
            lists: lists.lists,
        })
    }
}

fn read_runs(client: &Client, recorder: &str) -> Result<Vec<RunRecord>, TestbedError> {
    let mut runs: Vec<RunRecord> = Vec::new();
    loop {
        let after = runs.last().map_or(0, |run| run.id);
        let page: RunPage = client.get(recorder, &format!("/runs?after={after}"))?;
        if page.runs.is_empty() {
            return Ok(runs);
        }
        runs.extend(page.runs);
    }
}
