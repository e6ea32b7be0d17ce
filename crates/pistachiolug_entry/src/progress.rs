//! What a caller has been given of a generated answer.

use pistachiolug_wire::call::{Finish, Tokens};
use snafu::Snafu;

/// Progress of one answer.
///
/// Tokens leave it in order, each once, and all from one version.
#[derive(Debug, Default)]
pub struct Progress {
    /// Version that answers; `None` before the start.
    version: Option<String>,
    /// Number of tokens given out.
    reached: u32,
    /// Text of those tokens.
    text: String,
}

/// Reports an event that does not continue the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Tokens are missing before the event.
    #[snafu(display("tokens are missing"))]
    Gap,
    /// The event is of another version.
    #[snafu(display("another version answers"))]
    VersionChanged,
    /// Tokens came before the start.
    #[snafu(display("tokens before the start"))]
    NotStarted,
}

impl Progress {
    /// Takes a start; `true` for the first one of the answer.
    ///
    /// # Errors
    /// [`Error::VersionChanged`].
    pub fn record_start(&mut self, version: &str) -> Result<bool, Error> {
        match &self.version {
            None => {
                self.version = Some(version.to_owned());
                Ok(true)
            }
            Some(known) if known == version => Ok(false),
            Some(_) => Err(Error::VersionChanged),
        }
    }

    /// Takes tokens and returns those that were not given out before.
    ///
    /// # Errors
    /// [`Error::Gap`] and [`Error::NotStarted`]; nothing is then taken.
    pub fn record_tokens(&mut self, tokens: Tokens) -> Result<Vec<String>, Error> {
        if self.version.is_none() {
            return Err(Error::NotStarted);
        }
        let Some(doubled) = self.reached.checked_sub(tokens.at) else {
            return Err(Error::Gap);
        };
        let texts = tokens.texts.into_iter();
        let new: Vec<String> = texts.skip(doubled as usize).collect();
        self.reached += new.len() as u32;
        self.text.extend(new.iter().map(String::as_str));
        Ok(new)
    }

    /// Checks that the answer's end comes right after the last token given out.
    ///
    /// # Errors
    /// [`Error::Gap`] and [`Error::NotStarted`].
    pub fn check_finish(&self, finish: &Finish) -> Result<(), Error> {
        if self.version.is_none() {
            return Err(Error::NotStarted);
        }
        if finish.tokens == self.reached {
            Ok(())
        } else {
            Err(Error::Gap)
        }
    }

    /// Returns the version that answers.
    pub fn version(&self) -> Option<&str> {
        self.version.as_deref()
    }

    /// Returns the number of tokens given out.
    pub fn sent_tokens(&self) -> u32 {
        self.reached
    }

    /// Returns the text given out.
    pub fn text(&self) -> &str {
        &self.text
    }
}
