//! Progress of a generated answer toward the caller.

use pistachiolug_wire::call::{Finish, Tokens};
use snafu::Snafu;

/// Part of one answer that the caller has.
///
/// It passes on each token once, in order, and only tokens of one model version, also when the call is joined or
/// resumed and tokens arrive twice.
#[derive(Debug, Default)]
pub struct Progress {
    /// Model version that generates the answer; `None` before the start.
    version: Option<String>,
    /// Number of tokens passed on to the caller.
    sent_tokens: u32,
    /// Text of those tokens, which a resume sends along.
    sent_text: String,
}

/// Error of an event that does not continue the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Tokens between those sent and the event are missing.
    #[snafu(display("tokens are missing"))]
    Gap,
    /// The event belongs to an answer by another model version.
    #[snafu(display("another version answers"))]
    VersionChanged,
    /// Tokens or the end arrived before the start.
    #[snafu(display("tokens before the start"))]
    NotStarted,
}

impl Progress {
    /// Records a start; returns `true` for the first one of the answer.
    ///
    /// # Errors
    /// Returns [`Error::VersionChanged`] if an earlier start was of another version.
    pub fn record_start(&mut self, version: &str) -> Result<bool, Error> {
        match &self.version {
            None => {
                self.version = Some(version.to_owned());
                Ok(true)
            }
            Some(first) if first == version => Ok(false),
            Some(_) => Err(Error::VersionChanged),
        }
    }

    /// Records tokens and returns those that the caller does not have yet.
    ///
    /// # Errors
    /// Returns [`Error::Gap`] or [`Error::NotStarted`], and records nothing.
    pub fn record_tokens(&mut self, tokens: Tokens) -> Result<Vec<String>, Error> {
        if self.version.is_none() {
            return Err(Error::NotStarted);
        }
        let Some(already_sent) = self.sent_tokens.checked_sub(tokens.at) else {
            return Err(Error::Gap);
        };
        let texts = tokens.texts.into_iter();
        let new_texts: Vec<String> = texts.skip(already_sent as usize).collect();
        self.sent_tokens += new_texts.len() as u32;
        self.sent_text.extend(new_texts.iter().map(String::as_str));
        Ok(new_texts)
    }

    /// Checks that the answer ends right after the last token that was sent.
    ///
    /// # Errors
    /// Returns [`Error::Gap`] or [`Error::NotStarted`].
    pub fn check_finish(&self, finish: &Finish) -> Result<(), Error> {
        if self.version.is_none() {
            return Err(Error::NotStarted);
        }
        if finish.tokens == self.sent_tokens {
            Ok(())
        } else {
            Err(Error::Gap)
        }
    }

    /// Returns the model version that generates the answer; `None` before the start.
    pub fn version(&self) -> Option<&str> {
        self.version.as_deref()
    }

    /// Returns the number of tokens sent to the caller.
    pub fn sent_tokens(&self) -> u32 {
        self.sent_tokens
    }

    /// Returns the text of the tokens sent to the caller.
    pub fn sent_text(&self) -> &str {
        &self.sent_text
    }
}
