//! Races between sends, claims, starts, withdrawals, lost messages and crashes, in random interleavings.
//!
//! The agents' tables and the ledger are the real ones; the steps between them are simulated in random order.

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

/// Number of simulated runs, each with its own seed.
const SEEDS: u64 = 3_000;

/// Number of steps of one run.
const STEPS: usize = 150;

/// Number of calls of one run; two calls share a key.
const SENDS: u8 = 4;

/// Step of the simulation.
#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Step {
    /// An entry sends a call to an agent, unless the call is already sent or ended.
    Send(#[generator(0..SENDS)] u8, #[generator(0..2)] u8),
    /// A message in flight arrives; if the flag is set, it stays in flight and may arrive again.
    Arrive(u8, bool),
    /// A queued call claims its key; if the flag is set, the answer is lost after the write.
    Claim(#[generator(0..SENDS)] u8, #[generator(0..2)] u8, bool),
    /// A call that won its claim starts.
    Begin(#[generator(0..SENDS)] u8, #[generator(0..2)] u8),
    /// A running call ends.
    End(#[generator(0..SENDS)] u8, #[generator(0..2)] u8),
    /// An entry that lost its connection withdraws its call.
    Revoke(#[generator(0..SENDS)] u8),
    /// The claim of a call that never started is released.
    Release(u8),
    /// An agent process crashes and a new one takes its address.
    Kill(#[generator(0..2)] u8),
}

/// Outcome that an entry has reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reported {
    NotRun,
    Unknown,
    Answered,
}

/// State of one call at its entry.
#[derive(Debug, Default, Clone, Copy)]
struct SentCall {
    /// Agent that may have the call, and the step at which it was sent there.
    sent_to: Option<(u8, usize)>,
    reported: Option<Reported>,
    executions: u32,
}

/// One agent process.
struct Agent {
    table: Table<u8>,
    /// Step at which the process started.
    started_at: usize,
    /// Calls that won their claim and have not started.
    won: Vec<u8>,
    running: Vec<u8>,
}

/// All agents, entries and messages of one run.
struct Simulation {
    agents: Vec<Agent>,
    ledger: Memory,
    sends: Vec<SentCall>,
    /// Calls in flight, with the agent to which they were sent.
    in_flight: Vec<(u8, u8)>,
    /// Claims to release.
    releases: Vec<Claim>,
    executions: BTreeMap<u8, u32>,
    step: usize,
}

fn start_agent(step: usize) -> Agent {
    Agent {
        table: Table::new(Limit::default()),
        started_at: step,
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

impl Simulation {
    fn new() -> Self {
        Self {
            agents: vec![start_agent(0), start_agent(0)],
            ledger: Memory::default(),
            sends: vec![SentCall::default(); SENDS.into()],
            in_flight: Vec::new(),
            releases: Vec::new(),
            executions: BTreeMap::new(),
            step: 0,
        }
    }

    fn apply(&mut self, step: Step) {
        self.step += 1;
        match step {
            Step::Send(send, agent) => self.send(send, agent),
            Step::Arrive(index, stays) => self.arrive(index, stays),
            Step::Claim(send, agent, answer_lost) => self.claim(send, agent, answer_lost),
            Step::Begin(send, agent) => self.begin(send, agent),
            Step::End(send, agent) => self.end(send, agent),
            Step::Revoke(send) => self.revoke(send),
            Step::Release(index) => self.release(index),
            Step::Kill(agent) => self.kill(agent),
        }
    }

    fn send(&mut self, send: u8, agent: u8) {
        let call = &mut self.sends[usize::from(send)];
        if call.sent_to.is_none() && call.reported.is_none() {
            call.sent_to = Some((agent, self.step));
            self.in_flight.push((send, agent));
        }
    }

    fn arrive(&mut self, index: u8, stays: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = usize::from(index) % self.in_flight.len();
        let (send, agent) = self.in_flight[index];
        if !stays {
            self.in_flight.remove(index);
        }
        let table = &mut self.agents[usize::from(agent)].table;
        if let Arrival::Known(_, run) = table.register(id(send), send) {
            assert_eq!(run, send, "joined another call");
        }
    }

    fn claim(&mut self, send: u8, agent: u8, answer_lost: bool) {
        let own = &mut self.agents[usize::from(agent)];
        let queued = own.table.get(id(send)).map(|(stage, _)| stage) == Some(Stage::Queued);
        if !queued || own.won.contains(&send) {
            return;
        }
        let claim = claim(send, agent);
        let verdict = self.ledger.claim(&claim).now_or_never();
        let verdict = verdict.expect("memory answers").expect("memory is certain");
        if answer_lost {
            own.table.withdraw(id(send), Duration::ZERO);
            self.releases.push(claim);
            self.report(send, agent, Reported::NotRun);
            return;
        }
        match verdict {
            Decision::Granted => own.won.push(send),
            Decision::Held(_) | Decision::Spent => self.refuse(send, agent, Reported::Unknown),
            Decision::Finished(_) => self.refuse(send, agent, Reported::Answered),
            Decision::KeyReused => panic!("contents are the same"),
        }
    }

    fn refuse(&mut self, send: u8, agent: u8, reported: Reported) {
        let table = &mut self.agents[usize::from(agent)].table;
        table.finish(id(send), 0, Duration::ZERO);
        self.report(send, agent, reported);
    }

    /// Reports an outcome to the caller, if the entry still reads from that agent and has reported none.
    fn report(&mut self, send: u8, agent: u8, reported: Reported) {
        let call = &mut self.sends[usize::from(send)];
        if call.sent_to.is_some_and(|(receiver, _)| receiver == agent) {
            call.reported.get_or_insert(reported);
        }
    }

    fn begin(&mut self, send: u8, agent: u8) {
        let own = &mut self.agents[usize::from(agent)];
        let Some(index) = own.won.iter().position(|won| *won == send) else {
            return;
        };
        own.won.remove(index);
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
        let Some(index) = own.running.iter().position(|run| *run == send) else {
            return;
        };
        own.running.remove(index);
        own.table.finish(id(send), 0, Duration::ZERO);
        let (claim, answer) = (claim(send, agent), response());
        let stored = self.ledger.finish(&claim, &answer);
        stored
            .now_or_never()
            .expect("memory answers")
            .expect("answer is stored");
        self.report(send, agent, Reported::Answered);
    }

    fn revoke(&mut self, send: u8) {
        let call = self.sends[usize::from(send)];
        let Some((agent, sent)) = call.sent_to.filter(|_| call.reported.is_none()) else {
            return;
        };
        let own = &mut self.agents[usize::from(agent)];
        let known = own.table.get(id(send)).is_some();
        let is_older = own.started_at < sent;
        let stage = own.table.withdraw(id(send), Duration::ZERO).stage;
        let call = &mut self.sends[usize::from(send)];
        match stage {
            // A certain withdrawal lets the entry send the call to another agent. In half of the cases it reports
            // `not-run` to its caller instead.
            Stage::Withdrawn if known || is_older => {
                call.sent_to = None;
                call.reported = self.step.is_multiple_of(2).then_some(Reported::NotRun);
            }
            _ => call.reported = Some(Reported::Unknown),
        }
    }

    fn release(&mut self, index: u8) {
        if self.releases.is_empty() {
            return;
        }
        let index = usize::from(index) % self.releases.len();
        let claim = self.releases.remove(index);
        let released = self.ledger.release(&claim).now_or_never();
        released
            .expect("memory answers")
            .expect("claim is released");
    }

    /// Replaces an agent process; the messages in flight to it are lost with its connections.
    fn kill(&mut self, agent: u8) {
        self.agents[usize::from(agent)] = start_agent(self.step);
        self.in_flight.retain(|(_, to)| *to != agent);
    }

    fn check(&self) {
        for (key, executions) in &self.executions {
            assert!(*executions <= 1, "key {key} ran {executions} times");
        }
        for (send, call) in self.sends.iter().enumerate() {
            let reported_not_run = call.reported == Some(Reported::NotRun);
            assert!(!reported_not_run || call.executions == 0, "send {send} ran");
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

/// Guards against double bookings and false `not-run` reports that arise only in rare orders of concurrent events.
#[test]
fn no_interleaving_runs_a_key_twice_or_contradicts_a_not_run() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new();
        for step in steps(seed) {
            simulation.apply(step);

            let checked =
                std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| simulation.check()));
            assert!(
                checked.is_ok(),
                "seed {seed}, step {}: {step:?}",
                simulation.step
            );
        }
    }
}
