//! Writes what is known of the requests of a failed cell beside the logs of its processes.

use std::fs;

use agatestair_schema::standins::RunRecord;
use ureq::Agent;

use crate::checker::{CallerRecord, Records};
use crate::deployment::Testbed;
use crate::error::TestbedError;

/// Name of the file in the folder of the deployment.
const FILE: &str = "requests.txt";

/// Writes each attempt of a caller with its runs at endpoints and the entry's explanation.
///
/// # Errors
///
/// [`TestbedError::Io`] if the file cannot be written.
pub fn write_trace(
    testbed: &Testbed,
    callers: &[CallerRecord],
    records: &Records,
) -> Result<(), TestbedError> {
    let mut lines = Vec::new();
    for caller in callers {
        lines.push(format!("{caller:?}"));
        let belongs = |run: &&RunRecord| {
            (!caller.request.is_empty() && run.request == caller.request)
                || (!caller.body.is_empty() && run.body == caller.body)
        };
        let runs = records.runs.iter().filter(belongs);
        lines.extend(runs.map(|run| format!("    {run:?}")));
        let explanation = explain(testbed, caller);
        lines.extend(explanation.map(|explanation| format!("    {explanation}")));
    }
    let path = testbed.folder().join(FILE);
    fs::write(&path, lines.join("\n") + "\n")
        .map_err(|cause| TestbedError::io(path.display().to_string(), cause))
}

/// The entry's explanation of a request, as JSON. Only the request's customer gets it, so each is
/// tried.
fn explain(testbed: &Testbed, caller: &CallerRecord) -> Option<String> {
    let mut instances = testbed.addresses.instances.iter();
    let instance = instances.find(|instance| instance.name == caller.entry)?;
    let agent = Agent::new_with_defaults();
    let url = format!("http://{}/v1/explain/{}", instance.address, caller.request);
    testbed.options.layout.customers.iter().find_map(|customer| {
        let bearer = format!("Bearer {}", customer.key());
        let mut response = agent.get(&url).header("Authorization", bearer).call().ok()?;
        response.body_mut().read_to_string().ok()
    })
}
