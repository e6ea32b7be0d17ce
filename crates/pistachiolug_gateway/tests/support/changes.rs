//! Entry without a network that gets batches of changed rows.

use std::{net::SocketAddr, rc::Rc, sync::Arc};

use pistachiolug_gateway::{
    decoder::{Decoder, Row, Subject},
    pool::Requirements,
    state::State,
    updater::Updater,
};
use pistachiolug_platform::kv;
use pistachiolug_replica::{follow::Observer, rows::Change};
use pistachiolug_wire::datagram::{Culprit, Suspect};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;

use super::{deployment::subject, location, metrics, options, record};

/// Decoder of servers as `SERVICE ADDRESS STARTED_MS`; other values can't be decoded.
#[derive(Debug, Clone, Copy)]
pub struct Lines;

impl Decoder for Lines {
    fn decode(&self, key: &str, value: &[u8]) -> Row {
        let text = String::from_utf8_lossy(value);
        match self.subject(key) {
            Subject::Server(id) => match text.split(' ').collect::<Vec<_>>()[..] {
                [service, address, started_ms] => {
                    let mut record = record(&id, address.parse().unwrap());
                    record.service = Arc::from(service);
                    record.started_ms = started_ms.parse().unwrap();
                    Row::Server(record)
                }
                _ => Row::Unreadable {
                    reason: "fields missing".to_owned(),
                },
            },
            Subject::Entry(name) => Row::Entry {
                name,
                address: text.parse().unwrap(),
            },
            Subject::Evacuation(zone) => Row::Evacuation { zone },
            Subject::Culprit(_) | Subject::Other => Row::Other,
        }
    }

    fn subject(&self, key: &str) -> Subject {
        subject(key)
    }

    fn entry_row(&self, _: &str, _: SocketAddr) -> (String, Vec<u8>) {
        unreachable!("this entry doesn't register itself")
    }

    fn suspect_row(&self, _: &Suspect) -> (String, Vec<u8>) {
        unreachable!("no suspect is saved")
    }

    fn culprit_row(&self, _: &Culprit) -> (String, Vec<u8>) {
        unreachable!("no part is saved")
    }
}

/// Entry without a network that gets batches of changes.
pub struct Entry {
    pub state: Rc<State>,
    updater: Updater<Lines>,
    revision: u64,
}

impl Entry {
    /// Creates an entry that knows no rows; needs a runtime.
    pub async fn new() -> Self {
        let state = State::new(options(), metrics());
        let socket = Rc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        let updater = Updater::new(Rc::clone(&state), socket, Lines);
        Self {
            state,
            updater,
            revision: 0,
        }
    }

    /// Applies a batch; rows without a value are removed.
    pub fn apply(&mut self, batch: &[(&str, Option<&str>)]) {
        let mut changes = Vec::new();
        for (key, value) in batch {
            self.revision += 1;
            let key = (*key).to_owned();
            changes.push(match value {
                Some(value) => Change::Put(kv::Entry {
                    key,
                    value: (*value).to_owned().into(),
                    revision: self.revision,
                }),
                None => Change::Removed { key },
            });
        }
        self.updater.on_changes(changes, None);
    }

    /// Returns the server of a service that a request would get now, as `ID ADDRESS STARTED_MS`.
    pub fn server_of(&self, service: &str) -> Option<String> {
        let requirements = Requirements {
            service: Arc::from(service),
            ..Requirements::default()
        };
        let mut random = ChaCha8Rng::seed_from_u64(7);
        let now = self.state.now();
        let choice = self.state.with_pool(|pool| {
            pool.remove_expired(now);
            pool.choose(&requirements, None, &location(), now, &mut random)
        });
        choice.map(|choice| {
            let record = choice.record;
            format!("{} {} {}", record.id, record.address, record.started_ms)
        })
    }
}

/// Returns the value of a server's row.
pub fn row(service: &str, address: &str, started_ms: u64) -> String {
    format!("{service} {address} {started_ms}")
}
