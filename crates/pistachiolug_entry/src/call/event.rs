//! Handling of the events that an agent sends for a call.

use pistachiolug_wire::{
    call::{Body, Work},
    fault::{Code, Fault},
};

use super::{Call, Part};

impl Call {
    /// Handles an event; returns `None` if it holds nothing for the caller.
    pub(super) async fn handle_event(&mut self, body: Body) -> Result<Option<Part>, Fault> {
        match body {
            Body::Heartbeat(load) => {
                if let Some(attempt) = &self.attempt {
                    self.runner
                        .router
                        .record_load(&attempt.assignment.name, &load);
                }
                Ok(None)
            }
            Body::Started { version } => self.record_start(version),
            Body::Tokens(tokens) => match self.progress.record_tokens(tokens) {
                Ok(texts) if texts.is_empty() => Ok(None),
                Ok(texts) => {
                    self.joins_since_token = 0;
                    self.runner.metrics.sent_tokens.inc_by(texts.len() as u64);
                    Ok(Some(Part::Text(texts)))
                }
                Err(error) => self.recover(&error.to_string()).await.map(|()| None),
            },
            Body::Response(response) => {
                self.record_answer();
                Ok(Some(Part::Response(response)))
            }
            Body::Finished(finish) => match self.progress.check_finish(&finish) {
                Ok(()) => {
                    if let Some(attempt) = &self.attempt {
                        self.runner
                            .router
                            .record_load(&attempt.assignment.name, &finish.load);
                    }
                    self.record_answer();
                    Ok(Some(Part::Finished(finish)))
                }
                Err(error) => self.recover(&error.to_string()).await.map(|()| None),
            },
            Body::Failed(fault) => self.handle_fault(fault).await.map(|()| None),
            Body::Elsewhere(elsewhere) => self.join_earlier_call(&elsewhere).await.map(|()| None),
        }
    }

    fn record_start(&mut self, version: String) -> Result<Option<Part>, Fault> {
        match self.progress.record_start(&version) {
            Ok(true) => {
                if let Work::Model(generation) = &mut self.open.work {
                    generation.version.clone_from(&version);
                }
                Ok(Some(Part::Started(version)))
            }
            Ok(false) => Ok(None),
            Err(error) => Err(Fault::unknown(Code::BackendFailed, &error.to_string())),
        }
    }

    fn record_answer(&mut self) {
        self.attempt = None;
        self.runner.metrics.record_answer();
    }
}
