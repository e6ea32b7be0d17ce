//! Stand-ins of the users' platform, with nothing but the standard library: the store, backend servers, callers, and the
//! start and end of the project's daemons.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, BufRead, BufReader, Read, Write},
    net::{IpAddr, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

/// Program of the deploy file.
const PROGRAM: &str = "target/release/pistachiolug-platform";

/// Record of a run, with the milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Returns the milliseconds since the start of the run.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn write(&self, line: &str) {
        let line = format!("{:6} {line}\n", self.now());
        let mut file = self.file.lock().unwrap();
        file.write_all(line.as_bytes()).expect("record.txt");
    }
}

/// Message of HTTP/1.1: the first line, the headers with their names in lower case, and the body.
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the first line: the path of a request, the status of an answer.
    pub fn second(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads a message; `None` at the end of the connection.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let header = header.trim_end();
        if header.is_empty() {
            break;
        }
        if let Some((name, value)) = header.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let mut message = Message {
        line: line.trim_end().to_owned(),
        headers,
        body: Vec::new(),
    };
    let is_chunked = message.header("transfer-encoding") == Some("chunked");
    if is_chunked {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size)?;
            let size = usize::from_str_radix(size.trim_end(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = message.header("content-length") {
        let mut body = vec![0; length.parse().unwrap_or(0)];
        reader.read_exact(&mut body)?;
        message.body = body;
    }
    Ok(Some(message))
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Serves each connection of a listener in a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handle(stream));
        }
    });
}

#[derive(Clone)]
struct Row {
    value: String,
    revision: u64,
}

/// Change of a row; without a value the row was removed.
struct Event {
    key: String,
    value: Option<String>,
    revision: u64,
}

#[derive(Default)]
struct Rows {
    revision: u64,
    rows: BTreeMap<String, Row>,
    history: Vec<Event>,
    is_down: bool,
    leases: u64,
}

/// The platform's store. Leases don't end: no run lasts as long as those that the daemons ask for.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<Rows>, Condvar)>,
}

