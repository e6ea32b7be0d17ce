//! Events of an agent as they continue or end an answer.

use pistachiolug_wire::{
    call::{Body, Work},
    fault::{Code, Fault},
};

use super::{Call, Part};

impl Call {
    /// Takes an event; `None` if it brings the caller nothing.
    pub(super) async fn take(&mut self, body: Body) -> Result<Option<Part>, Fault> {
        match body {
            Body::Heartbeat(load) => {
                if let Some(place) = &self.place {
                    self.runner.router.record_load(&place.ticket.name, &load);
                }
                Ok(None)
            }
            Body::Started { version } => self.start(version),
            Body::Tokens(tokens) => match self.progress.record_tokens(tokens) {
                Ok(texts) if texts.is_empty() => Ok(None),
                Ok(texts) => {
                    self.joins = 0;
                    self.runner.metrics.sent_tokens.inc_by(texts.len() as u64);
                    Ok(Some(Part::Text(texts)))
                }
                Err(error) => self.recover(&error.to_string()).await.map(|()| None),
            },
            Body::Response(response) => {
                self.end();
                Ok(Some(Part::Response(response)))
            }
            Body::Finished(finish) => match self.progress.check_finish(&finish) {
                Ok(()) => {
                    if let Some(place) = &self.place {
                        self.runner
                            .router
                            .record_load(&place.ticket.name, &finish.load);
                    }
                    self.end();
                    Ok(Some(Part::Finished(finish)))
                }
                Err(error) => self.recover(&error.to_string()).await.map(|()| None),
            },
            Body::Failed(fault) => self.refused(fault).await.map(|()| None),
            Body::Elsewhere(elsewhere) => self.follow(&elsewhere).await.map(|()| None),
        }
    }

    fn start(&mut self, version: String) -> Result<Option<Part>, Fault> {
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

    fn end(&mut self) {
        self.place = None;
        self.runner.metrics.record_answer();
    }
}
