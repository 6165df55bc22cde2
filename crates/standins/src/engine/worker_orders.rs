//! Order handling of an engine's worker.

use std::time::Instant;

use agatestair_schema::endpoint::{Order, OrderReply, OrderResult};

use super::order_state::{Change, Decision, Goal};
use super::worker::Worker;

impl Worker {
    /// Records an order and replies to it; applies it or starts its change unless it is refused.
    pub(super) fn handle_order(&mut self, order: Order) -> OrderReply {
        let mut record = self.orders.order_record(&order, &self.shared.name, &self.boot_name());
        match self.orders.decide(&order) {
            Decision::Reply(reply) => {
                record.result = reply.result.to_string();
                self.shared.recorder.add_order(record);
                reply
            }
            Decision::Apply => {
                record.result = OrderResult::Done.to_string();
                let id = self.shared.recorder.add_order(record);
                self.orders.apply(&order);
                self.shared.recorder.finish_order(id, false);
                self.orders.reply(OrderResult::Done, "in effect")
            }
            Decision::Start(goal) => {
                record.result = OrderResult::Started.to_string();
                let id = self.shared.recorder.add_order(record);
                self.orders.record_result(&order, OrderResult::Started);
                self.orders.change = Some(Change { order, record_id: id, goal, ready_at: None });
                self.orders.reply(OrderResult::Started, "under way")
            }
        }
    }

    /// Advances the change in progress: waits until all requests have ended (for a role) or until
    /// the weights are granted (for a model), then for the duration of the change.
    pub(super) fn advance_change(&mut self) {
        let idle = self.batch.is_empty() && self.waiting.is_empty();
        let Some(change) = &mut self.orders.change else {
            return;
        };
        let now = Instant::now();
        if let Some(ready_at) = change.ready_at {
            if ready_at <= now {
                self.finish_change();
            }
            return;
        }
        change.ready_at = match &change.goal {
            Goal::Role(_) if idle => Some(now + self.settings.role_time),
            Goal::Role(_) => None,
            Goal::Model(model) => {
                let wait = (self.settings.weights)(model);
                wait.is_none().then(|| now + self.settings.load_time)
            }
        };
    }

    fn finish_change(&mut self) {
        if let Some(change) = self.orders.finish_change() {
            let role_changed = matches!(change.goal, Goal::Role(_));
            self.shared.recorder.finish_order(change.record_id, role_changed);
        }
    }
}
