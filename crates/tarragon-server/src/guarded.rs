//! A mutex whose lock never outlives a closure, so that it can't be held over an await point.

use std::sync::{Mutex, PoisonError};

/// A value that tasks change one after another.
#[derive(Debug, Default)]
pub struct Guarded<T> {
    value: Mutex<T>,
}

impl<T> Guarded<T> {
    /// Guards a value.
    pub fn new(value: T) -> Guarded<T> {
        Guarded { value: Mutex::new(value) }
    }

    /// Runs a closure on the value.
    pub fn with<R>(&self, work: impl FnOnce(&mut T) -> R) -> R {
        // The closures don't panic between two related changes, so a poisoned value is whole.
        work(&mut self.value.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
