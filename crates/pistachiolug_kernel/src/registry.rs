//! Services that find each other by name, with typed handles resolved at start.

use std::{
    any::{Any, type_name},
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use snafu::{OptionExt, Snafu, ensure};

/// Reports a look-up or registration that failed.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// No service has the name.
    #[snafu(display("no service named `{name}`"))]
    Missing {
        /// Name asked for.
        name: String,
    },
    /// The service has another type.
    #[snafu(display("service `{name}` is not a `{expected}`"))]
    WrongType {
        /// Name asked for.
        name: String,
        /// Type asked for.
        expected: &'static str,
    },
    /// Another service has the name.
    #[snafu(display("service `{name}` is registered twice"))]
    Taken {
        /// Name.
        name: String,
    },
}

/// Holds the services of one process by name.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    /// Each name is registered once and never replaced.
    services: Arc<Mutex<BTreeMap<&'static str, Box<dyn Any + Send + Sync>>>>,
}

impl Registry {
    /// Registers a service's handle under a name; a handle is cheap to clone and shares the service.
    ///
    /// # Errors
    /// [`Error::Taken`].
    pub fn register<T>(&self, name: &'static str, handle: T) -> Result<(), Error>
    where
        T: Clone + Send + Sync + 'static,
    {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        ensure!(!services.contains_key(name), TakenSnafu { name });
        services.insert(name, Box::new(handle));
        Ok(())
    }

    /// Finds a service; call it at start and keep the handle.
    ///
    /// # Errors
    /// [`Error::Missing`] and [`Error::WrongType`].
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

    /// Returns all names in order.
    pub fn names(&self) -> Vec<&'static str> {
        let services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        services.keys().copied().collect()
    }
}
