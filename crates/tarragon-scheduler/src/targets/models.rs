//! Sets of models as bit masks, so that choosing a target compares no names.

use indexmap::IndexSet;

use crate::prelude::*;

/// Models with a bit of their own. Three are in steady use.
const MAX_MODELS: usize = 63;

/// Bit shared by all other models. A target that holds one of them is tried for each of them, and rejects
/// requests that it can't serve.
pub const OTHER_MODEL: u64 = 1 << MAX_MODELS;

/// Models that targets have reported or that rules name, by bit. Names that only callers use get no bit, so
/// that callers can't exhaust the bits.
#[derive(Debug, Default)]
pub struct ModelBits {
    names: IndexSet<ModelName>,
}

impl ModelBits {
    /// Bit of a model; for a plain call, which any target takes, all bits.
    pub fn find(&self, model: Option<&ModelName>) -> u64 {
        match model {
            Some(model) => self.names.get_index_of(model).map_or(OTHER_MODEL, |index| 1 << index),
            None => u64::MAX,
        }
    }

    /// Bits of the models that a target reports; all if it is not known what it holds.
    pub fn set(&mut self, models: &[ModelName]) -> u64 {
        if models.is_empty() {
            return u64::MAX;
        }
        self.set_exactly(models)
    }

    /// Bits of the models; no bits for an empty list.
    pub fn set_exactly(&mut self, models: &[ModelName]) -> u64 {
        models.iter().fold(0, |set, model| set | self.add(model))
    }

    fn add(&mut self, model: &ModelName) -> u64 {
        if self.names.len() < MAX_MODELS {
            self.names.insert(model.clone());
        }
        self.find(Some(model))
    }
}