impl Store {
    pub fn start(ip: IpAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the store");
        let rows = Rows {
            revision: 100,
            ..Rows::default()
        };
        let store = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::new((Mutex::new(rows), Condvar::new())),
        };
        let served = store.clone();
        serve(listener, move |stream| {
            let _ = served.serve_connection(stream);
        });
        store
    }

    fn rows(&self) -> MutexGuard<'_, Rows> {
        self.state.0.lock().unwrap()
    }

    /// Writes a row, as the operator and the servers do.
    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(base64(value.as_bytes())));
    }

    /// Removes a row.
    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    /// While the store is down, it answers all calls with 503.
    pub fn set_down(&self, is_down: bool) {
        self.rows().is_down = is_down;
        self.state.1.notify_all();
    }

    fn change(&self, key: &str, value: Option<String>) -> u64 {
        let mut rows = self.rows();
        rows.revision += 1;
        let revision = rows.revision;
        match &value {
            Some(value) => {
                let row = Row {
                    value: value.clone(),
                    revision,
                };
                rows.rows.insert(key.to_owned(), row);
            }
            None => drop(rows.rows.remove(key)),
        }
        rows.history.push(Event {
            key: key.to_owned(),
            value,
            revision,
        });
        self.state.1.notify_all();
        revision
    }

    fn serve_connection(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            let (status, body) = if self.rows().is_down {
                ("503 Service Unavailable", String::new())
            } else {
                self.answer(&request)
            };
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            write_answer(&mut writer, status, &headers, body.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let target = request.second();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            let value = fields.find(|(known, _)| *known == name);
            value
                .map(|(_, value)| percent_decode(value))
                .unwrap_or_default()
        };
        let call = path.strip_prefix("/pistachiolug/").unwrap_or_default();
        match call {
            "kv-key" => self.get(&field("key")),
            "kv-range" => self.range(&field("prefix"), &field("after")),
            "kv-watch" => {
                let after = field("after").parse().unwrap_or(0);
                let wait = field("wait_ms").parse().unwrap_or(0);
                self.watch(&field("prefix"), after, Duration::from_millis(wait))
            }
            "kv-txn" => self.transact(&String::from_utf8_lossy(&request.body)),
            "kv-lease" => {
                let mut rows = self.rows();
                rows.leases += 1;
                (
                    "200 OK",
                    format!("{{\"lease\":{},\"ttl_ms\":600000}}", rows.leases),
                )
            }
            _ if call.starts_with("kv-keep/") => ("200 OK", "{}".to_owned()),
            _ => ("404 Not Found", String::new()),
        }
    }

    fn get(&self, key: &str) -> (&'static str, String) {
        let rows = self.rows();
        match rows.rows.get(key) {
            Some(row) => ("200 OK", render(key, Some(&row.value), row.revision)),
            None => ("404 Not Found", String::new()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (&'static str, String) {
        let rows = self.rows();
        let found = rows
            .rows
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let found: Vec<_> = found.collect();
        let items = found
            .iter()
            .take(500)
            .map(|(key, row)| render(key, Some(&row.value), row.revision));
        let items: Vec<String> = items.collect();
        let body = format!(
            "{{\"items\":[{}],\"has_more\":{},\"store_revision\":{}}}",
            items.join(","),
            found.len() > 500,
            rows.revision
        );
        ("200 OK", body)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let mut rows = self.rows();
        loop {
            if rows.is_down {
                return ("503 Service Unavailable", String::new());
            }
            let events = rows
                .history
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(prefix));
            let events =
                events.map(|event| render(&event.key, event.value.as_ref(), event.revision));
            let events: Vec<String> = events.collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"store_revision\":{}}}",
                    events.join(","),
                    rows.revision
                );
                return ("200 OK", body);
            }
            rows = self.state.1.wait_timeout(rows, left).unwrap().0;
        }
    }

    /// Carries out a call of the daemons, which have one expected row and one put or delete each.
    fn transact(&self, body: &str) -> (&'static str, String) {
        let key = text_field(body, "key").unwrap_or_default();
        let expected: u64 = number_field(body, "revision").unwrap_or(0);
        let value = text_field(body, "value");
        let known = self.rows().rows.get(&key).cloned();
        if known.as_ref().map_or(0, |row| row.revision) != expected {
            let item = match &known {
                Some(row) => render(&key, Some(&row.value), row.revision),
                None => render(&key, None, 0),
            };
            return ("412 Precondition Failed", format!("{{\"items\":[{item}]}}"));
        }
        let revision = self.change(&key, value);
        ("200 OK", format!("{{\"revision\":{revision}}}"))
    }
}

fn render(key: &str, value: Option<&String>, revision: u64) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}"
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}"),
    }
}

/// Returns the text of the first field with a name; the daemons' texts have no escapes.
fn text_field(json: &str, name: &str) -> Option<String> {
    let rest = json.split_once(&format!("\"{name}\":\""))?.1;
    Some(rest.split_once('"')?.0.to_owned())
}

