//! Digests: what a collector forwards, and their wire format.
//!
//! A digest names each endpoint and service once, and refers to it by a small number everywhere
//! else: a collector sends hundreds of loads in one round.

use std::collections::HashMap;

use bincode::config::{Configuration, standard};
use bincode::de::Decoder;
use bincode::enc::write::Writer;
use bincode::enc::{Encoder, EncoderImpl};
use bincode::error::{DecodeError, EncodeError};
use bincode::{Decode, Encode};

use crate::datagram::{Identity, Pulse, PulseLimit, PulseLimits, PulseLoad};
use crate::pulse_crashes::{PulseCrash, PulseCrashes, PulseSurvival, PulseVerdict};

/// Reports that a collector forwards to its own failure domain or to the collectors of others.
#[derive(Clone, Debug, PartialEq)]
pub struct Digest {
    /// Hash of the collector's name.
    pub sender: u64,
    /// CPU share of the collector in thousandths of a core.
    pub weight: u32,
    /// Hash of the name of the collector's failure domain.
    pub domain: u64,
    /// Pulses of single instances.
    pub pulses: Vec<Pulse>,
    /// Sums over all instances of a domain.
    pub sums: Vec<DomainSums>,
    /// News that several instances may have reported.
    pub news: DigestNews,
}

/// Load of all instances of a failure domain, at the endpoints where it has changed lately.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainSums {
    /// Hash of the domain's name.
    pub domain: u64,
    /// Summed loads by endpoint.
    pub loads: Vec<PulseLoad>,
}

/// News about endpoints, merged over the instances that reported them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DigestNews {
    /// Rate limits that changed, each with the hash of the name of the instance that observed it.
    pub limits: Vec<(u64, PulseLimit)>,
    /// Crashes of endpoints, quarantined prompt parts and runs that survived.
    pub crashes: PulseCrashes,
}

impl DigestNews {
    /// Whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty() && self.crashes.is_empty()
    }

    /// Adds other news.
    pub fn append(&mut self, other: Self) {
        let Self { limits, crashes: PulseCrashes { crashes, verdicts, survivals } } = other;
        self.limits.extend(limits);
        self.crashes.crashes.extend(crashes);
        self.crashes.verdicts.extend(verdicts);
        self.crashes.survivals.extend(survivals);
    }
}

/// Encoded content of a digest.
#[derive(Clone, Debug, Default)]
pub struct Buffer(pub Vec<u8>);

impl Writer for Buffer {
    fn write(&mut self, bytes: &[u8]) -> Result<(), EncodeError> {
        self.0.extend_from_slice(bytes);
        Ok(())
    }
}

/// Encoder of the content of a digest.
pub type Body = EncoderImpl<Buffer, Configuration>;

/// Creates an encoder without content.
pub fn body() -> Body {
    EncoderImpl::new(Buffer::default(), standard())
}

/// Largest number of names whose positions take one byte; those of more names take two.
const NARROW_NAMES: usize = 256;

/// Bytes of a listed name.
const NAME_BYTES: usize = 8;

/// Hashes of names that a digest refers to by their position.
#[derive(Clone, Debug, Default)]
pub struct Names {
    list: Vec<u64>,
    positions: HashMap<u64, usize>,
    /// Number of references.
    references: usize,
    /// Whether positions take two bytes.
    wide: bool,
}

impl Names {
    fn new(list: Vec<u64>) -> Self {
        let wide = list.len() > NARROW_NAMES;
        Self { list, wide, ..Self::default() }
    }

    /// Number of names and of references.
    pub fn mark(&self) -> (usize, usize) {
        (self.list.len(), self.references)
    }

    /// Forgets the names and references that were added after a mark.
    pub fn reset(&mut self, (len, references): (usize, usize)) {
        self.references = references;
        for name in self.list.drain(len..) {
            self.positions.remove(&name);
        }
    }

    /// Bytes that the names take beside one byte for each reference.
    pub fn bytes(&self) -> usize {
        let wide = if self.list.len() > NARROW_NAMES { self.references } else { 0 };
        self.list.len() * NAME_BYTES + wide
    }

