//! Slots at servers: those that requests get at once, the queues of requests that wait, and the rates of both.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use tokio::sync::oneshot;

use super::{State, Waiter, find_engine};
use crate::{
    admission::SlotRates,
    permit::Permit,
    pool::Requirements,
    queue::{Position, Rank},
    rate::{self, Rate},
    reservation::Claim,
};

/// Rates of one service's slots: those that become free and those that first attempts take.
#[derive(Debug)]
pub(super) struct Rates {
    freed: Rate,
    taken: Rate,
    /// Those that become free and may be used by first attempts of a priority.
    usable: BTreeMap<u8, Rate>,
}

impl Rates {
    fn new(now: Duration) -> Self {
        Self {
            freed: Rate::new(now, rate::INITIAL_PER_SECOND),
            taken: Rate::new(now, 0.0),
            usable: BTreeMap::new(),
        }
    }
}

/// Permit and the channel to the request that gets it.
type Served = (Permit, oneshot::Sender<Permit>);

impl State {
    /// Reserves a slot at the best server; returns `None` if no usable server has a free slot.
    pub fn reserve(self: &Rc<Self>, requirements: &Requirements) -> Option<Permit> {
        let mut pool = self.pool.borrow_mut();
        let choice = self.choose(&mut pool, requirements)?;
        pool.start_request(&choice.record.id, requirements.prompt_tokens);
        pool.record_assignment(&choice);
        let expectation = self.expect_prefix(&pool, requirements, &choice);
        drop(pool);
        if !requirements.is_late {
            self.with_rates(&requirements.service, |rates, now| rates.taken.count(now));
        }
        self.record_slot(requirements);
        Some(Permit {
            choice,
            service: Arc::clone(&requirements.service),
            unread_prompt_tokens: Cell::new(requirements.prompt_tokens),
            expectation: RefCell::new(expectation),
            sent: RefCell::default(),
            is_framed: Cell::new(true),
            last_events_at: Cell::new(None),
            state: Rc::clone(self),
        })
    }

    /// Returns the number of waiting requests that would be served before one of this rank.
    pub fn count_ahead(&self, service: &Arc<str>, rank: Rank) -> usize {
        let queues = self.queues.borrow();
        queues
            .get(service)
            .map_or(0, |queue| queue.ahead(rank).count())
    }

    /// Returns the number of waiting requests that would be served before this one, of which `rank` is the rank. One below
    /// its floor is served after others below their floors, and those that a server has or had, only.
    pub fn count_preceding(&self, requirements: &Requirements, rank: Rank) -> usize {
        let is_below_floor = self.is_below_floor(requirements);
        let queues = self.queues.borrow();
        queues.get(&requirements.service).map_or(0, |queue| {
            let ahead = queue.ahead(rank);
            ahead
                .filter(|(waiting, _)| {
                    !is_below_floor || waiting.is_exempt || self.is_below_floor(waiting)
                })
                .count()
        })
    }

    /// Returns whether a request of this rank may take a free slot before the waiting ones. Those that were sent to a
    /// server before can't use the slots there, and have been offered all others.
    pub fn is_next(&self, requirements: &Requirements, rank: Rank) -> bool {
        let is_below_floor = self.is_below_floor(requirements);
        let queues = self.queues.borrow();
        queues.get(&requirements.service).is_none_or(|queue| {
            let mut ahead = queue.ahead(rank);
            ahead.all(|(waiting, _)| {
                !waiting.tried.is_empty() || (is_below_floor && !self.is_below_floor(waiting))
            })
        })
    }

    /// Adds a request to the queue of its service; the receiver gets its permit.
    pub fn enqueue(
        &self,
        requirements: Requirements,
        rank: Rank,
    ) -> (Position, oneshot::Receiver<Permit>) {
        let (sender, receiver) = oneshot::channel();
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(Arc::clone(&requirements.service)).or_default();
        (queue.push(rank, (requirements, sender)), receiver)
    }

    /// Removes a request from the queue of a service.
    pub fn leave_queue(&self, service: &Arc<str>, position: Position) {
        if let Some(queue) = self.queues.borrow_mut().get_mut(service) {
            queue.remove(position);
        }
    }

    /// Gives the free slots of a service to its waiting requests.
    ///
    /// # Arguments
    /// `freed` is the server at which this entry has just freed a slot, if any.
    pub fn serve_queue(self: &Rc<Self>, service: &Arc<str>, freed: Option<&Arc<str>>) {
        while let Some((permit, sender)) = self.permit_next(service, freed) {
            // If the receiver is gone, the returned permit is dropped, which frees the slot.
            drop(sender.send(permit));
        }
    }

