//! Room for content in one digest.

use bincode::error::EncodeError;

use crate::digest::{Body, Names, body};

/// Bytes that a datagram takes beside the content of a digest: headers of the network, the sender
/// and the lengths of lists.
const FRAME: usize = 96;

/// Room for content in one digest, in bytes as encoded.
#[derive(Clone, Debug)]
pub struct Room {
    /// Bytes that the content may take.
    size: usize,
    /// Bytes of the content without its names.
    content: usize,
    names: Names,
}

impl Room {
    /// Creates room for a datagram of at most this many bytes.
    pub fn new(size: usize) -> Self {
        Self { size: size.saturating_sub(FRAME), content: 0, names: Names::default() }
    }

    /// Takes the room of an item that `put` encodes; returns whether there was enough.
    pub fn take(
        &mut self,
        put: impl FnOnce(&mut Body, &mut Names) -> Result<(), EncodeError>,
    ) -> bool {
        let (mut body, mark) = (body(), self.names.mark());
        let encoded = put(&mut body, &mut self.names);
        let content = self.content + body.into_writer().0.len();
        let fits = encoded.is_ok() && content + self.names.bytes() <= self.size;
        if fits {
            self.content = content;
        } else {
            self.names.reset(mark);
        }
        fits
    }

    /// Lets content take at most a share of the room that is left.
    pub fn within<T>(&mut self, share: f64, fill: impl FnOnce(&mut Self) -> T) -> T {
        let left = self.size.saturating_sub(self.content + self.names.bytes());
        let kept = left - (left as f64 * share) as usize;
        self.size -= kept;
        let filled = fill(self);
        self.size += kept;
        filled
    }

    /// Bytes that the datagram takes on the network, 0 if it has no content.
    pub fn used(&self) -> usize {
        if self.content > 0 { FRAME + self.content + self.names.bytes() } else { 0 }
    }
}
