//! Work of an operator on a deployment: uploads of weights and changes of the lists.

use std::io;

use http::Method;
use pistachiolug_lists::{
    customer::Customer,
    key,
    plan::{Model, Plan, Replicas, Service},
    row::{Kind, Name},
};
use pistachiolug_platform::kv::{self, Precondition, Store, etcd::Etcd};
use pistachiolug_weights::manifest::{self, Manifest};
use pistachiolug_wire::digest::Digest;
use serde::Serialize;
use tokio::time::sleep;

use super::deployment::{CHUNK_BYTES, Deployment, PAID_KEY, TRIAL_KEY};

impl Deployment {
    /// Uploads weights to the origin in chunks and returns the digest of their manifest.
    ///
    /// # Errors
    /// Returns the error of the request.
    pub async fn upload(
        &self,
        model: &str,
        version: &str,
        weights: &[u8],
        chunk_bytes: usize,
    ) -> io::Result<Digest> {
        let manifest = Manifest::build(model, version, weights, chunk_bytes);
        for chunk in weights.chunks(chunk_bytes) {
            let name = manifest::chunk_object(&Digest::of(chunk));
            self.put_object(&name, chunk.to_vec()).await?;
        }
        let text = manifest.render();
        let digest = Digest::of(&text);
        self.put_object(&manifest::object(&digest), text).await?;
        Ok(digest)
    }

    /// Writes the sample lists: a paid and a trial plan with one customer each, a model and a plain service.
    ///
    /// # Errors
    /// Returns the error of the first write.
    pub async fn write_sample_rows(&self, version: &str, manifest: Digest) -> io::Result<()> {
        self.write_share("paid", 3).await?;
        self.write_share("trial", 1).await?;
        for (name, bearer) in [("paid", PAID_KEY), ("trial", TRIAL_KEY)] {
            let customer = Customer {
                name: name.to_owned(),
                plan: name.to_owned(),
                keys: vec![key::digest(bearer)],
                tokens_per_minute: 0,
            };
            self.write_row(Kind::Customers, name, &customer).await?;
        }
        let service = Service {
            name: "booking".to_owned(),
            idempotent: vec!["/stock".to_owned()],
        };
        self.write_row(Kind::Services, "booking", &service).await?;
        self.write_model(version, manifest).await
    }

    /// Writes the row of a plan with a share.
    ///
    /// # Errors
    /// Returns the error of the write.
    pub async fn write_share(&self, name: &str, share: u32) -> io::Result<()> {
        let trial = name == "trial";
        let plan = Plan {
            name: name.to_owned(),
            share,
            priority: u8::from(!trial),
            models: vec!["pasta".to_owned()],
            services: vec!["booking".to_owned()],
            tokens_per_minute: 0,
            trial,
        };
        self.write_row(Kind::Plans, name, &plan).await
    }

    /// Uploads a first version, writes the sample lists and waits until every engine serves the version.
    ///
    /// # Errors
    /// Returns the first error of an upload, write or wait.
    pub async fn prepare(&self, version: &str) -> io::Result<()> {
        let weights = weights(version, self.weights_bytes);
        let manifest = self.upload("pasta", version, &weights, CHUNK_BYTES).await?;
        self.write_sample_rows(version, manifest).await?;
        self.wait_for_version(version).await
    }

    /// Uploads the weights of a new version and writes the row that asks for it.
    ///
    /// # Errors
    /// Returns the error of the upload or write.
    pub async fn roll_out(&self, version: &str) -> io::Result<()> {
        let weights = weights(version, self.weights_bytes);
        let manifest = self.upload("pasta", version, &weights, CHUNK_BYTES).await?;
        self.write_model(version, manifest).await
    }

    /// Writes the row of the model, which asks for a version on all agents.
    ///
    /// # Errors
    /// Returns the error of the write.
    pub async fn write_model(&self, version: &str, manifest: Digest) -> io::Result<()> {
        let model = Model {
            name: "pasta".to_owned(),
            service: "assistant".to_owned(),
            version: version.to_owned(),
            manifest,
            replicas: Replicas {
                least: self.agents.len() as u32,
                most: self.agents.len() as u32,
            },
            adapters: Vec::new(),
        };
        self.write_row(Kind::Models, "pasta", &model).await
    }

    /// Writes a row of the lists to the key-value service, over what it holds now. Waits while writes are throttled.
    ///
    /// # Errors
    /// Returns the error of the service.
    pub async fn write_row<T: Serialize>(&self, kind: Kind, name: &str, row: &T) -> io::Result<()> {
        let store = Etcd::new(
            pistachiolug_http::client::Client::new(1),
            &format!("http://{}", self.kv),
        );
        let name = Name {
            kind,
            name: name.to_owned(),
        };
        let key = name.key();
        let value = serde_json::to_vec(row)?;
        loop {
            let current = store.get(&key).await.map_err(io::Error::other)?;
            let expect = current.map_or(Precondition::Absent, |entry| {
                Precondition::Revision(entry.revision)
            });
            match store.swap(&key, expect, Some(&value), None).await {
                Err(kv::Error::Throttled { after }) => sleep(after).await,
                swapped => return swapped.map(drop).map_err(io::Error::other),
            }
        }
    }

    async fn put_object(&self, name: &str, body: Vec<u8>) -> io::Result<()> {
        let path = format!("/{name}");
        let sent = self.http.send(Method::PUT, self.origin, &path, None, body);
        sent.await.map(drop).map_err(io::Error::other)
    }
}

/// Generates `length` bytes of weights that depend only on the version.
pub fn weights(version: &str, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    blake3::Hasher::new()
        .update(version.as_bytes())
        .finalize_xof()
        .fill(&mut bytes);
    bytes
}
