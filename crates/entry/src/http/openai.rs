//! OpenAI-compatible response formats.

use std::sync::Arc;

use agatestair_schema::caller::Usage;
use serde::Serialize;

/// Format and metadata shared by all events of one response.
#[derive(Clone, Debug)]
pub struct ResponseFormat {
    /// Whether it is a chat completion.
    pub chat: bool,
    /// Request identifier.
    pub id: Arc<str>,
    /// Model.
    pub model: Arc<str>,
    /// Creation time in seconds since the Unix epoch.
    pub created: u64,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
}

#[derive(Serialize)]
struct Envelope<'a, C> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [C; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct TextChoice<'a> {
    index: u32,
    text: &'a str,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct DeltaChoice<'a> {
    index: u32,
    delta: Message<'a>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct MessageChoice<'a> {
    index: u32,
    message: Message<'a>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Message<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    content: &'a str,
}

impl ResponseFormat {
    /// One event of a streamed response; the last one, with `finish`, gives the total `tokens`.
    pub fn event(&self, text: &str, first: bool, finish: Option<&str>, tokens: u32) -> Vec<u8> {
        let usage = finish.map(|_| self.usage(tokens));
        let mut event = b"data: ".to_vec();
        if self.chat {
            let delta = Message { role: first.then_some("assistant"), content: text };
            let choice = DeltaChoice { index: 0, delta, finish_reason: finish };
            self.write(&mut event, "chat.completion.chunk", choice, usage);
        } else {
            let choice = TextChoice { index: 0, text, finish_reason: finish };
            self.write(&mut event, "text_completion", choice, usage);
        }
        event.extend_from_slice(b"\n\n");
        event
    }

    /// Body of a complete response that is not streamed.
    pub fn full_body(&self, text: &str, finish: &str, tokens: u32) -> Vec<u8> {
        let usage = Some(self.usage(tokens));
        let mut body = Vec::new();
        if self.chat {
            let message = Message { role: Some("assistant"), content: text };
            let choice = MessageChoice { index: 0, message, finish_reason: Some(finish) };
            self.write(&mut body, "chat.completion", choice, usage);
        } else {
            let choice = TextChoice { index: 0, text, finish_reason: Some(finish) };
            self.write(&mut body, "text_completion", choice, usage);
        }
        body
    }

    fn usage(&self, tokens: u32) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: tokens,
            total_tokens: self.prompt_tokens.saturating_add(tokens),
        }
    }

    fn write<C: Serialize>(
        &self,
        out: &mut Vec<u8>,
        object: &'static str,
        choice: C,
        usage: Option<Usage>,
    ) {
        let envelope = Envelope {
            id: &self.id,
            object,
            created: self.created,
            model: &self.model,
            choices: [choice],
            usage,
        };
        serde_json::to_writer(out, &envelope).expect("wire types serialize to JSON");
    }
}
