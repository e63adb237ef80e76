//! JSON encoding of completion responses and events.

use filbertsail_api::{
    completion::{ChatChoice, ChatResponse, Choice, Message, Response, Usage},
    engine::Event,
};
use serde::Serialize;

use crate::{fault::Fault, generate::Output};

/// Encoder of one completion; holds the values that all its events repeat.
#[derive(Clone, Debug)]
pub(super) struct Encoder {
    pub(super) id: String,
    pub(super) model: String,
    pub(super) created: u64,
    pub(super) chat: bool,
    pub(super) prompt_tokens: u32,
}

impl Encoder {
    /// Body of a complete response.
    pub(super) fn response(&self, output: &Output) -> Vec<u8> {
        self.body(&output.text, Some(&output.reason), Some(self.usage(output)), false)
    }

    fn usage(&self, output: &Output) -> Usage {
        Usage {
            completion_tokens: output.tokens,
            prompt_tokens: self.prompt_tokens,
            total_tokens: self.prompt_tokens.saturating_add(output.tokens),
        }
    }

    /// Event of a single token.
    pub(super) fn token_event(&self, event: &Event) -> Vec<u8> {
        data_event(&self.body(&event.text, None, None, true))
    }

    /// Events at the end of a complete output.
    pub(super) fn end_events(&self, output: &Output) -> Vec<u8> {
        let usage = self.usage(output);
        let mut bytes = data_event(&self.body("", Some(&output.reason), Some(usage), true));
        bytes.extend_from_slice(b"data: [DONE]\n\n");
        bytes
    }

    /// Event that ends an incomplete output.
    pub(super) fn fault_event(&self, fault: &Fault) -> Vec<u8> {
        let mut bytes = b"event: error\n".to_vec();
        bytes.extend(data_event(&fault.body(Some(&self.id))));
        bytes
    }

    fn body(
        &self,
        text: &str,
        reason: Option<&str>,
        usage: Option<Usage>,
        is_chunk: bool,
    ) -> Vec<u8> {
        let finish_reason = reason.map(str::to_owned);
        let (id, model, created) = (self.id.clone(), self.model.clone(), self.created);
        if !self.chat {
            let choices = vec![Choice { finish_reason, index: 0, text: text.to_owned() }];
            let object = "text_completion".to_owned();
            return to_json(&Response { choices, created, id, model, object, usage });
        }
        let message = Message { role: "assistant".to_owned(), content: text.to_owned() };
        let (message, delta) = if is_chunk { (None, Some(message)) } else { (Some(message), None) };
        let choices = vec![ChatChoice { delta, finish_reason, index: 0, message }];
        let object = if is_chunk { "chat.completion.chunk" } else { "chat.completion" }.to_owned();
        to_json(&ChatResponse { choices, created, id, model, object, usage })
    }
}

fn to_json(body: &impl Serialize) -> Vec<u8> {
    // Cannot fail: the fields are strings and numbers only.
    serde_json::to_vec(body).unwrap_or_default()
}

fn data_event(json: &[u8]) -> Vec<u8> {
    [b"data: ", json, b"\n\n"].concat()
}
