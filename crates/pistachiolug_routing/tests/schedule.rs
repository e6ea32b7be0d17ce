//! One agent in virtual time: paid calls beside a surge of trials, and the schedule's own bookkeeping.

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bolero::TypeGenerator;
use pistachiolug_routing::{
    fair_queue::Class,
    schedule::{Action, Call, Capacity, Schedule},
};
use pistachiolug_wire::call::Id;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Calls that the engine of the simulation runs at once.
const SLOTS: u32 = 16;

/// Time to a run's first token, and to the next one after a pause.
const PREFILL_MS: u64 = 80;

/// Time between tokens.
const GAP_MS: u64 = 25;

/// Simulated time.
const LENGTH_MS: u64 = 400_000;

/// Mean tokens of an answer.
const TOKENS: f64 = 120.0;

/// Tokens a second that the engine generates when all slots are busy.
const RATE: f64 = SLOTS as f64 * 1_000.0 / GAP_MS as f64;

const PAID: Class = Class {
    weight: 3,
    is_trial: false,
};

const TRIAL: Class = Class {
    weight: 1,
    is_trial: true,
};

/// How calls are scheduled; each run compares one with another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// One lane for all.
    Fifo,
    /// Lanes; a running trial is never paused.
    Lanes,
    /// Lanes; trial runs are paused for waiting paid calls.
    Pauses,
}

/// What one simulation saw.
#[derive(Debug, Default)]
struct Outcome {
    /// Waits of paid calls from arrival to first token, in milliseconds, in order.
    paid_ms: Vec<u64>,
    paid_offered: u64,
    paid_tokens: u64,
    trial_tokens: u64,
    refused_trials: u64,
    refused_paid: u64,
    pauses: u64,
}

impl Outcome {
    fn percentile_ms(&self, percent: usize) -> u64 {
        let mut waits = self.paid_ms.clone();
        waits.sort_unstable();
        waits[(waits.len() - 1) * percent / 100]
    }

    fn used(&self) -> f64 {
        (self.paid_tokens + self.trial_tokens) as f64 / (RATE * LENGTH_MS as f64 / 1_000.0)
    }
}

#[derive(Debug)]
struct Job {
    trial: bool,
    arrived: u64,
    tokens: u32,
    done: u32,
    first: bool,
}

/// Engine with a fixed speed and one schedule, stepped by event.
struct Simulation {
    schedule: Schedule,
    policy: Policy,
    jobs: BTreeMap<u128, Job>,
    /// Times of the next tokens of running jobs.
    tokens: BTreeSet<(u64, u128)>,
    outcome: Outcome,
}

impl Simulation {
    fn new(policy: Policy) -> Self {
        let schedule = Schedule::new(Capacity {
            slots: SLOTS,
            initial_rate: RATE,
            max_queued_calls: 4_096,
            max_bytes: 64 << 20,
            reserved_slots: 0,
        });
        Self {
            schedule,
            policy,
            jobs: BTreeMap::new(),
            tokens: BTreeSet::new(),
            outcome: Outcome::default(),
        }
    }

    fn arrive(&mut self, number: u128, job: Job) {
        let now = Duration::from_millis(job.arrived);
        let one_lane = self.policy == Policy::Fifo;
        let trial = job.trial && !one_lane;
        let call = Call {
            id: Id(number),
            plan: if trial { "trial" } else { "paid" }.to_owned(),
            class: if trial { TRIAL } else { PAID },
            cost: job.tokens,
            bytes: 1_000,
            start_deadline: now + Duration::from_secs(20),
            is_pausable: self.policy == Policy::Pauses,
            is_isolated: false,
        };
        self.outcome.paid_offered += u64::from(!job.trial);
        if self.schedule.admit(call, now).is_ok() {
            self.jobs.insert(number, job);
        } else if job.trial {
            self.outcome.refused_trials += 1;
        } else {
            self.outcome.refused_paid += 1;
        }
        self.pump(now);
    }

    fn pump(&mut self, now: Duration) {
        let at = now.as_millis() as u64;
        while let Some(action) = self.schedule.next_action(now) {
            match action {
                Action::Start(id) => {
                    self.tokens.insert((at + PREFILL_MS, id.0));
                }
                Action::Pause(id) => {
                    self.tokens.retain(|(_, number)| *number != id.0);
                    self.outcome.pauses += 1;
                    self.schedule.requeue(id, now);
                }
            }
        }
    }

