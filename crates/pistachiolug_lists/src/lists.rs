//! Rows of all lists at one revision, indexed by name and by key digest.

use std::{collections::BTreeMap, sync::Arc};

use pistachiolug_wire::digest::Digest;
use rustc_hash::FxHashMap;

use crate::{
    customer::Customer,
    plan::{Model, Plan, Service},
    row::{Kind, Name, Row},
    suspect::Suspect,
    table::Problem,
};

/// Rows of the customers list and of the plans list, and the crash suspects, at one revision.
#[derive(Debug, Clone, Default)]
pub struct Lists {
    /// Revision of the key-value service up to which all changes are included; never decreases.
    revision: u64,
    customers: BTreeMap<String, Arc<Customer>>,
    plans: BTreeMap<String, Arc<Plan>>,
    models: BTreeMap<String, Arc<Model>>,
    services: BTreeMap<String, Arc<Service>>,
    suspects: FxHashMap<Digest, Arc<Suspect>>,
    /// Rows that are not active as written, with the reasons.
    problems: Vec<Problem>,
    /// Owner of each key digest: the customer that was inserted first with it. Has only digests of keys in `customers`.
    keys: FxHashMap<Digest, Arc<Customer>>,
}

impl Lists {
    /// Returns the revision of the key-value service up to which all changes are included.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the customer that owns the bearer key with this digest.
    pub fn customer_of(&self, key: &Digest) -> Option<&Arc<Customer>> {
        self.keys.get(key)
    }

    /// Returns a customer by name.
    pub fn customer(&self, name: &str) -> Option<&Arc<Customer>> {
        self.customers.get(name)
    }

    /// Returns a plan by name.
    pub fn plan(&self, name: &str) -> Option<&Arc<Plan>> {
        self.plans.get(name)
    }

    /// Returns a model by name.
    pub fn model(&self, name: &str) -> Option<&Arc<Model>> {
        self.models.get(name)
    }

    /// Returns a plain service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Iterates over the customers in order of their names.
    pub fn customers(&self) -> impl Iterator<Item = &Arc<Customer>> {
        self.customers.values()
    }

    /// Iterates over the plans in order of their names.
    pub fn plans(&self) -> impl Iterator<Item = &Arc<Plan>> {
        self.plans.values()
    }

    /// Iterates over the models in order of their names.
    pub fn models(&self) -> impl Iterator<Item = &Arc<Model>> {
        self.models.values()
    }

    /// Iterates over the plain services in order of their names.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns the crash suspect with this content digest.
    pub fn suspect(&self, content: &Digest) -> Option<&Arc<Suspect>> {
        self.suspects.get(content)
    }

    /// Iterates over the crash suspects in no particular order.
    pub fn suspects(&self) -> impl Iterator<Item = &Arc<Suspect>> {
        self.suspects.values()
    }

    /// Returns the rows that are not active as written, with the reasons.
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }

    /// Adds a problem of a row that is not active as written.
    pub fn add_problem(&mut self, problem: Problem) {
        self.problems.push(problem);
    }

    /// Inserts a row, replacing the row of the same name.
    pub fn insert(&mut self, row: Row) {
        match row {
            Row::Customer(customer) => self.insert_customer(customer),
            Row::Plan(plan) => {
                self.plans.insert(plan.name.clone(), Arc::new(plan));
            }
            Row::Model(model) => {
                self.models.insert(model.name.clone(), Arc::new(model));
            }
            Row::Service(service) => {
                self.services
                    .insert(service.name.clone(), Arc::new(service));
            }
            Row::Suspect(suspect) => {
                self.suspects.insert(suspect.digest, Arc::new(suspect));
            }
        }
    }

    /// Removes a row if it exists.
    pub fn remove(&mut self, name: &Name) {
        match name.kind {
            Kind::Customers => self.remove_customer(&name.name),
            Kind::Plans => drop(self.plans.remove(&name.name)),
            Kind::Models => drop(self.models.remove(&name.name)),
            Kind::Services => drop(self.services.remove(&name.name)),
            Kind::Suspects => {
                let digest = name.name.parse();
                drop(digest.map(|digest: Digest| self.suspects.remove(&digest)));
            }
        }
    }

    /// Raises the revision; a lower one is ignored.
    pub fn advance(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    fn insert_customer(&mut self, customer: Customer) {
        self.remove_customer(&customer.name);
        let customer = Arc::new(customer);
        for key in &customer.keys {
            let owner = self.keys.entry(*key);
            owner.or_insert_with(|| Arc::clone(&customer));
        }
        self.customers.insert(customer.name.clone(), customer);
    }

    fn remove_customer(&mut self, name: &str) {
        if let Some(customer) = self.customers.remove(name) {
            for key in &customer.keys {
                if self.keys.get(key).is_some_and(|owner| owner.name == name) {
                    self.keys.remove(key);
                }
            }
        }
    }
}
