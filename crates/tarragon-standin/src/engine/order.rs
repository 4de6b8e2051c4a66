//! Orders to an engine and exchange of its KV cache.

use std::time::Instant;

use serde::{Deserialize, Serialize};
use tarragon_protocol::{
    engine::{EngineOrder, OrderChange},
    prelude::*,
};

use super::EngineBatch;

/// Body of `POST /kv/export` and `/kv/import`, and of their answers: the blocks asked for, and those that
/// are held afterwards.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct BlockExchange {
    pub(super) blocks: Vec<BlockHash>,
}

/// Answer to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct OrderAnswer {
    pub(super) taken: bool,
    pub(super) fencing: FencingNumber,
}

impl EngineBatch {
    /// Takes an order, or refuses it for its fencing number. A model to load is returned, since loading
    /// takes time.
    pub(super) fn take_order(
        &mut self,
        order: EngineOrder,
        now: Instant,
    ) -> (OrderAnswer, Option<ModelName>) {
        if self.settings().checks_fencing && order.fencing < self.fencing {
            self.counters.orders_refused += 1;
            return (OrderAnswer { taken: false, fencing: self.fencing }, None);
        }
        self.counters.orders_taken += 1;
        self.fencing = order.fencing;
        self.last_order = Some(now);
        let mut loading = None;
        match order.change {
            OrderChange::Load { model, .. } => loading = Some(model),
            OrderChange::Unload { model } => self.models.retain(|held| *held != model),
            OrderChange::Role { role } => self.role = role,
        }
        (OrderAnswer { taken: true, fencing: self.fencing }, loading)
    }

    /// Holds a model whose load has ended.
    pub(super) fn add_model(&mut self, model: ModelName) {
        if !self.holds(&model) {
            self.models.push(model);
        }
    }

    pub(super) fn export_blocks(&self, wanted: &BlockExchange) -> BlockExchange {
        BlockExchange { blocks: self.cache.held(&wanted.blocks) }
    }

    pub(super) fn import_blocks(&mut self, given: &BlockExchange, now: Instant) -> BlockExchange {
        self.cache.store(&given.blocks, now);
        self.export_blocks(given)
    }
}
