//! Simulation of one agent with paid and trial calls, and invariants of the schedule over random steps.

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

/// Number of calls that the simulated engine runs at once.
const SLOTS: u32 = 16;

/// Time until the first token of a run, also of a run that is resumed after a pause.
const PREFILL_MS: u64 = 80;

/// Time between two tokens of a run.
const GAP_MS: u64 = 25;

/// Length of a simulation.
const LENGTH_MS: u64 = 400_000;

/// Mean number of tokens of an answer.
const TOKENS: f64 = 120.0;

/// Number of tokens a second that the engine generates while all slots are busy.
const RATE: f64 = SLOTS as f64 * 1_000.0 / GAP_MS as f64;

const PAID: Class = Class {
    weight: 3,
    is_trial: false,
};

const TRIAL: Class = Class {
    weight: 1,
    is_trial: true,
};

/// Scheduling policy of a simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// One lane for all calls.
    Fifo,
    /// One lane per plan; trial runs are never paused.
    Lanes,
    /// One lane per plan; trial runs are paused for waiting paid calls.
    Pauses,
}

/// Result of a simulation.
#[derive(Debug, Default)]
struct Outcome {
    /// Times from arrival to first token of the paid calls, in milliseconds, in order of the first tokens.
    first_token_ms: Vec<u64>,
    paid_arrivals: u64,
    paid_tokens: u64,
    trial_tokens: u64,
    refused_trials: u64,
    refused_paid: u64,
    pauses: u64,
}

impl Outcome {
    fn percentile_ms(&self, percent: usize) -> u64 {
        let mut waits = self.first_token_ms.clone();
        waits.sort_unstable();
        waits[(waits.len() - 1) * percent / 100]
    }

    /// Returns the share of the engine's capacity that was used.
    fn utilization(&self) -> f64 {
        (self.paid_tokens + self.trial_tokens) as f64 / (RATE * LENGTH_MS as f64 / 1_000.0)
    }
}

#[derive(Debug)]
struct Job {
    is_trial: bool,
    arrived_ms: u64,
    tokens: u32,
    done_tokens: u32,
    has_first_token: bool,
}

/// Discrete-event simulation of one engine with a fixed speed and its schedule.
struct Simulation {
    schedule: Schedule,
    policy: Policy,
    jobs: BTreeMap<u128, Job>,
    /// Times in milliseconds of the next tokens of the running jobs.
    next_tokens: BTreeSet<(u64, u128)>,
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
            next_tokens: BTreeSet::new(),
            outcome: Outcome::default(),
        }
    }

    fn arrive(&mut self, number: u128, job: Job) {
        let now = Duration::from_millis(job.arrived_ms);
        let has_one_lane = self.policy == Policy::Fifo;
        let is_trial = job.is_trial && !has_one_lane;
        let call = Call {
            id: Id(number),
            plan: if is_trial { "trial" } else { "paid" }.to_owned(),
            class: if is_trial { TRIAL } else { PAID },
            cost: job.tokens,
            bytes: 1_000,
            start_deadline: now + Duration::from_secs(20),
            is_pausable: self.policy == Policy::Pauses,
            is_isolated: false,
        };
        self.outcome.paid_arrivals += u64::from(!job.is_trial);
        if self.schedule.admit(call, now).is_ok() {
            self.jobs.insert(number, job);
        } else if job.is_trial {
            self.outcome.refused_trials += 1;
        } else {
            self.outcome.refused_paid += 1;
        }
        self.run_actions(now);
    }

    fn run_actions(&mut self, now: Duration) {
        let now_ms = now.as_millis() as u64;
        while let Some(action) = self.schedule.next_action(now) {
            match action {
                Action::Start(id) => {
                    self.next_tokens.insert((now_ms + PREFILL_MS, id.0));
                }
                Action::Pause(id) => {
                    self.next_tokens.retain(|(_, number)| *number != id.0);
                    self.outcome.pauses += 1;
                    self.schedule.requeue(id, now);
                }
            }
        }
    }

    fn generate_token(&mut self, now_ms: u64, number: u128) {
        let now = Duration::from_millis(now_ms);
        let job = self
            .jobs
            .get_mut(&number)
            .expect("the running job is in `jobs`");
        job.done_tokens += 1;
        self.schedule.record_progress(Id(number), 1);
        if job.is_trial {
            self.outcome.trial_tokens += 1;
        } else {
            self.outcome.paid_tokens += 1;
            if !std::mem::replace(&mut job.has_first_token, true) {
                self.outcome.first_token_ms.push(now_ms - job.arrived_ms);
            }
        }
        if job.done_tokens < job.tokens {
            self.next_tokens.insert((now_ms + GAP_MS, number));
            return;
        }
        self.jobs.remove(&number);
        self.schedule.end(Id(number), now);
        self.run_actions(now);
    }

    fn shed_calls(&mut self, now_ms: u64) {
        let now = Duration::from_millis(now_ms);
        for (id, _) in self.schedule.calls_to_shed(now) {
            let job = self
                .jobs
                .remove(&id.0)
                .expect("the waiting job is in `jobs`");
            self.schedule.end(id, now);
            if job.is_trial {
                self.outcome.refused_trials += 1;
            } else {
                self.outcome.refused_paid += 1;
            }
        }
        self.run_actions(now);
    }

    fn run(mut self, mut arrivals: BTreeMap<(u64, u128), Job>) -> Outcome {
        for second in 1..=LENGTH_MS / 1_000 {
            let second_end_ms = second * 1_000;
            loop {
                let arrival = arrivals.first_key_value().map(|(key, _)| *key);
                let token = self.next_tokens.first().copied();
                let next = [arrival, token].into_iter().flatten().min();
                let Some((now_ms, number)) = next.filter(|(at_ms, _)| *at_ms < second_end_ms)
                else {
                    break;
                };
                if arrival == next {
                    let (_, job) = arrivals.pop_first().expect("the next event is an arrival");
                    self.arrive(number, job);
                } else {
                    self.next_tokens.pop_first();
                    self.generate_token(now_ms, number);
                }
            }
            self.shed_calls(second_end_ms);
        }
        self.outcome
    }
}