    fn put(&mut self, body: &mut Body, name: u64) -> Result<(), EncodeError> {
        let next = self.list.len();
        let position = *self.positions.entry(name).or_insert(next);
        if position == next {
            self.list.push(name);
        }
        self.references += 1;
        let bytes = (position as u16).to_le_bytes();
        body.writer().write(if self.wide { &bytes } else { &bytes[..1] })
    }

    fn take<D: Decoder>(&self, decoder: &mut D) -> Result<u64, DecodeError> {
        let position = if self.wide {
            u16::from_le_bytes(<[u8; 2]>::decode(decoder)?)
        } else {
            u8::decode(decoder)?.into()
        };
        let name = self.list.get(usize::from(position)).copied();
        name.ok_or(DecodeError::Other("position of a name that the digest does not list"))
    }
}

/// Bits of the byte that tells which parts of a pulse follow.
mod part {
    pub const READY: u8 = 1;
    pub const LEAVING: u8 = 2;
    pub const IDENTITY: u8 = 4;
    pub const LOADS: u8 = 8;
    pub const READS: u8 = 16;
    pub const LEAVERS: u8 = 32;
    pub const LIMITS: u8 = 64;
    pub const CRASHES: u8 = 128;
}

/// Encodes a pulse.
pub fn put_pulse(body: &mut Body, names: &mut Names, pulse: &Pulse) -> Result<(), EncodeError> {
    let bits = [
        (pulse.ready, part::READY),
        (pulse.leaving, part::LEAVING),
        (pulse.identity.is_some(), part::IDENTITY),
        (!pulse.loads.is_empty(), part::LOADS),
        (!pulse.reads.is_empty(), part::READS),
        (!pulse.leavers.is_empty(), part::LEAVERS),
        (pulse.limits.is_some(), part::LIMITS),
        (pulse.crashes.is_some(), part::CRASHES),
    ];
    let flags = bits.iter().filter(|(set, _)| *set).fold(0, |flags, (_, bit)| flags | bit);
    (flags, hash(pulse.sender), pulse.version).encode(body)?;
    if let Some(identity) = &pulse.identity {
        identity.encode(body)?;
    }
    if !pulse.loads.is_empty() {
        put_list(body, &pulse.loads, |body, load| put_load(body, names, load))?;
    }
    if !pulse.reads.is_empty() {
        put_list(body, &pulse.reads, |body, (endpoint, part, tokens)| {
            names.put(body, *endpoint)?;
            (hash(*part), *tokens).encode(body)
        })?;
    }
    if !pulse.leavers.is_empty() {
        put_list(body, &pulse.leavers, |body, (endpoint, born)| {
            names.put(body, *endpoint)?;
            born.encode(body)
        })?;
    }
    if let Some(limits) = &pulse.limits {
        limits.encode(body)?;
    }
    pulse.crashes.as_ref().map_or(Ok(()), |crashes| crashes.encode(body))
}

fn take_pulse<D: Decoder>(decoder: &mut D, names: &Names) -> Result<Pulse, DecodeError> {
    let (flags, sender, version) = <(u8, [u8; 8], u64)>::decode(decoder)?;
    let has = |bit: u8| flags & bit != 0;
    let identity = has(part::IDENTITY).then(|| decode_one::<Identity, D>(decoder)).transpose()?;
    let loads = has(part::LOADS).then(|| take_list(decoder, |decoder| take_load(decoder, names)));
    let loads = loads.transpose()?.unwrap_or_default();
    let reads = has(part::READS).then(|| {
        take_list(decoder, |decoder| {
            let endpoint = names.take(decoder)?;
            let (part, tokens) = <([u8; 8], u32)>::decode(decoder)?;
            Ok((endpoint, u64::from_le_bytes(part), tokens))
        })
    });
    let reads = reads.transpose()?.unwrap_or_default();
    let leavers = has(part::LEAVERS)
        .then(|| take_list(decoder, |decoder| Ok((names.take(decoder)?, u64::decode(decoder)?))));
    let leavers = leavers.transpose()?.unwrap_or_default();
    let limits = has(part::LIMITS).then(|| decode_one::<PulseLimits, D>(decoder)).transpose()?;
    let crashes = has(part::CRASHES).then(|| decode_one::<PulseCrashes, D>(decoder)).transpose()?;
    Ok(Pulse {
        sender: u64::from_le_bytes(sender),
        identity,
        ready: has(part::READY),
        leaving: has(part::LEAVING),
        version,
        loads,
        reads,
        leavers,
        limits,
        crashes,
    })
}

