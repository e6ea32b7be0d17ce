//! Transfer of a version's pieces to an agent: digests, verification of what is staged, and fetches.

use std::rc::Rc;

use pistachiolug_http::client::Client;

use crate::{
    engine::{Engine, Error, Origin},
    exchange::Exchange,
    fetch::Fetcher,
    manifest::{Manifest, ManifestReader},
    staged::StagedVersion,
    state::{State, Target},
};

/// What transfers of an agent need; clones share the state and the connections.
#[derive(Debug, Clone)]
pub struct Transfer<E, O> {
    /// State of the agent.
    pub state: Rc<State>,
    /// Engine at which pieces are staged.
    pub engine: E,
    /// Origin of weights.
    pub origin: O,
    /// HTTP client for other agents.
    pub client: Client,
    /// Datagram exchange with other agents.
    pub exchange: Exchange,
}

impl<E: Engine, O: Origin> Transfer<E, O> {
    /// Returns the record of a version's pieces. If there is none yet, it is created from the pieces that the engine has
    /// staged.
    pub async fn staged_version(&self, target: &Target) -> Result<Rc<StagedVersion>, Error> {
        if self.state.should_announce(target.version) {
            self.exchange.announce(&target.model, target.version);
        }
        if let Some(staged) = self.state.staged(&target.model, target.version) {
            return Ok(staged);
        }
        let manifest = self.read_manifest(target).await?;
        let staged = Rc::new(StagedVersion::new(target, manifest, self.state.clock()));
        self.verify_staged(&staged).await?;
        log::info!(model = target.model.as_str(), version = target.version, missing = staged.missing().len(); "staged pieces verified");
        if staged.is_whole() && self.state.loaded_version() < Some(target.version) {
            let now = self.state.now();
            self.state.orders.borrow_mut().adopt(target.version, now);
        }
        self.state.shelf.add(Rc::clone(&staged));
        Ok(staged)
    }

    /// Reads the digests of a version's pieces.
    pub async fn read_manifest(&self, target: &Target) -> Result<Manifest, Error> {
        let origin = self.state.origin().ok_or_else(|| Error::Failed {
            reason: "no origin of weights is configured".to_owned(),
        })?;
        let reader = ManifestReader {
            state: &self.state,
            origin: &self.origin,
            client: &self.client,
            address: origin.address,
        };
        reader.read(target).await
    }

    /// Reads all staged pieces, verifies them and updates the record; pieces that have become corrupt count as missing.
    pub async fn verify_staged(&self, staged: &StagedVersion) -> Result<(), Error> {
        for index in 0..staged.manifest.digests.len() {
            self.verify_piece(&self.engine, staged, index).await?;
        }
        Ok(())
    }

    /// Reads a staged piece through `engine`, verifies it and updates the record. Returns whether it is whole.
    pub async fn verify_piece(
        &self,
        engine: &E,
        staged: &StagedVersion,
        index: usize,
    ) -> Result<bool, Error> {
        let bytes = engine.read_staged(&staged.model, index).await?;
        let whole = bytes.is_some_and(|bytes| staged.manifest.matches(index, &bytes));
        match (staged.is_staged(index), whole) {
            (true, false) => {
                self.state.metrics.pieces.get("spoilt").inc();
                log::warn!(model = staged.model.as_str(), version = staged.version, index; "staged piece has become corrupt");
                staged.set_staged(index, false);
            }
            (false, true) => {
                self.state.metrics.pieces.get("staged").inc();
                staged.set_staged(index, true);
            }
            (true, true) | (false, false) => {}
        }
        Ok(whole)
    }

    /// Stages the pieces that are kept in memory, as long as the engine does not need those of another version.
    pub async fn stage_buffered(&self, staged: &Rc<StagedVersion>) -> Result<(), Error> {
        let state = &self.state;
        while let Some((index, bytes)) = staged.first_unstaged() {
            let permit = state.stage.permit().await;
            if !state.may_stage(staged.version) {
                return Ok(());
            }
            let write = state
                .stage
                .write(permit, &self.engine, &state.shelf, staged, index, bytes);
            write.await?;
            staged.drop_buffered(index);
        }
        Ok(())
    }

    /// Fetches all missing pieces of a version, or waits for the fetch that is under way.
    ///
    /// # Errors
    /// [`Error`] after too many corrupt pieces; the digests are then read again.
    pub async fn fetch_missing(
        &self,
        target: &Target,
        staged: &Rc<StagedVersion>,
    ) -> Result<(), Error> {
        let _turn = staged.fetch_turn().await;
        let missing = staged.missing().len();
        if missing == 0 {
            return Ok(());
        }
        let start = self.state.now();
        let fetcher = Fetcher {
            state: &self.state,
            engine: &self.engine,
            origin: &self.origin,
            client: &self.client,
            exchange: &self.exchange,
            target,
        };
        let mut reports = self.exchange.subscribe(&target.model, target.version);
        let whole = fetcher.run(staged, &mut reports).await;
        let taken_ms = (self.state.now().saturating_sub(start)).as_millis() as u64;
        log::info!(model = target.model.as_str(), version = target.version, missing, whole, taken_ms; "pieces fetched");
        if whole {
            return Ok(());
        }
        // The manifest itself may be wrong: drop it so that the next attempt reads it again.
        self.state.shelf.remove(&target.model, target.version);
        Err(Error::Failed {
            reason: "fetch ended after too many corrupt pieces".to_owned(),
        })
    }
}