/// Returns Poisson arrivals of paid and trial calls; both loads are relative to the engine's capacity.
fn arrivals(seed: u64, paid_load: f64, trial_load: f64) -> BTreeMap<(u64, u128), Job> {
    let mut arrivals = BTreeMap::new();
    for (is_trial, load) in [(false, paid_load), (true, trial_load)] {
        let mut random = ChaCha8Rng::seed_from_u64(seed + u64::from(is_trial));
        let mut arrived_ms = 0.0;
        let mean_ms = 1_000.0 * TOKENS / (RATE * load);
        loop {
            arrived_ms -= mean_ms * (1.0 - random.random::<f64>()).ln();
            if arrived_ms >= LENGTH_MS as f64 {
                break;
            }
            let tokens = random.random_range(0.2..1.8) * TOKENS;
            let job = Job {
                is_trial,
                arrived_ms: arrived_ms as u64,
                tokens: tokens as u32,
                done_tokens: 0,
                has_first_token: false,
            };
            let number = arrivals.len() as u128;
            arrivals.insert((arrived_ms as u64, number), job);
        }
    }
    arrivals
}

fn simulate(policy: Policy, paid_load: f64, trial_load: f64) -> Outcome {
    Simulation::new(policy).run(arrivals(1, paid_load, trial_load))
}

/// Guards against a surge of trial calls that delays or displaces paid calls, as it would with a single lane or with
/// trial runs that are never paused. Trials must still use the capacity that paid calls leave.
#[test]
#[allow(clippy::print_stdout)]
fn paid_waits_stay_short_under_a_tenfold_trial_surge() {
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
                outcome.paid_arrivals,
                outcome.paid_tokens,
                outcome.trial_tokens,
                outcome.refused_trials,
                outcome.pauses,
                outcome.utilization(),
            );
        }
    }
    let usual = simulate(Policy::Pauses, 0.5, 0.2);
    let surge = simulate(Policy::Pauses, 0.5, 2.0);

    assert!(surge.percentile_ms(95) as f64 <= 1.10 * usual.percentile_ms(95) as f64);
    assert_eq!(surge.refused_paid, 0);
    assert!(surge.paid_tokens as f64 >= 0.99 * usual.paid_tokens as f64);
    assert!(surge.utilization() >= 0.90, "{}", surge.utilization());
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Step {
    Offer {
        #[generator(0..12)]
        number: u8,
        is_trial: bool,
        is_isolated: bool,
        #[generator(1..100)]
        cost: u8,
    },
    Next,
    Progress(#[generator(0..12)] u8, #[generator(0..60)] u8),
    End(#[generator(0..12)] u8),
    Isolate(#[generator(0..12)] u8),
    Wait(#[generator(0..200)] u8),
}

/// Reference model: which calls wait, run and must run alone.
#[derive(Debug, Default)]
struct Model {
    waiting: BTreeSet<u8>,
    running: BTreeSet<u8>,
    isolated: BTreeSet<u8>,
}

/// Guards against counters that drift over random steps: the schedule would start too many calls, or run a call that
/// may crash the backend server beside others.
#[test]
fn slots_are_never_overbooked_and_isolated_calls_run_alone() {
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
            let running_isolated = model.running.intersection(&model.isolated).count();
            assert!(
                running_isolated == 0 || model.running.len() == 1,
                "{step:?}"
            );
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
            is_trial,
            is_isolated,
            cost,
        } => {
            if model.waiting.contains(&number) || model.running.contains(&number) {
                return;
            }
            let call = Call {
                id: Id(number.into()),
                plan: if is_trial { "trial" } else { "paid" }.to_owned(),
                class: if is_trial { TRIAL } else { PAID },
                cost: cost.into(),
                bytes: 1_000,
                start_deadline: *now + Duration::from_secs(20),
                is_pausable: number % 2 == 0,
                is_isolated,
            };
            if schedule.admit(call, *now).is_ok() {
                model.waiting.insert(number);
                model.isolated.remove(&number);
                model.isolated.extend(is_isolated.then_some(number));
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
                model.isolated.insert(number);
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
