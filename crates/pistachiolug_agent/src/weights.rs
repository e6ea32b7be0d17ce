//! Weights that the engine should serve.

use std::time::Duration;

use bytes::Bytes;
use pistachiolug_http::pace::Unpaced;
use pistachiolug_lists::{force::Force, plan::Model};
use pistachiolug_platform::{
    engine::{Engine, Order},
    source::Source,
};
use pistachiolug_weights::manifest::{self, Manifest};
use pistachiolug_wire::digest::Digest;
use snafu::{ResultExt, Whatever, ensure_whatever};

/// Interval between two comparisons of wanted and loaded versions.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Brings the engine's versions into line with the lists until the process stops.
pub async fn run<E: Engine, O: Source>(service: String, force: Force, engine: E, origin: O) {
    loop {
        let lists = force.now();
        for model in lists.models().filter(|model| model.service == service) {
            if let Err(error) = align(model, &engine, &origin).await {
                log::warn!(model = model.name.as_str(), error:% = error; "version not loaded");
            }
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

async fn align<E: Engine, O: Source>(
    model: &Model,
    engine: &E,
    origin: &O,
) -> Result<(), Whatever> {
    let state = engine.state().await.whatever_context("state")?;
    let serves = |version: &str| {
        let mut loaded = state.loaded.iter();
        loaded.any(|loaded| loaded.model == model.name && loaded.version == version)
    };
    if serves(&model.version) {
        return Ok(());
    }
    let manifest = read_manifest(model, origin).await?;
    let order = Order {
        fence: 0,
        model: model.name.clone(),
        version: model.version.clone(),
        digest: manifest.digest,
        length: manifest.length(),
    };
    let mut offset = 0;
    for chunk in &manifest.chunks {
        let bytes = read_chunk(chunk, origin).await?;
        let staged = engine.stage(&order, offset, bytes).await;
        staged.whatever_context("stage")?;
        offset += u64::from(chunk.length);
    }
    engine.load(&order).await.whatever_context("load")?;
    log::info!(model = model.name.as_str(), version = model.version.as_str(); "version serves");
    Ok(())
}

async fn read_manifest<O: Source>(model: &Model, origin: &O) -> Result<Manifest, Whatever> {
    let name = manifest::object(&model.manifest);
    let text = origin.read(&name).await.whatever_context("manifest")?;
    ensure_whatever!(Digest::of(&text) == model.manifest, "manifest is corrupted");
    serde_json::from_slice(&text).whatever_context("manifest")
}

async fn read_chunk<O: Source>(chunk: &manifest::Chunk, origin: &O) -> Result<Bytes, Whatever> {
    let name = manifest::chunk_object(&chunk.digest);
    let range = 0..u64::from(chunk.length);
    let bytes = origin.read_range(&name, range, &Unpaced).await;
    let bytes = bytes.whatever_context("chunk")?;
    ensure_whatever!(Digest::of(&bytes) == chunk.digest, "chunk is corrupted");
    Ok(bytes)
}