fn number_field(json: &str, name: &str) -> Option<u64> {
    let rest = json.split_once(&format!("\"{name}\":"))?.1;
    let digits = rest.find(|byte: char| !byte.is_ascii_digit())?;
    rest[..digits].parse().ok()
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, others)) = rest.split_first() {
        let digits = others
            .get(..2)
            .and_then(|digits| std::str::from_utf8(digits).ok());
        let byte = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match byte.filter(|_| *first == b'%') {
            Some(byte) => {
                bytes.push(byte);
                rest = &others[2..];
            }
            None => {
                bytes.push(*first);
                rest = others;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = group
            .iter()
            .fold(0_u32, |bits, byte| bits << 8 | u32::from(*byte))
            << (8 * (3 - group.len()));
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}

/// Entry process of the project.
pub struct Entry {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub child: Child,
}

/// Settings of an entry that differ from one to another.
pub struct EntrySettings<'a> {
    pub name: &'a str,
    pub ip: IpAddr,
    pub internal_port: u16,
    pub zone: &'a str,
    pub memory_mb: u64,
    pub contact_ms: u64,
}

/// Starts an entry with the command of the deploy file; its log goes to the temporary folder.
pub fn start_entry(settings: &EntrySettings, store: &Store, folder: &Path) -> Entry {
    let EntrySettings {
        name,
        ip,
        internal_port,
        zone,
        memory_mb,
        contact_ms,
    } = settings;
    let free = || {
        TcpListener::bind((*ip, 0))
            .and_then(|listener| listener.local_addr())
            .expect("a free port")
    };
    let (front, ready) = (free(), free());
    let text = format!(
        "node_name={name}\nrole=entry\nmachine_class=edge\nserves=edge\nip={ip}\nzone={zone}\nregion=gauteng\n\
         zones.midrand=gauteng\nzones.bellville=western-cape\nzones.pinetown=kwazulu-natal\n\
         listen.front={front}\nlisten.ready={ready}\nport_range={internal_port},{}\nbootstrap=true\n\
         limits.cpu_share=0.19\nlimits.cores=1\nlimits.memory_mb={memory_mb}\nlimits.max_fds=4100\n\
         limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip\nheartbeat_ms=1200\n\
         fault_tolerance.machines=2\nbounds.contact_ms={contact_ms}\nbounds.drain_ms=2000\nbounds.grace_s=8\n\
         bounds.config_apply_ms=2000\nbounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n\
         bounds.retry_budget_slack=106\nbounds.version_ms=8000\nplatform.address={}\nplatform.form=kv\n\
         platform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\n",
        internal_port + 15,
        store.address
    );
    let child = start("entry", name, &text, folder);
    Entry {
        front,
        ready,
        child,
    }
}

/// Starts an agent with the command of the deploy file, beside the engine at `app`.
pub fn start_agent(
    name: &str,
    app: SocketAddr,
    service: &str,
    internal_port: u16,
    store: &Store,
    folder: &Path,
) -> Child {
    let text = format!(
        "node_name={name}\nrole=agent\nmachine_class=side\nserves=side\nip={}\nzone=midrand\nregion=gauteng\n\
         zones.midrand=gauteng\nzones.bellville=western-cape\nzones.pinetown=kwazulu-natal\n\
         port_range={internal_port},{}\nbootstrap=true\nlimits.cpu_share=0.3\nlimits.cores=1\nlimits.memory_mb=128\n\
         limits.max_fds=2048\nlimits.link_mbps=9.4\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip\n\
         heartbeat_ms=1200\nfault_tolerance.machines=2\nbounds.contact_ms=3000\nbounds.drain_ms=2000\n\
         bounds.grace_s=8\nbounds.config_apply_ms=2000\nbounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n\
         bounds.retry_budget_slack=106\nbounds.version_ms=8000\napp={app}\nservice={service}\n\
         platform.address={}\nplatform.form=kv\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n\
         platform.history_s=20\n",
        app.ip(),
        internal_port + 15,
        store.address
    );
    start("agent", name, &text, folder)
}

/// Starts a daemon; its settings and its log go to the temporary folder.
fn start(role: &str, name: &str, settings: &str, folder: &Path) -> Child {
    let path = folder.join(format!("{name}.conf"));
    fs::write(&path, settings).expect("settings file");
    let log = File::create(folder.join(format!("{name}.log"))).expect("log file");
    let child = Command::new(PROGRAM)
        .arg(role)
        .env("PISTACHIOLUG_BOOT", &path)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::null())
        .spawn();
    child.unwrap_or_else(|error| cannot_run(&format!("{PROGRAM} can't be started: {error}")))
}

/// Ends the case if it takes too long, with the processes that it has started.
pub fn start_watchdog(children: Vec<u32>) {
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(112));
        for child in children {
            let _ = Command::new("kill")
                .args(["-9", &child.to_string()])
                .status();
        }
        cannot_run("it takes longer than 112 s");
    });
}

/// Ends the process because the case can't run.
pub fn cannot_run(reason: &str) -> ! {
    println!("the case can't run: {reason}");
    std::process::exit(2);
}

