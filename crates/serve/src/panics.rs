//! Panics in the futures of requests.

use std::any::Any;
use std::future::{Future, poll_fn};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::pin;
use std::task::Poll;

/// Runs a future and returns its result, or the message if it panics.
///
/// # Errors
///
/// The message of the panic.
pub async fn catch_panic<T>(future: impl Future<Output = T>) -> Result<T, String> {
    let mut future = pin!(future);
    poll_fn(|cx| match catch_unwind(AssertUnwindSafe(|| future.as_mut().poll(cx))) {
        Ok(poll) => poll.map(Ok),
        Err(panic) => Poll::Ready(Err(message(&*panic))),
    })
    .await
}

fn message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
    let text = text.or_else(|| panic.downcast_ref::<String>().cloned());
    text.unwrap_or_else(|| "a panic without a message".to_owned())
}
