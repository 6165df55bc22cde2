//! How the worker of an engine carries out orders.

use std::time::Instant;

use agatestair_schema::endpoint::{Order, OrderReply, OrderResult};

use super::order_state::{Change, Goal, Verdict};
use super::worker::Worker;

impl Worker {
    /// Records an order and carries it out or refuses it.
    pub(super) fn take_order(&mut self, order: Order) -> OrderReply {
        let mut record = self.orders.record(&order, &self.shared.name, &self.boot_name());
        match self.orders.judge(&order) {
            Verdict::Answer(reply) => {
                record.result = reply.result.to_string();
                self.shared.recorder.add_order(record);
                reply
            }
            Verdict::Apply => {
                record.result = OrderResult::Done.to_string();
                let number = self.shared.recorder.add_order(record);
                self.orders.apply(&order);
                self.shared.recorder.finish_order(number, false);
                self.orders.reply(OrderResult::Done, "in effect")
            }
            Verdict::Start(goal) => {
                record.result = OrderResult::Started.to_string();
                let number = self.shared.recorder.add_order(record);
                self.orders.note(&order, OrderResult::Started);
                self.orders.change = Some(Change { order, record: number, goal, ready: None });
                self.orders.reply(OrderResult::Started, "under way")
            }
        }
    }

    /// Moves the change under way on: running work ends, then the change takes its time.
    pub(super) fn advance_change(&mut self) {
        let idle = self.batch.is_empty() && self.waiting.is_empty();
        let Some(change) = &mut self.orders.change else {
            return;
        };
        let now = Instant::now();
        if let Some(ready) = change.ready {
            if ready <= now {
                self.finish_change();
            }
            return;
        }
        change.ready = match &change.goal {
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
            self.shared.recorder.finish_order(change.record, role_changed);
        }
    }
}
