//! Ledger in memory, for tests of its users.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use pistachiolug_wire::call::Response;

use crate::claim::{Claim, Claims, Decision, Error, Key};

/// Ledger that forgets with the process; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Memory {
    rows: Arc<Mutex<BTreeMap<Key, Row>>>,
}

#[derive(Debug)]
struct Row {
    claim: Claim,
    answer: Option<Response>,
}

impl Claims for Memory {
    async fn claim(&self, claim: &Claim) -> Result<Decision, Error> {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(row) = rows.get(&claim.key) else {
            let row = Row {
                claim: claim.clone(),
                answer: None,
            };
            rows.insert(claim.key.clone(), row);
            return Ok(Decision::Granted);
        };
        Ok(judge(row, claim))
    }

    async fn finish(&self, claim: &Claim, answer: &Response) -> Result<(), Error> {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(row) = rows.get_mut(&claim.key) {
            row.answer = Some(answer.clone());
        }
        Ok(())
    }

    async fn release(&self, claim: &Claim) -> Result<(), Error> {
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        if rows
            .get(&claim.key)
            .is_some_and(|row| is_own(&row.claim, claim) && row.answer.is_none())
        {
            rows.remove(&claim.key);
        }
        Ok(())
    }
}

fn judge(row: &Row, claim: &Claim) -> Decision {
    if row.claim.content != claim.content {
        return Decision::KeyReused;
    }
    if let Some(answer) = &row.answer {
        return Decision::Finished(answer.clone());
    }
    if is_own(&row.claim, claim) {
        return Decision::Granted;
    }
    Decision::Held(row.claim.clone())
}

/// Tells whether a claim comes from the process that made the row.
fn is_own(row: &Claim, claim: &Claim) -> bool {
    row.call == claim.call && row.holder == claim.holder && row.instance == claim.instance
}
