//! Relays one connection and injects the faults of its route.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

use super::route::{Route, RouteFaults};

/// Maximum number of bytes per read.
const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of chunks buffered in one direction.
const MAX_CHUNKS: usize = 1024;

/// Data to be delivered no earlier than `due`.
struct Chunk {
    due: Instant,
    data: Vec<u8>,
}

/// One direction of a connection.
struct Direction {
    /// Number of the connection.
    id: u64,
    /// Whether data flows from the target to the client.
    down: bool,
    faults: watch::Receiver<RouteFaults>,
}

/// Relays until both directions have ended or the route closes the connection.
pub async fn relay(client: TcpStream, route: &Route, id: u64) {
    let mut faults = route.faults.subscribe();
    let connected = tokio::select! {
        target = connect_target(route, id) => target,
        () = wait_cut(&mut faults, id) => None,
    };
    let Some(target) = connected else {
        return;
    };
    // Without this option, small writes are only delayed.
    let _ = client.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (target_read, target_write) = target.into_split();
    let up = Direction { id, down: false, faults: route.faults.subscribe() };
    let down = Direction { id, down: true, faults: route.faults.subscribe() };
    let both = async {
        tokio::join!(
            relay_direction(client_read, target_write, up),
            relay_direction(target_read, client_write, down)
        );
    };
    tokio::select! {
        () = both => {}
        () = wait_cut(&mut faults, id) => {}
    }
}

/// Connects to the target once the route is not silent.
async fn connect_target(route: &Route, id: u64) -> Option<TcpStream> {
    let mut faults = route.faults.subscribe();
    let unblocked = |faults: &RouteFaults| {
        let current = &faults.current;
        !faults.is_silent(id, current.silence_up || current.silence_down)
    };
    faults.wait_for(unblocked).await.ok()?;
    TcpStream::connect(route.target).await.ok()
}

/// Completes when the route closes the connection.
async fn wait_cut(faults: &mut watch::Receiver<RouteFaults>, id: u64) {
    // Cannot fail: the route outlives its connections.
    let _ = faults.wait_for(|faults| id < faults.cut_below).await;
}

async fn relay_direction(read: OwnedReadHalf, write: OwnedWriteHalf, direction: Direction) {
    let (sender, receiver) = mpsc::channel(MAX_CHUNKS);
    let faults = direction.faults.clone();
    let reading = read_chunks(read, sender, faults);
    tokio::join!(reading, write_chunks(write, receiver, direction));
}

async fn read_chunks(
    mut read: OwnedReadHalf,
    sender: mpsc::Sender<Chunk>,
    faults: watch::Receiver<RouteFaults>,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let count = read.read(&mut buffer).await.unwrap_or(0);
        let delay = Duration::from_millis(faults.borrow().current.delay_ms);
        let chunk = Chunk { due: Instant::now() + delay, data: buffer[..count].to_vec() };
        if sender.send(chunk).await.is_err() || count == 0 {
            return;
        }
    }
}

async fn write_chunks(
    mut write: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<Chunk>,
    mut direction: Direction,
) {
    let mut remaining = direction.faults.borrow().current.cut_after;
    let limited = direction.down && remaining > 0;
    while let Some(mut chunk) = receiver.recv().await {
        sleep_until(chunk.due).await;
        direction.wait_unblocked().await;
        if chunk.data.is_empty() {
            break;
        }
        if limited {
            chunk.data.truncate(usize::try_from(remaining).unwrap_or(usize::MAX));
            remaining -= chunk.data.len() as u64;
        }
        if write.write_all(&chunk.data).await.is_err() || (limited && remaining == 0) {
            break;
        }
    }
    // Fails if the peer has already closed the connection.
    let _ = write.shutdown().await;
}

impl Direction {
    /// Waits until faults no longer block this direction.
    async fn wait_unblocked(&mut self) {
        let (id, down) = (self.id, self.down);
        let unblocked = |faults: &RouteFaults| {
            let silence =
                if down { faults.current.silence_down } else { faults.current.silence_up };
            !faults.is_silent(id, silence)
        };
        // Cannot fail: the route outlives its connections.
        let _ = self.faults.wait_for(unblocked).await;
    }
}
