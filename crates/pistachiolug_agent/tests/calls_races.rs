//! Races between sends, claims, starts, withdrawals, lost messages and deaths, over random interleavings.
//!
//! The agents' tables and the ledger are the real ones; the steps between them are taken in any order.

use std::{collections::BTreeMap, time::Duration};

use bolero::{TypeGenerator, generator::bolero_generator::driver};
use futures_util::FutureExt;
use pistachiolug_ledger::{
    claim::{Claim, Claims, Decision, Key},
    memory::Memory,
};
use pistachiolug_routing::table::{Arrival, Limit, Stage, Table};
use pistachiolug_wire::{
    call::{Id, Response},
    digest::Digest,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of random runs.
const SEEDS: u64 = 3_000;

/// Steps of one run.
const STEPS: usize = 150;

/// Calls of one run, two for each key.
const SENDS: u8 = 4;

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Step {
    /// An entry sends a call that it may send, to an agent.
    Send(#[generator(0..SENDS)] u8, #[generator(0..2)] u8),
    /// A message in flight arrives; it may arrive again later.
    Arrive(u8, bool),
    /// A waiting call claims its key; the answer may be lost after the write.
    Claim(#[generator(0..SENDS)] u8, #[generator(0..2)] u8, bool),
    /// A call that won begins.
    Begin(#[generator(0..SENDS)] u8, #[generator(0..2)] u8),
    /// A running call ends.
    End(#[generator(0..SENDS)] u8, #[generator(0..2)] u8),
    /// An entry that lost touch withdraws its call.
    Revoke(#[generator(0..SENDS)] u8),
    /// A claim of a call that never started is given back.
    Release(u8),
    /// An agent dies and another process takes its address.
    Kill(#[generator(0..2)] u8),
}

/// What an entry has told its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    NotRun,
    Unknown,
    Answered,
}

/// One call, from its entry's side.
#[derive(Debug, Default, Clone, Copy)]
struct Send {
    /// Agent that has or may have it, and the step at which it was sent there.
    at: Option<(u8, usize)>,
    told: Option<Told>,
    executions: u32,
}

/// One agent process.
struct Agent {
    table: Table<u8>,
    /// Step at which the process started.
    born: usize,
    /// Calls that won their claim and have not begun.
    won: Vec<u8>,
    running: Vec<u8>,
}

struct World {
    agents: Vec<Agent>,
    ledger: Memory,
    sends: Vec<Send>,
    /// Calls under way to an agent.
    flight: Vec<(u8, u8)>,
    /// Claims to give back.
    releases: Vec<Claim>,
    executions: BTreeMap<u8, u32>,
    step: usize,
}

fn born(step: usize) -> Agent {
    Agent {
        table: Table::new(Limit::default()),
        born: step,
        won: Vec::new(),
        running: Vec::new(),
    }
}

fn key(send: u8) -> u8 {
    send / 2
}

fn id(send: u8) -> Id {
    Id(send.into())
}

fn claim(send: u8, agent: u8) -> Claim {
    Claim {
        key: Key {
            customer: "paid".to_owned(),
            service: "booking".to_owned(),
            key: key(send).to_string(),
        },
        content: Digest::of(&[key(send)]),
        call: id(send),
        holder: 0,
        instance: agent.to_string(),
    }
}

fn response() -> Response {
    Response {
        status: 200,
        content_type: String::new(),
        body: "done".into(),
        replayed: false,
    }
}

impl World {
    fn new() -> Self {
        Self {
            agents: vec![born(0), born(0)],
            ledger: Memory::default(),
            sends: vec![Send::default(); SENDS.into()],
            flight: Vec::new(),
            releases: Vec::new(),
            executions: BTreeMap::new(),
            step: 0,
        }
    }

    fn apply(&mut self, step: Step) {
        self.step += 1;
        match step {
            Step::Send(send, agent) => self.send(send, agent),
            Step::Arrive(place, again) => self.arrive(place, again),
            Step::Claim(send, agent, lost) => self.claim(send, agent, lost),
            Step::Begin(send, agent) => self.begin(send, agent),
            Step::End(send, agent) => self.end(send, agent),
            Step::Revoke(send) => self.revoke(send),
            Step::Release(place) => self.release(place),
            Step::Kill(agent) => self.kill(agent),
        }
    }

    fn send(&mut self, send: u8, agent: u8) {
        let call = &mut self.sends[usize::from(send)];
        if call.at.is_none() && call.told.is_none() {
            call.at = Some((agent, self.step));
            self.flight.push((send, agent));
        }
    }

    fn arrive(&mut self, place: u8, again: bool) {
        if self.flight.is_empty() {
            return;
        }
        let place = usize::from(place) % self.flight.len();
        let (send, agent) = self.flight[place];
        if !again {
            self.flight.remove(place);
        }
        let table = &mut self.agents[usize::from(agent)].table;
        if let Arrival::Known(_, run) = table.arrive(id(send), send) {
            assert_eq!(run, send, "joined another call");
        }
    }

    fn claim(&mut self, send: u8, agent: u8, lost: bool) {
        let own = &mut self.agents[usize::from(agent)];
        let queued = own.table.find(id(send)).map(|(stage, _)| stage) == Some(Stage::Queued);
        if !queued || own.won.contains(&send) {
            return;
        }
        let claim = claim(send, agent);
        let verdict = self.ledger.claim(&claim).now_or_never();
        let verdict = verdict.expect("memory answers").expect("memory is certain");
        if lost {
            own.table.withdraw(id(send), Duration::ZERO);
            self.releases.push(claim);
            self.tell(send, agent, Told::NotRun);
            return;
        }
        match verdict {
            Decision::Granted => own.won.push(send),
            Decision::Held(_) | Decision::Spent => self.refuse(send, agent, Told::Unknown),
            Decision::Finished(_) => self.refuse(send, agent, Told::Answered),
            Decision::KeyReused => panic!("contents are the same"),
        }
    }

    fn refuse(&mut self, send: u8, agent: u8, told: Told) {
        let table = &mut self.agents[usize::from(agent)].table;
        table.finish(id(send), 0, Duration::ZERO);
        self.tell(send, agent, told);
    }

    /// Tells the caller, if the entry still listens to that agent.
    fn tell(&mut self, send: u8, agent: u8, told: Told) {
        let call = &mut self.sends[usize::from(send)];
        if call.at.is_some_and(|(at, _)| at == agent) {
            call.told.get_or_insert(told);
        }
    }

    fn begin(&mut self, send: u8, agent: u8) {
        let own = &mut self.agents[usize::from(agent)];
        let Some(place) = own.won.iter().position(|won| *won == send) else {
            return;
        };
        own.won.remove(place);
        if !own.table.start(id(send)) {
            self.releases.push(claim(send, agent));
            return;
        }
        own.running.push(send);
        self.sends[usize::from(send)].executions += 1;
        *self.executions.entry(key(send)).or_default() += 1;
    }

    fn end(&mut self, send: u8, agent: u8) {
        let own = &mut self.agents[usize::from(agent)];
        let Some(place) = own.running.iter().position(|run| *run == send) else {
            return;
        };
        own.running.remove(place);
        own.table.finish(id(send), 0, Duration::ZERO);
        let (claim, answer) = (claim(send, agent), response());
        let kept = self.ledger.finish(&claim, &answer);
        kept.now_or_never().expect("memory answers").expect("kept");
        self.tell(send, agent, Told::Answered);
    }

    fn revoke(&mut self, send: u8) {
        let call = self.sends[usize::from(send)];
        let Some((agent, sent)) = call.at.filter(|_| call.told.is_none()) else {
            return;
        };
        let own = &mut self.agents[usize::from(agent)];
        let known = own.table.find(id(send)).is_some();
        let witnessed = own.born < sent;
        let stage = own.table.withdraw(id(send), Duration::ZERO).stage;
        let call = &mut self.sends[usize::from(send)];
        match stage {
            // A certain withdrawal frees the call for another agent; half of the callers are told at once.
            Stage::Withdrawn if known || witnessed => {
                call.at = None;
                call.told = self.step.is_multiple_of(2).then_some(Told::NotRun);
            }
            _ => call.told = Some(Told::Unknown),
        }
    }

    fn release(&mut self, place: u8) {
        if self.releases.is_empty() {
            return;
        }
        let place = usize::from(place) % self.releases.len();
        let claim = self.releases.remove(place);
        let released = self.ledger.release(&claim).now_or_never();
        released.expect("memory answers").expect("released");
    }

    /// Replaces a process; what was under way to it ends with its connections.
    fn kill(&mut self, agent: u8) {
        self.agents[usize::from(agent)] = born(self.step);
        self.flight.retain(|(_, to)| *to != agent);
    }

    fn check(&self) {
        for (key, executions) in &self.executions {
            assert!(*executions <= 1, "key {key} ran {executions} times");
        }
        for (send, call) in self.sends.iter().enumerate() {
            let told_not_run = call.told == Some(Told::NotRun);
            assert!(!told_not_run || call.executions == 0, "send {send} ran");
        }
    }
}

fn steps(seed: u64) -> Vec<Step> {
    let mut bytes = vec![0; 4096];
    ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
    let mut driver = driver::ByteSliceDriver::new(&bytes, &driver::Options::default());
    (0..STEPS)
        .map_while(|_| Step::generate(&mut driver))
        .collect()
}

#[test]
fn no_interleaving_runs_a_key_twice_or_belies_a_not_run() {
    for seed in 0..SEEDS {
        let mut world = World::new();
        for step in steps(seed) {
            world.apply(step);

            let checked = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| world.check()));
            assert!(
                checked.is_ok(),
                "seed {seed}, step {}: {step:?}",
                world.step
            );
        }
    }
}