    fn token(&mut self, at: u64, number: u128) {
        let now = Duration::from_millis(at);
        let job = self.jobs.get_mut(&number).expect("running jobs are known");
        job.done += 1;
        self.schedule.record_progress(Id(number), 1);
        if job.trial {
            self.outcome.trial_tokens += 1;
        } else {
            self.outcome.paid_tokens += 1;
            if !std::mem::replace(&mut job.first, true) {
                self.outcome.paid_ms.push(at - job.arrived);
            }
        }
        if job.done < job.tokens {
            self.tokens.insert((at + GAP_MS, number));
            return;
        }
        self.jobs.remove(&number);
        self.schedule.end(Id(number), now);
        self.pump(now);
    }

    fn give_up(&mut self, at: u64) {
        let now = Duration::from_millis(at);
        for (id, _) in self.schedule.calls_to_shed(now) {
            let job = self.jobs.remove(&id.0).expect("waiting jobs are known");
            self.schedule.end(id, now);
            if job.trial {
                self.outcome.refused_trials += 1;
            } else {
                self.outcome.refused_paid += 1;
            }
        }
        self.pump(now);
    }

    fn run(mut self, mut arrivals: BTreeMap<(u64, u128), Job>) -> Outcome {
        for second in 1..=LENGTH_MS / 1_000 {
            let end = second * 1_000;
            loop {
                let arrival = arrivals.first_key_value().map(|(key, _)| *key);
                let token = self.tokens.first().copied();
                let next = [arrival, token].into_iter().flatten().min();
                let Some((at, number)) = next.filter(|(at, _)| *at < end) else {
                    break;
                };
                if arrival == next {
                    let (_, job) = arrivals.pop_first().expect("an arrival was seen");
                    self.arrive(number, job);
                } else {
                    self.tokens.pop_first();
                    self.token(at, number);
                }
            }
            self.give_up(end);
        }
        self.outcome
    }
}

/// Poisson arrivals of paid and trial calls, each at a load relative to the engine's capacity.
fn arrivals(seed: u64, paid_load: f64, trial_load: f64) -> BTreeMap<(u64, u128), Job> {
    let mut arrivals = BTreeMap::new();
    for (trial, load) in [(false, paid_load), (true, trial_load)] {
        let mut random = ChaCha8Rng::seed_from_u64(seed + u64::from(trial));
        let mut at = 0.0;
        let mean_ms = 1_000.0 * TOKENS / (RATE * load);
        loop {
            at -= mean_ms * (1.0 - random.random::<f64>()).ln();
            if at >= LENGTH_MS as f64 {
                break;
            }
            let tokens = random.random_range(0.2..1.8) * TOKENS;
            let job = Job {
                trial,
                arrived: at as u64,
                tokens: tokens as u32,
                done: 0,
                first: false,
            };
            let number = arrivals.len() as u128;
            arrivals.insert((at as u64, number), job);
        }
    }
    arrivals
}

fn simulate(policy: Policy, paid_load: f64, trial_load: f64) -> Outcome {
    Simulation::new(policy).run(arrivals(1, paid_load, trial_load))
}

