//! Cancellation on termination signals.

use std::io;
use std::thread;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio_util::sync::CancellationToken;

/// Cancels `token` on the first `SIGTERM` or `SIGINT`.
///
/// # Errors
///
/// The operating system's error if the signal handlers or their thread cannot be created.
pub fn cancel_on_signal(token: &CancellationToken) -> io::Result<()> {
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let token = token.clone();
    thread::Builder::new().name("signals".to_owned()).spawn(move || {
        if signals.forever().next().is_some() {
            token.cancel();
        }
    })?;
    Ok(())
}
