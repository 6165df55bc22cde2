//! Session of one link: handshake, then reads, writes and pings until the link ends.

use std::sync::Arc;
use std::time::Duration;

use agatestair_schema::link::LinkMessage;
use h2::{Ping, PingPong, RecvStream, SendStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::error::LinkError;
use crate::frame::{FrameReader, FrameWriter};
use crate::handshake::{acceptor_handshake, dialler_handshake};
use crate::node::Shared;
use crate::peer::{LinkEvent, LinkKey, Peer};

/// Capacity of a link's send queue, in messages.
const MAX_QUEUED_MESSAGES: usize = 512;

/// Which end of the connection this process is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// This process opened the connection.
    Dialled,
    /// This process accepted the connection.
    Accepted,
}

/// The two bodies of the h2 stream and the ping handle of its connection.
pub struct Session {
    reader: FrameReader,
    writer: FrameWriter,
    ping: PingPong,
}

impl Session {
    /// Creates a session from the parts of an h2 stream.
    pub fn new(body: RecvStream, stream: SendStream<bytes::Bytes>, ping: PingPong) -> Self {
        Self { reader: FrameReader::new(body), writer: FrameWriter::new(stream), ping }
    }

    /// Performs the handshake, then exchanges messages until the link ends; returns the reason.
    pub async fn run(mut self, shared: &Arc<Shared>, side: Side) -> LinkError {
        let limit = shared.timeout();
        let peer = match timeout(limit, self.authenticate(shared, side)).await {
            Ok(Ok(peer)) => peer,
            Ok(Err(error)) => return error,
            Err(_) => return LinkError::TimedOut,
        };
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let link = shared.add_link(sender);
        shared.emit(LinkEvent::Up { link, peer: peer.clone() });
        let mut open = LinkGuard {
            shared: shared.clone(),
            link,
            peer: peer.clone(),
            error: LinkError::Closed("connection ended".to_owned()),
        };
        open.error = self.run_link(shared, link, &peer, receiver).await;
        open.error.clone()
    }

    async fn authenticate(&mut self, shared: &Shared, side: Side) -> Result<Arc<Peer>, LinkError> {
        let keys = shared.keys();
        let (reader, writer) = (&mut self.reader, &mut self.writer);
        match side {
            Side::Dialled => dialler_handshake(reader, writer, &shared.identity, &keys).await,
            Side::Accepted => acceptor_handshake(reader, writer, &shared.identity, &keys).await,
        }
    }

    async fn run_link(
        self,
        shared: &Shared,
        link: LinkKey,
        peer: &Arc<Peer>,
        receiver: mpsc::Receiver<LinkMessage>,
    ) -> LinkError {
        tokio::select! {
            error = read_all(self.reader, shared, link, peer) => error,
            error = write_all(self.writer, receiver, shared.timeout()) => error,
            error = ping_all(self.ping, shared.ping, shared.timeout()) => error,
            () = shared.token.cancelled() => LinkError::Cancelled,
        }
    }
}

/// Removes the link and emits [`LinkEvent::Down`] on drop, so that this also happens if the session
/// is cancelled because its connection ended.
struct LinkGuard {
    shared: Arc<Shared>,
    link: LinkKey,
    peer: Arc<Peer>,
    error: LinkError,
}

impl Drop for LinkGuard {
    fn drop(&mut self) {
        self.shared.remove_link(self.link);
        let (peer, error) = (self.peer.clone(), self.error.clone());
        self.shared.emit(LinkEvent::Down { link: self.link, peer, error });
    }
}

async fn read_all(
    mut reader: FrameReader,
    shared: &Shared,
    link: LinkKey,
    peer: &Arc<Peer>,
) -> LinkError {
    loop {
        match reader.read_message().await {
            Ok(message) => {
                let message = Box::new(message);
                shared.emit(LinkEvent::Message { link, peer: peer.clone(), message });
            }
            Err(error) => return error,
        }
    }
}

async fn write_all(
    mut writer: FrameWriter,
    mut receiver: mpsc::Receiver<LinkMessage>,
    limit: Duration,
) -> LinkError {
    while let Some(message) = receiver.recv().await {
        match timeout(limit, writer.write_message(&message)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return error,
            Err(_) => return LinkError::TimedOut,
        }
    }
    LinkError::Cancelled
}

async fn ping_all(mut ping: PingPong, interval: Duration, limit: Duration) -> LinkError {
    loop {
        match timeout(limit, ping.ping(Ping::opaque())).await {
            Ok(Ok(_)) => sleep(interval).await,
            Ok(Err(error)) => return error.into(),
            Err(_) => return LinkError::TimedOut,
        }
    }
}
