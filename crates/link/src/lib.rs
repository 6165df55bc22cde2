//! Streams between the instances over h2 with bincode messages.
