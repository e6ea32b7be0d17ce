//! Spread of weights: manifests, verified chunks, and the pull of a wanted version.

pub mod manifest;
