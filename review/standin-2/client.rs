//! Stand-in of the clients: each sends one request, and once more on a new connection where the answer allows it.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{http, world::World};

/// Part of the requests that go on one route.
#[derive(Debug, Clone)]
pub struct Class {
    pub name: &'static str,
    pub method: &'static str,
    pub host: &'static str,
    pub path: &'static str,
    pub per_second: f64,
    pub time_limit: Duration,
    /// Whether it may be sent again after any failure.
    pub idempotent: bool,
    pub body_bytes: usize,
}

/// Request of a client with its outcome.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub class: &'static str,
    pub sent_at: Instant,
    /// Whether the client got a success with the server's seal.
    pub served: bool,
    /// Ids of the attempts with the entries that got them.
    pub attempts: Vec<(String, usize)>,
}

/// Sends the requests of a class from `from` to `until` at an even rate, to all entries in turn.
pub fn send_class(
    world: &Arc<World>,
    class: &Class,
    from: Instant,
    until: Instant,
) -> thread::JoinHandle<()> {
    let (world, class) = (Arc::clone(world), class.clone());
    thread::spawn(move || {
        let mut threads = Vec::new();
        let mut count = 0_u64;
        loop {
            let at = from + Duration::from_secs_f64(count as f64 / class.per_second);
            if at >= until {
                break;
            }
            thread::sleep(at.saturating_duration_since(Instant::now()));
            let (world, class) = (Arc::clone(&world), class.clone());
            let entry = count as usize % world.entries().len();
            threads.push(thread::spawn(move || send(&world, &class, entry)));
            count += 1;
        }
        for thread in threads {
            let _ = thread.join();
        }
    })
}

fn send(world: &World, class: &Class, entry: usize) {
    let sent_at = Instant::now();
    let mut attempts = Vec::new();
    let mut entry = entry;
    let mut served = false;
    for number in 0..2 {
        let left = class.time_limit.saturating_sub(sent_at.elapsed());
        if left.is_zero() {
            break;
        }
        let attempt = world.new_attempt();
        let fronts = world.entries();
        attempts.push((attempt.clone(), entry));
        let answer = exchange(fronts[entry].front, class, &attempt, left);
        let status = answer.as_ref().map_or(0, http::Message::status);
        served = answer.as_ref().is_some_and(|answer| {
            answer.status() == 200
                && answer.header("x-pistachiolug-response-seal") == Some(&format!("seal-{attempt}"))
        });
        let retry_after = answer
            .as_ref()
            .and_then(|answer| answer.header("retry-after")?.parse::<f64>().ok());
        world.note(&format!(
            "client {}: attempt {attempt} at entry {entry}: status {status}, seal {served}, retry-after {retry_after:?}, after {} ms",
            class.name,
            sent_at.elapsed().as_millis()
        ));
        let is_promise = matches!(status, 408 | 421 | 429 | 503);
        let may_repeat =
            is_promise || (class.idempotent && !matches!(status, 400 | 401 | 404 | 413 | 431));
        if served || number == 1 || !may_repeat {
            break;
        }
        let left = class.time_limit.saturating_sub(sent_at.elapsed());
        let wait = Duration::try_from_secs_f64(retry_after.unwrap_or(0.0)).unwrap_or_default();
        thread::sleep(wait.min(left / 3));
        // Retries reach other nodes.
        entry = (entry + 1) % fronts.len();
    }
    world.record_outcome(Outcome {
        class: class.name,
        sent_at,
        served,
        attempts,
    });
}

/// Sends one attempt on a new connection; `None` without a complete answer.
fn exchange(
    front: SocketAddr,
    class: &Class,
    attempt: &str,
    left: Duration,
) -> Option<http::Message> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1).min(left)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(left)).ok()?;
    let body = "b".repeat(class.body_bytes);
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nX-Pistachiolug-Attempt-Id: {attempt}\r\nX-Pistachiolug-Request-Deadline: {}\r\nContent-Length: {}\r\n\r\n",
        class.method,
        class.path,
        class.host,
        left.as_millis(),
        body.len()
    );
    stream.write_all((head + &body).as_bytes()).ok()?;
    http::read(&mut BufReader::new(stream)).ok()?
}
