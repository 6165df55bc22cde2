//! Token counts and block hashes of prompts, and the expected output of the stand-in engines.

use crate::caller::ChatMessage;

/// Bytes of text counted as one token.
pub const BYTES_PER_TOKEN: usize = 4;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Estimates the number of tokens of a text, at least 1.
pub fn count_tokens(text: &str) -> u32 {
    let count = text.len().div_ceil(BYTES_PER_TOKEN).max(1);
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Converts a chat to a prompt: one line `role: content` per message, then `assistant:`.
pub fn chat_prompt(messages: &[ChatMessage]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        prompt.push_str(&message.content);
        prompt.push('\n');
    }
    prompt.push_str("assistant:");
    prompt
}

/// Hashes every full block of the prompt together with the model and all preceding blocks.
///
/// `block_tokens` is the engine's block size in tokens. A partial last block is omitted.
pub fn prefix_blocks(model: &str, prompt: &str, block_tokens: u32) -> Vec<u64> {
    let block_bytes = block_tokens as usize * BYTES_PER_TOKEN;
    let mut hash = extend_hash(FNV_OFFSET, model.as_bytes());
    prompt
        .as_bytes()
        .chunks_exact(block_bytes.max(1))
        .map(|block| {
            hash = extend_hash(hash, block);
            hash
        })
        .collect()
}

/// Token `index` of the text that a stand-in engine generates for `prompt`, with leading space.
pub fn answer_token(model: &str, prompt: &str, index: u32) -> String {
    let seed = extend_hash(extend_hash(FNV_OFFSET, model.as_bytes()), prompt.as_bytes());
    token_of(seed, index)
}

/// The first `count` tokens of the text that a stand-in engine generates for `prompt`.
pub fn answer_text(model: &str, prompt: &str, count: u32) -> String {
    let seed = extend_hash(extend_hash(FNV_OFFSET, model.as_bytes()), prompt.as_bytes());
    (0..count).map(|index| token_of(seed, index)).collect()
}

fn token_of(seed: u64, index: u32) -> String {
    let hash = extend_hash(seed, &index.to_le_bytes());
    format!(" {:05x}", hash & 0xf_ffff)
}

fn extend_hash(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}
