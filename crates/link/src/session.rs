//! One open link: reads, writes and pings until it ends.

use std::sync::Arc;
use std::time::Duration;

use agatestair_schema::link::LinkMessage;
use h2::{Ping, PingPong, RecvStream, SendStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::error::LinkError;
use crate::frame::{FrameReader, FrameWriter};
use crate::handshake::{greet, welcome};
use crate::node::Shared;
use crate::peer::{LinkEvent, LinkKey, Peer};

/// Messages that may wait to be written to one link.
const QUEUED_MESSAGES: usize = 512;

/// End of the connection that this process is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// It opened the connection.
    Dialled,
    /// It accepted the connection.
    Accepted,
}

/// The two bodies and the ping handle of one h2 connection.
pub struct Session {
    reader: FrameReader,
    writer: FrameWriter,
    ping: PingPong,
}

impl Session {
    /// Wraps the parts of one h2 stream.
    pub fn new(body: RecvStream, stream: SendStream<bytes::Bytes>, ping: PingPong) -> Self {
        Self { reader: FrameReader::new(body), writer: FrameWriter::new(stream), ping }
    }

    /// Authenticates, then carries messages until the link ends; returns why it ended.
    pub async fn run(mut self, shared: &Arc<Shared>, side: Side) -> LinkError {
        let limit = shared.timeout();
        let peer = match timeout(limit, self.authenticate(shared, side)).await {
            Ok(Ok(peer)) => peer,
            Ok(Err(error)) => return error,
            Err(_) => return LinkError::TimedOut,
        };
        let (sender, receiver) = mpsc::channel(QUEUED_MESSAGES);
        let link = shared.add_link(sender);
        shared.tell(LinkEvent::Up { link, peer: peer.clone() });
        let mut open = OpenLink {
            shared: shared.clone(),
            link,
            peer: peer.clone(),
            error: LinkError::Closed("connection ended".to_owned()),
        };
        open.error = self.carry(shared, link, &peer, receiver).await;
        open.error.clone()
    }

    async fn authenticate(&mut self, shared: &Shared, side: Side) -> Result<Arc<Peer>, LinkError> {
        let keys = shared.keys();
        let (reader, writer) = (&mut self.reader, &mut self.writer);
        match side {
            Side::Dialled => greet(reader, writer, &shared.identity, &keys).await,
            Side::Accepted => welcome(reader, writer, &shared.identity, &keys).await,
        }
    }

    async fn carry(
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

/// Tells that a link is down when dropped, which also happens when its connection ends first.
struct OpenLink {
    shared: Arc<Shared>,
    link: LinkKey,
    peer: Arc<Peer>,
    error: LinkError,
}

impl Drop for OpenLink {
    fn drop(&mut self) {
        self.shared.remove_link(self.link);
        let (peer, error) = (self.peer.clone(), self.error.clone());
        self.shared.tell(LinkEvent::Down { link: self.link, peer, error });
    }
}

async fn read_all(
    mut reader: FrameReader,
    shared: &Shared,
    link: LinkKey,
    peer: &Arc<Peer>,
) -> LinkError {
    loop {
        match reader.next().await {
            Ok(message) => {
                let message = Box::new(message);
                shared.tell(LinkEvent::Message { link, peer: peer.clone(), message });
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
        match timeout(limit, writer.write(&message)).await {
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
