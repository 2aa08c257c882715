//! Model and size of a prompt, which are known before it runs.

use crate::name::Name;

crate::record! {
    /// Model and size of a request to an engine.
    pub struct Prompt {
        /// Name of the base model.
        pub model: Name,
        /// Name of the adapter, if the request has one.
        pub adapter: Option<Name>,
        /// Number of prompt tokens.
        pub prompt_tokens: u64,
        /// Maximum number of tokens to generate.
        pub answer_tokens: u64,
        /// Parts in the order of prefill. Requests share parts: an engine that has cached a part and all
        /// parts before it for the same adapter does not prefill the part again.
        pub parts: Vec<PromptPart>,
    }

    /// Part of a prompt.
    pub struct PromptPart {
        /// Identifier of the part's text.
        pub id: u64,
        /// Length in tokens.
        pub tokens: u64,
    }
}

impl Prompt {
    /// Returns the base model and the adapter; `None` if the request has no adapter.
    pub fn adapter_key(&self) -> Option<(Name, Name)> {
        let adapter = self.adapter.clone()?;
        Some((self.model.clone(), adapter))
    }

    /// Returns the number of tokens charged for the request: prompt tokens and the maximum number of
    /// generated tokens.
    pub fn charged_tokens(&self) -> u64 {
        self.prompt_tokens + self.answer_tokens
    }
}
