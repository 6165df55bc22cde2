//! Relays one connection with the faults of its route.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

use super::route::{Route, RouteFaults};

/// Bytes read at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// Chunks on their way in one direction.
const CHUNKS: usize = 1024;

/// Data on its way, not to be delivered before its time.
struct Chunk {
    due: Instant,
    data: Vec<u8>,
}

/// One direction of a connection.
struct Direction {
    id: u64,
    down: bool,
    faults: watch::Receiver<RouteFaults>,
}

/// Relays until either side closes or the route cuts the connection.
pub async fn relay(near: TcpStream, route: &Route, id: u64) {
    let mut faults = route.faults.subscribe();
    let dialled = tokio::select! {
        dialled = dial(route, id) => dialled,
        () = cut(&mut faults, id) => None,
    };
    let Some(far) = dialled else {
        return;
    };
    // A socket without this option only delays small writes.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let up = Direction { id, down: false, faults: route.faults.subscribe() };
    let down = Direction { id, down: true, faults: route.faults.subscribe() };
    let both = async {
        tokio::join!(pass(near_read, far_write, up), pass(far_read, near_write, down));
    };
    tokio::select! {
        () = both => {}
        () = cut(&mut faults, id) => {}
    }
}

/// Dials the target once the route is not silent.
async fn dial(route: &Route, id: u64) -> Option<TcpStream> {
    let mut faults = route.faults.subscribe();
    let open = |faults: &RouteFaults| {
        let set = &faults.set;
        !faults.is_silent(id, set.silence_up || set.silence_down)
    };
    faults.wait_for(open).await.ok()?;
    TcpStream::connect(route.target).await.ok()
}

/// Completes when the route cuts the connection.
async fn cut(faults: &mut watch::Receiver<RouteFaults>, id: u64) {
    // The route outlives its connections.
    let _ = faults.wait_for(|faults| id < faults.cut_below).await;
}

async fn pass(read: OwnedReadHalf, write: OwnedWriteHalf, direction: Direction) {
    let (sender, receiver) = mpsc::channel(CHUNKS);
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
        let delay = Duration::from_millis(faults.borrow().set.delay_ms);
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
    let mut left = direction.faults.borrow().set.cut_after;
    let limited = direction.down && left > 0;
    while let Some(mut chunk) = receiver.recv().await {
        sleep_until(chunk.due).await;
        direction.wait_open().await;
        if chunk.data.is_empty() {
            break;
        }
        if limited {
            chunk.data.truncate(usize::try_from(left).unwrap_or(usize::MAX));
            left -= chunk.data.len() as u64;
        }
        if write.write_all(&chunk.data).await.is_err() || (limited && left == 0) {
            break;
        }
    }
    // The peer may have closed already.
    let _ = write.shutdown().await;
}

impl Direction {
    /// Waits until the direction is not silent.
    async fn wait_open(&mut self) {
        let (id, down) = (self.id, self.down);
        let open = |faults: &RouteFaults| {
            let silence = if down { faults.set.silence_down } else { faults.set.silence_up };
            !faults.is_silent(id, silence)
        };
        // The route outlives its connections.
        let _ = self.faults.wait_for(open).await;
    }
}
