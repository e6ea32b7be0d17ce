//! Registry of a process's services by name, with typed handles that other services look up at start.

use std::{
    any::{Any, type_name},
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use snafu::{OptionExt, Snafu, ensure};

/// Reason why a look-up or registration failed.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// No service is registered under the name.
    #[snafu(display("no service named `{name}`"))]
    Missing {
        /// Requested name.
        name: String,
    },
    /// The service's handle has another type.
    #[snafu(display("service `{name}` is not a `{expected}`"))]
    WrongType {
        /// Requested name.
        name: String,
        /// Requested type.
        expected: &'static str,
    },
    /// A service is already registered under the name.
    #[snafu(display("service `{name}` is registered twice"))]
    Taken {
        /// Name of the service.
        name: String,
    },
}

/// Handles of the services that run inside one process, by name; these are parts of the process, not backend services.
/// Clones share the registry.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    /// Handle of each service; once registered, it is never replaced.
    services: Arc<Mutex<BTreeMap<&'static str, Box<dyn Any + Send + Sync>>>>,
}

impl Registry {
    /// Registers a service's handle under a name. A handle is cheap to clone, and its clones share the service.
    ///
    /// # Errors
    /// [`Error::Taken`] if a service is already registered under the name.
    pub fn register<T>(&self, name: &'static str, handle: T) -> Result<(), Error>
    where
        T: Clone + Send + Sync + 'static,
    {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        ensure!(!services.contains_key(name), TakenSnafu { name });
        services.insert(name, Box::new(handle));
        Ok(())
    }

    /// Finds a service by name. Callers do this once at start and keep the handle.
    ///
    /// # Errors
    /// [`Error::Missing`] if no service has the name, [`Error::WrongType`] if its handle is not a `T`.
    pub fn find<T>(&self, name: &str) -> Result<T, Error>
    where
        T: Clone + Send + Sync + 'static,
    {
        let services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let service = services.get(name).context(MissingSnafu { name })?;
        service.downcast_ref().cloned().context(WrongTypeSnafu {
            name,
            expected: type_name::<T>(),
        })
    }

    /// Returns the names of all services in alphabetical order.
    pub fn names(&self) -> Vec<&'static str> {
        let services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        services.keys().copied().collect()
    }
}