#[test]
#[allow(clippy::print_stdout)]
fn paid_waits_hold_under_a_tenfold_trial_surge() {
    for policy in [Policy::Fifo, Policy::Lanes, Policy::Pauses] {
        for trial_load in [0.0, 0.2, 2.0] {
            let outcome = simulate(policy, 0.5, trial_load);
            println!(
                "{policy:?} paid 0.5 trial {trial_load}: paid p50 {} p95 {} p99 {} ms, {} of {} paid refused, paid tokens {}, \
                 trial tokens {}, {} trials refused, {} pauses, used {:.3}",
                outcome.percentile_ms(50),
                outcome.percentile_ms(95),
                outcome.percentile_ms(99),
                outcome.refused_paid,
                outcome.paid_offered,
                outcome.paid_tokens,
                outcome.trial_tokens,
                outcome.refused_trials,
                outcome.pauses,
                outcome.used(),
            );
        }
    }
    let usual = simulate(Policy::Pauses, 0.5, 0.2);
    let surge = simulate(Policy::Pauses, 0.5, 2.0);

    assert!(surge.percentile_ms(95) as f64 <= 1.10 * usual.percentile_ms(95) as f64);
    assert_eq!(surge.refused_paid, 0);
    assert!(surge.paid_tokens as f64 >= 0.99 * usual.paid_tokens as f64);
    assert!(surge.used() >= 0.90, "{}", surge.used());
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Step {
    Offer {
        #[generator(0..12)]
        number: u8,
        trial: bool,
        alone: bool,
        #[generator(1..100)]
        cost: u8,
    },
    Next,
    Progress(#[generator(0..12)] u8, #[generator(0..60)] u8),
    End(#[generator(0..12)] u8),
    Isolate(#[generator(0..12)] u8),
    Wait(#[generator(0..200)] u8),
}

/// What the schedule has been told, kept apart from it.
#[derive(Debug, Default)]
struct Model {
    waiting: BTreeSet<u8>,
    running: BTreeSet<u8>,
    alone: BTreeSet<u8>,
}

#[test]
fn slots_are_never_overbooked_and_a_lone_call_has_no_neighbour() {
    support::for_seeds(2_000, |seed| {
        let mut schedule = Schedule::new(Capacity {
            slots: 3,
            initial_rate: 50.0,
            max_queued_calls: 8,
            max_bytes: 10_000,
            reserved_slots: u32::from(seed % 2 == 0),
        });
        let mut model = Model::default();
        let mut now = Duration::ZERO;

        for step in support::steps::<Step>(seed, 300) {
            apply(&mut schedule, &mut model, &mut now, step);

            let load = schedule.load();
            assert_eq!(load.running as usize, model.running.len(), "{step:?}");
            assert_eq!(load.queued as usize, model.waiting.len(), "{step:?}");
            assert!(model.running.len() <= 3);
            let lone = model.running.intersection(&model.alone).count();
            assert!(lone == 0 || model.running.len() == 1, "{step:?}");
        }
        for number in 0..12 {
            schedule.end(Id(number), now);
        }
        assert_eq!(schedule.load(), pistachiolug_wire::load::Load::default());
    });
}

fn apply(schedule: &mut Schedule, model: &mut Model, now: &mut Duration, step: Step) {
    match step {
        Step::Offer {
            number,
            trial,
            alone,
            cost,
        } => {
            if model.waiting.contains(&number) || model.running.contains(&number) {
                return;
            }
            let call = Call {
                id: Id(number.into()),
                plan: if trial { "trial" } else { "paid" }.to_owned(),
                class: if trial { TRIAL } else { PAID },
                cost: cost.into(),
                bytes: 1_000,
                start_deadline: *now + Duration::from_secs(20),
                is_pausable: number % 2 == 0,
                is_isolated: alone,
            };
            if schedule.admit(call, *now).is_ok() {
                model.waiting.insert(number);
                model.alone.remove(&number);
                model.alone.extend(alone.then_some(number));
            }
        }
        Step::Next => match schedule.next_action(*now) {
            Some(Action::Start(id)) => {
                assert!(model.waiting.remove(&(id.0 as u8)));
                assert!(model.running.insert(id.0 as u8));
            }
            Some(Action::Pause(id)) => {
                assert!(model.running.remove(&(id.0 as u8)));
                assert!(model.waiting.insert(id.0 as u8));
                schedule.requeue(id, *now);
            }
            None => {}
        },
        Step::Progress(number, units) => {
            if model.running.contains(&number) {
                schedule.record_progress(Id(number.into()), units.into());
            }
        }
        Step::End(number) => {
            schedule.end(Id(number.into()), *now);
            model.waiting.remove(&number);
            model.running.remove(&number);
        }
        Step::Isolate(number) => {
            schedule.isolate(Id(number.into()), *now);
            if model.running.remove(&number) || model.waiting.contains(&number) {
                model.waiting.insert(number);
                model.alone.insert(number);
            }
        }
        Step::Wait(tenths) => {
            *now += Duration::from_millis(u64::from(tenths) * 100);
            for (id, _) in schedule.calls_to_shed(*now) {
                schedule.end(id, *now);
                assert!(model.waiting.remove(&(id.0 as u8)));
            }
        }
    }
}
