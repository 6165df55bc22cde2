//! Mutual authentication by a shared key.
//!
//! The dialling end sends a nonce, the accepting end replies with its own nonce and a proof, and
//! the dialling end replies with its proof. A proof is an HMAC-SHA256 over the sender's role in the
//! handshake, both nonces and the sender's identity, so that no proof can be replayed.

use std::sync::Arc;

use agatestair_schema::LINK_VERSION;
use agatestair_schema::link::{Hello, LinkMessage};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::error::LinkError;
use crate::frame::{FrameReader, FrameWriter};
use crate::peer::{Peer, PeerRole};

/// Keys of the deployment. An empty current key disables authentication.
#[derive(Clone, Default)]
pub struct Keys {
    /// Key used for proofs.
    pub current: Arc<str>,
    /// Another key whose proofs are accepted, during key rotation; empty for none.
    pub previous: Arc<str>,
}

/// Identity sent to peers.
#[derive(Clone)]
pub struct Identity {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Identifier of this run of the process.
    pub boot: Arc<str>,
    /// Type of process.
    pub role: PeerRole,
}

/// End of the handshake that computes a proof.
#[derive(Clone, Copy)]
enum End {
    Dialler,
    Acceptor,
}

/// Nonces of both ends.
struct Nonces<'a> {
    dialler: &'a str,
    acceptor: &'a str,
}

/// Performs the handshake as the dialling end.
pub async fn dialler_handshake(
    reader: &mut FrameReader,
    writer: &mut FrameWriter,
    identity: &Identity,
    keys: &Keys,
) -> Result<Arc<Peer>, LinkError> {
    let mut own = new_hello(identity);
    writer.write_message(&LinkMessage::Hello(own.clone())).await?;
    let peer_hello = read_hello(reader).await?;
    let nonces = Nonces { dialler: &own.nonce, acceptor: &peer_hello.nonce };
    verify_proof(keys, End::Acceptor, &nonces, &peer_hello)?;
    let proof = compute_proof(&keys.current, End::Dialler, &nonces, &own);
    own.proof = proof;
    writer.write_message(&LinkMessage::Hello(own)).await?;
    Ok(Arc::new(Peer::try_from(&peer_hello)?))
}

/// Performs the handshake as the accepting end.
pub async fn acceptor_handshake(
    reader: &mut FrameReader,
    writer: &mut FrameWriter,
    identity: &Identity,
    keys: &Keys,
) -> Result<Arc<Peer>, LinkError> {
    let first = read_hello(reader).await?;
    let mut own = new_hello(identity);
    let nonces = Nonces { dialler: &first.nonce, acceptor: &own.nonce };
    let proof = compute_proof(&keys.current, End::Acceptor, &nonces, &own);
    let acceptor = own.nonce.clone();
    own.proof = proof;
    writer.write_message(&LinkMessage::Hello(own)).await?;
    let second = read_hello(reader).await?;
    let nonces = Nonces { dialler: &first.nonce, acceptor: &acceptor };
    verify_proof(keys, End::Dialler, &nonces, &second)?;
    Ok(Arc::new(Peer::try_from(&second)?))
}

fn new_hello(identity: &Identity) -> Hello {
    Hello {
        version: LINK_VERSION,
        instance: identity.instance.to_string(),
        domain: identity.domain.to_string(),
        boot: identity.boot.to_string(),
        role: identity.role.name().to_owned(),
        nonce: format!("{:032x}", rand::random::<u128>()),
        proof: String::new(),
    }
}

async fn read_hello(reader: &mut FrameReader) -> Result<Hello, LinkError> {
    match reader.read_message().await? {
        LinkMessage::Hello(hello) => Ok(hello),
        _ => Err(LinkError::Malformed("expected a handshake message".to_owned())),
    }
}

fn verify_proof(
    keys: &Keys,
    end: End,
    nonces: &Nonces<'_>,
    hello: &Hello,
) -> Result<(), LinkError> {
    if keys.current.is_empty() {
        return Ok(());
    }
    let accepted = [&keys.current, &keys.previous].into_iter().any(|key| {
        let expected = compute_proof(key, end, nonces, hello);
        !key.is_empty() && bool::from(expected.as_bytes().ct_eq(hello.proof.as_bytes()))
    });
    if accepted { Ok(()) } else { Err(LinkError::Unauthenticated) }
}

fn compute_proof(key: &str, end: End, nonces: &Nonces<'_>, hello: &Hello) -> String {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(key.as_bytes()).expect("HMAC accepts any key length");
    let end = match end {
        End::Dialler => "dialler",
        End::Acceptor => "acceptor",
    };
    let fields =
        [end, nonces.dialler, nonces.acceptor, &hello.instance, &hello.domain, &hello.boot];
    for field in fields.into_iter().chain([hello.role.as_str()]) {
        mac.update(&(field.len() as u64).to_be_bytes());
        mac.update(field.as_bytes());
    }
    let digest = mac.finalize().into_bytes();
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
