//! Weights of one model: the bytes of each version's pieces, and the origin that gives them.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

use crate::{
    http::{self, Listener, Message, Reader},
    record::Record,
    sha256,
};

/// Name of the model.
pub const MODEL: &str = "m0";

/// Figures of the sheet.
pub const PIECES: usize = 48;
pub const PIECE_BYTES: usize = 49_152;
pub const LAYERS: usize = 16;

/// Returns the bytes of a piece of a version.
pub fn piece(version: u64, index: usize) -> Vec<u8> {
    let mut state = (version << 32 | index as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut bytes = Vec::with_capacity(PIECE_BYTES);
    while bytes.len() < PIECE_BYTES {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        bytes.extend_from_slice(&state.to_le_bytes());
    }
    bytes
}

/// Returns the pieces that a layer needs.
pub fn pieces_of(layer: usize) -> std::ops::Range<usize> {
    layer * PIECES / LAYERS..((layer + 1) * PIECES).div_ceil(LAYERS)
}

fn manifest(version: u64) -> String {
    let digests = (0..PIECES).map(|index| format!("\"{}\"", sha256::hex(&piece(version, index))));
    let digests: Vec<String> = digests.collect();
    format!(
        "{{\"model\":\"{MODEL}\",\"version\":{version},\"chunk_bytes\":{PIECE_BYTES},\"layers\":{LAYERS},\"digests\":[{}]}}",
        digests.join(",")
    )
}

/// Bytes per second of the origin's link, which all readers share: 15 Mbit/s.
const ORIGIN_BYTES_PER_SECOND: f64 = 1_875_000.0;

/// Link of the origin, which sends one answer after the other.
type Link = Arc<Mutex<()>>;

/// Starts the origin.
pub fn serve_origin(address: SocketAddr, record: &Record) -> io::Result<Listener> {
    let record = record.clone();
    let link = Link::default();
    Listener::start(address, move |stream| {
        // An error ends the connection, as its peer sees.
        let _ = serve(stream, &link, &record);
    })
}

fn serve(stream: TcpStream, link: &Link, record: &Record) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = Reader::new(stream);
    while let Some(request) = reader.message(false)? {
        let mut bytes = Vec::new();
        answer(&mut bytes, &request, record)?;
        let link = link.lock().unwrap_or_else(PoisonError::into_inner);
        thread::sleep(Duration::from_secs_f64(
            bytes.len() as f64 / ORIGIN_BYTES_PER_SECOND,
        ));
        writer.write_all(&bytes)?;
        drop(link);
    }
    Ok(())
}

fn answer(writer: &mut Vec<u8>, request: &Message, record: &Record) -> io::Result<()> {
    let number = |name| {
        request
            .parameter(name)
            .and_then(|text| text.parse::<u64>().ok())
    };
    let version = number("version").unwrap_or(1);
    let path = request
        .path()
        .strip_prefix("/pistachiolug/")
        .unwrap_or_default();
    if path == format!("manifest/{MODEL}") {
        record.line(&format!("origin gives the digests of version {version}"));
        let headers = [("Content-Type", "application/json".to_owned())];
        return http::respond(writer, "200 OK", &headers, manifest(version).as_bytes());
    }
    if path == format!("piece/{MODEL}") {
        let index = number("sample_count").unwrap_or_default() as usize;
        return http::respond(writer, "200 OK", &[], &piece(version, index));
    }
    http::respond(writer, "404 Not Found", &[], b"")
}

/// Field `engine` of the service in the configuration, with the figures of the sheet.
pub const CHUNKS_JSON: &str = "\"engine\":{\"slots\":16,\"kv_tokens\":685000,\"kv_bytes\":327680,\"link_mbps\":400000.0,\
    \"stride\":6,\"models\":[{\"name\":\"m0\",\"pace\":1.0,\"load_s\":4.0,\"warm_s\":0.3}],\"megabytes\":297000.0,\
    \"adapter_slots\":8,\"loads_per_s\":0.0,\"step_ms\":7.4,\"per_seq_ms\":0.0387,\"context_per_k\":0.0203,\
    \"read_per_s\":31900.0,\"pairs_per_m\":0.733,\"chunk\":2048,\"report_lag_ms\":200.0,\"loads_at_once\":8,\"delays\":[],\
    \"usual\":{\"prompt\":973,\"answer\":106},\"layers\":16,\"layer_mb\":4540.0,\"act_bytes\":16384,\"pipe_mbps\":0.0,\
    \"chunks\":48,\"chunk_bytes\":49152}";