/// Encodes a load.
pub fn put_load(body: &mut Body, names: &mut Names, load: &PulseLoad) -> Result<(), EncodeError> {
    let PulseLoad { endpoint, attempts, unread, context, output, pace, age_ms } = *load;
    names.put(body, endpoint)?;
    (attempts, unread, context, output, pace, age_ms).encode(body)
}

fn take_load<D: Decoder>(decoder: &mut D, names: &Names) -> Result<PulseLoad, DecodeError> {
    let endpoint = names.take(decoder)?;
    let (attempts, unread, context, output, pace, age_ms) =
        <(u32, u32, u32, u32, u16, u16)>::decode(decoder)?;
    Ok(PulseLoad { endpoint, attempts, unread, context, output, pace, age_ms })
}

/// Encodes a limit and the instance that observed it.
pub fn put_limit(
    body: &mut Body,
    names: &mut Names,
    (observer, limit): &(u64, PulseLimit),
) -> Result<(), EncodeError> {
    let PulseLimit { endpoint, born, rate, age_ms } = *limit;
    names.put(body, endpoint)?;
    (hash(*observer), born, rate, age_ms).encode(body)
}

fn take_limit<D: Decoder>(
    decoder: &mut D,
    names: &Names,
) -> Result<(u64, PulseLimit), DecodeError> {
    let endpoint = names.take(decoder)?;
    let (observer, born, rate, age_ms) = <([u8; 8], u64, Option<u64>, u32)>::decode(decoder)?;
    Ok((u64::from_le_bytes(observer), PulseLimit { endpoint, born, rate, age_ms }))
}

/// Encodes a crash.
pub fn put_crash(
    body: &mut Body,
    names: &mut Names,
    crash: &PulseCrash,
) -> Result<(), EncodeError> {
    names.put(body, crash.endpoint)?;
    names.put(body, crash.service)?;
    (crash.born, crash.age_ms).encode(body)?;
    put_list(body, &crash.suspects, |body, suspect| hash(*suspect).encode(body))
}

fn take_crash<D: Decoder>(decoder: &mut D, names: &Names) -> Result<PulseCrash, DecodeError> {
    let (endpoint, service) = (names.take(decoder)?, names.take(decoder)?);
    let (born, age_ms) = <(u64, u32)>::decode(decoder)?;
    let suspects = take_list(decoder, |decoder| <[u8; 8]>::decode(decoder).map(u64::from_le_bytes));
    Ok(PulseCrash { endpoint, born, service, age_ms, suspects: suspects? })
}

/// Encodes a verdict.
pub fn put_verdict(
    body: &mut Body,
    names: &mut Names,
    verdict: &PulseVerdict,
) -> Result<(), EncodeError> {
    let PulseVerdict { service, part, age_ms, seen_ms, crashes } = *verdict;
    names.put(body, service)?;
    (hash(part), age_ms, seen_ms, crashes).encode(body)
}

fn take_verdict<D: Decoder>(decoder: &mut D, names: &Names) -> Result<PulseVerdict, DecodeError> {
    let service = names.take(decoder)?;
    let (part, age_ms, seen_ms, crashes) = <([u8; 8], u32, u32, u32)>::decode(decoder)?;
    Ok(PulseVerdict { service, part: u64::from_le_bytes(part), age_ms, seen_ms, crashes })
}

/// Encodes a survival.
pub fn put_survival(
    body: &mut Body,
    names: &mut Names,
    survival: &PulseSurvival,
) -> Result<(), EncodeError> {
    names.put(body, survival.service)?;
    (hash(survival.part), survival.age_ms).encode(body)
}

