//! Whether a body is whole that ended in good order.

use std::rc::Rc;

use crate::attempt_guard::AttemptGuard;
use crate::connection::Connection;
use crate::crash::cut_by_crash;
use crate::framing::Framing;
use crate::shared::Shared;

/// Why a body that ended in good order on this connection is not whole, if it is not.
///
/// The end of a connection is the only sign that a body without a length or chunks is whole. An
/// endpoint that has ended its half while the request was being sent may still reset the connection.
pub async fn end_defect(
    shared: &Rc<Shared>,
    guard: &AttemptGuard,
    framing: Framing,
    connection: &Connection,
) -> Option<&'static str> {
    if framing != Framing::Connection {
        return None;
    }
    if !connection.progress().until_written().await {
        return Some("the connection was lost before the request was sent");
    }
    cut_by_crash(shared, guard, connection).await
}