    /// Reserves a slot for the next waiting request of a service and removes the request from the queue.
    fn permit_next(
        self: &Rc<Self>,
        service: &Arc<str>,
        freed: Option<&Arc<str>>,
    ) -> Option<Served> {
        let (position, permit) = self.reserve_next(service, freed)?;
        let mut queues = self.queues.borrow_mut();
        let (_, sender) = queues.get_mut(service)?.remove(position)?;
        Some((permit, sender))
    }

    /// Reserves a slot for the first waiting request that can use one, those below their floors before all others.
    /// Requests that were sent to a server before, and have to wait for another one, don't hold up those behind them.
    fn reserve_next(
        self: &Rc<Self>,
        service: &Arc<str>,
        freed: Option<&Arc<str>>,
    ) -> Option<(Position, Permit)> {
        let queues = self.queues.borrow();
        let queue = queues.get(service)?;
        let is_below_floor = |waiter: &Waiter| self.is_below_floor(&waiter.0);
        let has_any = queue.iter().any(|(_, waiter)| is_below_floor(waiter));
        // Requests that a server has or had are not held up by those below their floors.
        let is_first = |waiter: &Waiter| has_any && (waiter.0.is_exempt || is_below_floor(waiter));
        for (position, (requirements, _)) in queue.iter_preferring(&is_first) {
            let mut requirements = Requirements {
                freed_server: freed.cloned(),
                ..requirements.clone()
            };
            // A target may have become due, or may have been set, during the wait.
            self.update_versions(&mut requirements);
            self.update_evacuated(&mut requirements);
            self.update_reservation(&mut requirements);
            if let Some(permit) = self.reserve(&requirements) {
                return Some((position, permit));
            }
            if requirements.tried.is_empty() && !self.is_below_floor(&requirements) {
                let freed = freed.filter(|_| requirements.reserve.slots_left > 0.0);
                if let Some(freed) = freed {
                    let now = self.now();
                    self.with_pool(|pool| pool.keep_freed(freed, now));
                }
                break;
            }
        }
        None
    }

    /// Gives free slots to the waiting requests of all services.
    pub fn serve_queues(self: &Rc<Self>) {
        let queues = self.queues.borrow();
        let waiting = queues.iter().filter(|(_, queue)| !queue.is_empty());
        let services: Vec<Arc<str>> = waiting.map(|(service, _)| Arc::clone(service)).collect();
        drop(queues);
        for service in &services {
            self.serve_queue(service, None);
        }
    }

    /// Returns the slot rates of a service. Of the slots that become free, only those count that the request may use.
    pub fn slot_rates(&self, requirements: &Requirements) -> SlotRates {
        let rates = self.rates.borrow();
        rates.get(&requirements.service).map_or(
            SlotRates {
                freed_per_second: rate::INITIAL_PER_SECOND,
                first_attempts_per_second: 0.0,
            },
            |rates| {
                let usable = rates.usable.get(&requirements.priority);
                let usable = usable.filter(|_| requirements.reserve.slots_left > 0.0);
                SlotRates {
                    freed_per_second: usable.map_or(rates.freed.per_second(), |usable| {
                        usable.decayed_per_second(self.now())
                    }),
                    first_attempts_per_second: rates.taken.decayed_per_second(self.now()),
                }
            },
        )
    }

    /// Counts a slot of a service that has become free.
    pub(crate) fn count_freed(&self, service: &Arc<str>) {
        self.with_rates(service, |rates, now| rates.freed.count(now));
    }

    /// Counts a slot that has become free at a server, for each priority whose requests may use it.
    pub(crate) fn count_freed_at(&self, service: &Arc<str>, server: &str) {
        self.count_freed(service);
        let config = self.config();
        let engine = config
            .as_ref()
            .and_then(|config| find_engine(config, service));
        let Some(engine) = engine else {
            return;
        };
        for priority in self.priorities(service) {
            let claim = Claim {
                priority,
                is_late: false,
                workspace: None,
            };
            let reserve = self.find_reserve(service, &claim);
            let is_usable = self.with_pool(|pool| {
                let server = pool.get(server);
                server.is_some_and(|server| server.is_freed_usable(reserve, engine))
            });
            self.with_rates(service, |rates, now| {
                let freed = rates.freed.per_second();
                let usable = rates.usable.entry(priority);
                let usable = usable.or_insert_with(|| Rate::new(now, freed));
                if is_usable {
                    usable.count(now);
                }
            });
        }
    }

    fn with_rates(&self, service: &Arc<str>, action: impl FnOnce(&mut Rates, Duration)) {
        let now = self.now();
        let mut rates = self.rates.borrow_mut();
        let rates = rates.entry(Arc::clone(service));
        action(rates.or_insert_with(|| Rates::new(now)), now);
    }
}
