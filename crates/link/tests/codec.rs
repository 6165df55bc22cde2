//! The codec decodes what it encoded, and rejects malformed bytes without panicking.

use agatestair_link::{LinkError, MAX_MESSAGE_BYTES, decode, encode};
use agatestair_schema::link::{LinkMessage, ListsPush};
use proptest::prelude::*;

proptest! {
    #[test]
    fn messages_round_trip(revision: u64, document: String) {
        let message = LinkMessage::Lists(ListsPush { revision, document });
        let bytes = encode(&message).expect("encodes");
        prop_assert_eq!(decode(&bytes).expect("decodes"), message);
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes: Vec<u8>) {
        let _ = decode(&bytes);
    }

    #[test]
    fn altered_bytes_do_not_panic(at in 0usize..64, byte: u8, document in ".{0,40}") {
        let message = LinkMessage::Lists(ListsPush { revision: 1, document });
        let mut bytes = encode(&message).expect("encodes");
        let at = at % bytes.len();
        bytes[at] = byte;
        let _ = decode(&bytes);
    }
}

#[test]
fn oversized_messages_are_rejected() {
    let document = "x".repeat(MAX_MESSAGE_BYTES);
    let message = LinkMessage::Lists(ListsPush { revision: 1, document });
    assert!(matches!(encode(&message), Err(LinkError::TooLarge(_))));
}
