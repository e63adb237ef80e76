//! Usual JSON shapes of completions.

use filbertsail_api::{
    completion::{ChatChoice, ChatResponse, Choice, Message, Response, Usage},
    engine::Event,
};
use serde::Serialize;

use crate::{fault::Fault, generate::Output};

/// What all parts of an answer share.
#[derive(Clone, Debug)]
pub(super) struct Shape {
    pub(super) id: String,
    pub(super) model: String,
    pub(super) created: u64,
    pub(super) chat: bool,
    pub(super) prompt_tokens: u32,
}

impl Shape {
    /// Body of a whole answer.
    pub(super) fn whole(&self, output: &Output) -> Vec<u8> {
        self.body(&output.text, Some(&output.reason), Some(self.usage(output)), false)
    }

    fn usage(&self, output: &Output) -> Usage {
        Usage {
            completion_tokens: output.tokens,
            prompt_tokens: self.prompt_tokens,
            total_tokens: self.prompt_tokens.saturating_add(output.tokens),
        }
    }

    /// Event of one token.
    pub(super) fn token(&self, event: &Event) -> Vec<u8> {
        data(&self.body(&event.text, None, None, true))
    }

    /// Events that end a whole answer.
    pub(super) fn end(&self, output: &Output) -> Vec<u8> {
        let usage = self.usage(output);
        let mut bytes = data(&self.body("", Some(&output.reason), Some(usage), true));
        bytes.extend_from_slice(b"data: [DONE]\n\n");
        bytes
    }

    /// Event that ends an answer early.
    pub(super) fn fault(&self, fault: &Fault) -> Vec<u8> {
        let mut bytes = b"event: error\n".to_vec();
        bytes.extend(data(&fault.body(Some(&self.id))));
        bytes
    }

    fn body(&self, text: &str, reason: Option<&str>, usage: Option<Usage>, part: bool) -> Vec<u8> {
        let finish_reason = reason.map(str::to_owned);
        let (id, model, created) = (self.id.clone(), self.model.clone(), self.created);
        if !self.chat {
            let choices = vec![Choice { finish_reason, index: 0, text: text.to_owned() }];
            let object = "text_completion".to_owned();
            return encode(&Response { choices, created, id, model, object, usage });
        }
        let message = Message { role: "assistant".to_owned(), content: text.to_owned() };
        let (message, delta) = if part { (None, Some(message)) } else { (Some(message), None) };
        let choices = vec![ChatChoice { delta, finish_reason, index: 0, message }];
        let object = if part { "chat.completion.chunk" } else { "chat.completion" }.to_owned();
        encode(&ChatResponse { choices, created, id, model, object, usage })
    }
}

fn encode(body: &impl Serialize) -> Vec<u8> {
    // Strings and numbers always have a JSON form.
    serde_json::to_vec(body).unwrap_or_default()
}

fn data(json: &[u8]) -> Vec<u8> {
    [b"data: ", json, b"\n\n"].concat()
}
