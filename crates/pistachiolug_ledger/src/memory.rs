//! In-memory ledger for tests.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use pistachiolug_wire::call::Response;

use crate::claim::{Claim, Claims, Decision, Error, Key};

/// Ledger without persistence; clones share the same claims.
#[derive(Debug, Clone, Default)]
pub struct Memory {
    rows: Arc<Mutex<BTreeMap<Key, Row>>>,
}

#[derive(Debug)]
struct Row {
    claim: Claim,
    response: Option<Response>,
}

impl Claims for Memory {
    async fn claim(&self, claim: &Claim) -> Result<Decision, Error> {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(row) = rows.get(&claim.key) else {
            let row = Row {
                claim: claim.clone(),
                response: None,
            };
            rows.insert(claim.key.clone(), row);
            return Ok(Decision::Granted);
        };
        Ok(decide(row, claim))
    }

    async fn finish(&self, claim: &Claim, response: &Response) -> Result<(), Error> {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(row) = rows.get_mut(&claim.key) {
            row.response = Some(response.clone());
        }
        Ok(())
    }

    async fn release(&self, claim: &Claim) -> Result<(), Error> {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        if rows
            .get(&claim.key)
            .is_some_and(|row| is_own(&row.claim, claim) && row.response.is_none())
        {
            rows.remove(&claim.key);
        }
        Ok(())
    }
}

fn decide(row: &Row, claim: &Claim) -> Decision {
    if row.claim.content != claim.content {
        return Decision::KeyReused;
    }
    if let Some(response) = &row.response {
        return Decision::Finished(response.clone());
    }
    if is_own(&row.claim, claim) {
        return Decision::Granted;
    }
    Decision::Held(row.claim.clone())
}

/// Returns whether a claim repeats the one that created the row, by the same process.
fn is_own(row: &Claim, claim: &Claim) -> bool {
    row.call == claim.call && row.holder == claim.holder && row.instance == claim.instance
}