fn take_survival<D: Decoder>(decoder: &mut D, names: &Names) -> Result<PulseSurvival, DecodeError> {
    let service = names.take(decoder)?;
    let (part, age_ms) = <([u8; 8], u32)>::decode(decoder)?;
    Ok(PulseSurvival { service, part: u64::from_le_bytes(part), age_ms })
}

impl Digest {
    /// Encodes the content, and lists its names.
    fn put_content(&self, names: &mut Names) -> Result<Buffer, EncodeError> {
        let mut body = body();
        put_list(&mut body, &self.pulses, |body, pulse| put_pulse(body, names, pulse))?;
        put_list(&mut body, &self.sums, |body, sums| {
            hash(sums.domain).encode(body)?;
            put_list(body, &sums.loads, |body, load| put_load(body, names, load))
        })?;
        let DigestNews { limits, crashes: PulseCrashes { crashes, verdicts, survivals } } =
            &self.news;
        put_list(&mut body, limits, |body, limit| put_limit(body, names, limit))?;
        put_list(&mut body, crashes, |body, crash| put_crash(body, names, crash))?;
        put_list(&mut body, verdicts, |body, verdict| put_verdict(body, names, verdict))?;
        put_list(&mut body, survivals, |body, survival| put_survival(body, names, survival))?;
        Ok(body.into_writer())
    }
}

impl Encode for Digest {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        let mut names = Names::default();
        let mut content = self.put_content(&mut names)?;
        if names.list.len() > NARROW_NAMES {
            names.wide = true;
            content = self.put_content(&mut names)?;
        }
        (hash(self.sender), self.weight, hash(self.domain)).encode(encoder)?;
        put_list(encoder, &names.list, |encoder, name| hash(*name).encode(encoder))?;
        encoder.writer().write(&content.0)
    }
}

impl<Context> Decode<Context> for Digest {
    fn decode<D: Decoder<Context = Context>>(decoder: &mut D) -> Result<Self, DecodeError> {
        let (sender, weight, domain) = <([u8; 8], u32, [u8; 8])>::decode(decoder)?;
        let list =
            take_list(decoder, |decoder| <[u8; 8]>::decode(decoder).map(u64::from_le_bytes))?;
        let names = &Names::new(list);
        Ok(Self {
            sender: u64::from_le_bytes(sender),
            weight,
            domain: u64::from_le_bytes(domain),
            pulses: take_list(decoder, |decoder| take_pulse(decoder, names))?,
            sums: take_list(decoder, |decoder| {
                let domain = u64::from_le_bytes(<[u8; 8]>::decode(decoder)?);
                let loads = take_list(decoder, |decoder| take_load(decoder, names))?;
                Ok(DomainSums { domain, loads })
            })?,
            news: DigestNews {
                limits: take_list(decoder, |decoder| take_limit(decoder, names))?,
                crashes: PulseCrashes {
                    crashes: take_list(decoder, |decoder| take_crash(decoder, names))?,
                    verdicts: take_list(decoder, |decoder| take_verdict(decoder, names))?,
                    survivals: take_list(decoder, |decoder| take_survival(decoder, names))?,
                },
            },
        })
    }
}

bincode::impl_borrow_decode!(Digest);

/// Bytes of a hash. As a number it would take one byte more, since it is rarely small.
fn hash(value: u64) -> [u8; 8] {
    value.to_le_bytes()
}

fn decode_one<T: Decode<D::Context>, D: Decoder>(decoder: &mut D) -> Result<T, DecodeError> {
    T::decode(decoder)
}

fn put_list<T, E: Encoder>(
    encoder: &mut E,
    list: &[T],
    mut put: impl FnMut(&mut E, &T) -> Result<(), EncodeError>,
) -> Result<(), EncodeError> {
    (list.len() as u64).encode(encoder)?;
    list.iter().try_for_each(|item| put(encoder, item))
}

/// Decodes a list. No memory is reserved for its announced length, which may be wrong.
fn take_list<T, D: Decoder>(
    decoder: &mut D,
    mut take: impl FnMut(&mut D) -> Result<T, DecodeError>,
) -> Result<Vec<T>, DecodeError> {
    let length = u64::decode(decoder)?;
    (0..length).map(|_| take(decoder)).collect()
}