impl Entry {
    /// Waits until the entry reports itself ready.
    pub fn wait_until_ready(&self) {
        for _ in 0..200 {
            if get(self.ready, "/pistachiolug/ready").is_some_and(|answer| answer.second() == "200")
            {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        cannot_run("an entry did not become ready within 10 s");
    }

    /// Returns the memory of the process in bytes; 0 after its end.
    pub fn memory(&self) -> u64 {
        let status =
            fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1024
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends a request without a body on a connection of its own.
pub fn get(address: SocketAddr, path: &str) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n"
    )
    .ok()?;
    read_message(&mut BufReader::new(stream)).ok()?
}

/// Creates a temporary folder for settings and logs.
pub fn temporary_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap_or_else(|error| cannot_run(&error.to_string()));
    folder
}

/// Returns a port that is free at all the given addresses, over TCP and UDP.
pub fn free_port(ips: &[IpAddr]) -> u16 {
    for _ in 0..100 {
        let Ok(listener) = TcpListener::bind((ips[0], 0)) else {
            continue;
        };
        let port = listener.local_addr().unwrap().port();
        drop(listener);
        let is_free = |ip: &IpAddr| {
            TcpListener::bind((*ip, port)).is_ok() && std::net::UdpSocket::bind((*ip, port)).is_ok()
        };
        if port < 65_000 && ips.iter().all(is_free) {
            return port;
        }
    }
    cannot_run("no free port")
}

/// Returns the SHA-256 digest of bytes (FIPS 180-4) in hexadecimal digits.
pub fn sha256(bytes: &[u8]) -> String {
    // The first 32 bits of the fractional parts of the cube roots and square roots of the first primes.
    let primes: Vec<u64> = (2..312_u64)
        .filter(|number| (2..*number).all(|divisor| number % divisor != 0))
        .take(64)
        .collect();
    let root = |prime: u64, power: u32| -> u32 {
        // Largest `root` with `root^power <= prime * 2^(32 * power)`, whose low 32 bits are the fraction.
        let (mut low, mut high) = (0_u128, 1_u128 << 37);
        let is_small = |root: u128| match power {
            2 => root * root <= u128::from(prime) << 64,
            _ => root * root * root <= u128::from(prime) << 96,
        };
        while high - low > 1 {
            let middle = (low + high) / 2;
            if is_small(middle) {
                low = middle
            } else {
                high = middle
            }
        }
        low as u32
    };
    let constants: Vec<u32> = primes.iter().map(|prime| root(*prime, 3)).collect();
    let mut state: Vec<u32> = primes[..8].iter().map(|prime| root(*prime, 2)).collect();
    let mut message = bytes.to_vec();
    message.push(0x80);
    message.resize((bytes.len() + 8) / 64 * 64 + 56, 0);
    message.extend_from_slice(&(bytes.len() as u64 * 8).to_be_bytes());
    for block in message.chunks(64) {
        let mut words: Vec<u32> = block
            .chunks(4)
            .map(|word| u32::from_be_bytes(word.try_into().unwrap()))
            .collect();
        for index in 16..64 {
            let (first, second) = (words[index - 15], words[index - 2]);
            let first = first.rotate_right(7) ^ first.rotate_right(18) ^ first >> 3;
            let second = second.rotate_right(17) ^ second.rotate_right(19) ^ second >> 10;
            words.push(
                words[index - 16]
                    .wrapping_add(first)
                    .wrapping_add(words[index - 7])
                    .wrapping_add(second),
            );
        }
        let mut v: [u32; 8] = state.clone().try_into().unwrap();
        for index in 0..64 {
            let sum = v[4].rotate_right(6) ^ v[4].rotate_right(11) ^ v[4].rotate_right(25);
            let choice = v[4] & v[5] ^ !v[4] & v[6];
            let first = v[7]
                .wrapping_add(sum)
                .wrapping_add(choice)
                .wrapping_add(constants[index])
                .wrapping_add(words[index]);
            let sum = v[0].rotate_right(2) ^ v[0].rotate_right(13) ^ v[0].rotate_right(22);
            let second = sum.wrapping_add(v[0] & v[1] ^ v[0] & v[2] ^ v[1] & v[2]);
            v = [
                first.wrapping_add(second),
                v[0],
                v[1],
                v[2],
                v[3].wrapping_add(first),
                v[4],
                v[5],
                v[6],
            ];
        }
        for (word, added) in state.iter_mut().zip(v) {
            *word = word.wrapping_add(added);
        }
    }
    state.iter().map(|word| format!("{word:08x}")).collect()
}
