//! Engines of services by failure domain.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::configuration::Scaling;
use crate::node::Node;

/// Numbers of standing and of reclaimable engines, by failure domain.
pub type Engines = BTreeMap<Arc<str>, [u32; 2]>;

impl Node {
    /// Services whose engines can be ordered.
    pub fn scaled_services(&self) -> Vec<(Arc<str>, Scaling)> {
        let services = self.configuration.iter().flat_map(|known| known.services.values());
        let scaled =
            services.filter_map(|service| Some((service.name.clone(), service.scaling.clone()?)));
        scaled.collect()
    }

    /// Engines of a service that serve and are not leaving, in the domains where it may run.
    pub fn engines_by_domain(&self, service: &str, scaling: &Scaling) -> Engines {
        let mut engines: Engines =
            scaling.prices.keys().map(|domain| (domain.clone(), [0, 0])).collect();
        for key in self.board.members(service) {
            let endpoint = &self.board.endpoints[*key];
            let counts = engines.entry(endpoint.facts.domain.clone()).or_default();
            if !endpoint.is_leaving() {
                counts[usize::from(endpoint.facts.reclaimable)] += 1;
            }
        }
        engines
    }
}
