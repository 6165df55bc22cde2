//! Sizes and names of the two example deployments.

use agatestair_schema::settings::{EngineSettings, PlainSettings};

/// Number of failure domains of a deployment.
pub const DOMAIN_COUNT: usize = 3;

/// Speed and capacity of the simulated engines.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpeed {
    /// Processing time of one prompt token in microseconds.
    pub prefill_us: f64,
    /// Time of one decode step with an empty batch, in milliseconds.
    pub step_ms: f64,
    /// Time that each sequence adds to a decode step, in microseconds.
    pub sequence_us: f64,
    /// Maximum number of sequences in a batch.
    pub max_batch: u32,
    /// Maximum number of prompt tokens processed in one step.
    pub chunk_tokens: u32,
    /// Size of the KV cache in tokens.
    pub kv_tokens: u64,
    /// Lag of load reports in milliseconds.
    pub report_lag: u64,
    /// Duration of a role change in milliseconds.
    pub role_ms: u64,
    /// Duration of a model load in milliseconds.
    pub load_ms: u64,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self {
            prefill_us: 40.0,
            step_ms: 20.0,
            sequence_us: 400.0,
            max_batch: 16,
            chunk_tokens: 512,
            kv_tokens: 131_072,
            report_lag: 500,
            role_ms: 3000,
            load_ms: 2000,
        }
    }
}

/// One customer of a layout.
#[derive(Clone, Copy, Debug)]
pub struct LayoutCustomer {
    /// Name of the customer.
    pub name: &'static str,
    /// Name of its plan in the example lists.
    pub plan: &'static str,
}

impl LayoutCustomer {
    /// API key in plain text; the example lists contain its hash.
    pub fn key(&self) -> String {
        format!("test-key-{}", self.name)
    }
}

/// Sizes and names of a deployment.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Name of the deployment.
    pub name: &'static str,
    /// Region of all processes.
    pub region: &'static str,
    /// Names of the failure domains.
    pub domains: [&'static str; DOMAIN_COUNT],
    /// Name of the service that the engines provide.
    pub models_service: &'static str,
    /// Models loaded on all engines.
    pub models: [&'static str; 2],
    /// Number of engines.
    pub engines: u32,
    /// Speed of the engines.
    pub speed: EngineSpeed,
    /// Whether engines refuse orders with an outdated fencing number.
    pub fenced: bool,
    /// Name of the plain service.
    pub plain_service: &'static str,
    /// Number of endpoints of the plain service.
    pub plain: u32,
    /// Duration of one call to the plain service, in milliseconds.
    pub work_ms: u64,
    /// Customers of the example lists.
    pub customers: &'static [LayoutCustomer],
    /// List of customers' plans, as JSONC text.
    pub plans: &'static str,
    /// List of what each plan may use, as JSONC text.
    pub allowances: &'static str,
}

const LEXICON_CUSTOMERS: &[LayoutCustomer] = &[
    LayoutCustomer { name: "national-league", plan: "premier" },
    LayoutCustomer { name: "club-app", plan: "standard" },
    LayoutCustomer { name: "school-archive", plan: "basic" },
];

const FITLINE_CUSTOMERS: &[LayoutCustomer] = &[
    LayoutCustomer { name: "shop-chat", plan: "premier" },
    LayoutCustomer { name: "style-advice", plan: "standard" },
    LayoutCustomer { name: "catalogue-import", plan: "basic" },
];

impl Layout {
    /// Deployment of the Lagos Lexicon Utility Board.
    pub fn lexicon() -> Self {
        Self {
            name: "lexicon",
            region: "ng-southwest",
            domains: ["ikeja", "yaba", "lekki"],
            models_service: "lexicon-models",
            models: ["rulebook", "wordcheck"],
            engines: 14,
            speed: EngineSpeed::default(),
            fenced: true,
            plain_service: "match-ledger",
            plain: 3,
            work_ms: 10,
            customers: LEXICON_CUSTOMERS,
            plans: include_str!("../../../examples/lexicon/plans.jsonc"),
            allowances: include_str!("../../../examples/lexicon/allowances.jsonc"),
        }
    }

    /// Deployment of Hualien Fitline Software Co.; its engines ignore fencing numbers.
    pub fn fitline() -> Self {
        Self {
            name: "fitline",
            region: "tw-north",
            domains: ["tw-north-a", "tw-north-b", "tw-north-c"],
            models_service: "chat-models",
            models: ["style", "sizing"],
            engines: 9,
            speed: EngineSpeed::default(),
            fenced: false,
            plain_service: "booking-app",
            plain: 3,
            work_ms: 15,
            customers: FITLINE_CUSTOMERS,
            plans: include_str!("../../../examples/fitline/plans.jsonc"),
            allowances: include_str!("../../../examples/fitline/allowances.jsonc"),
        }
    }

    /// The layout with this name.
    pub fn by_name(name: &str) -> Option<Self> {
        match name {
            "lexicon" => Some(Self::lexicon()),
            "fitline" => Some(Self::fitline()),
            _ => None,
        }
    }

    /// Settings of the engines: they listen on ports from `first_port` on, and the platform lists
    /// them with ports from `listed_port` on.
    pub fn engine_settings(&self, first_port: u16, listed_port: u16) -> EngineSettings {
        let speed = self.speed;
        EngineSettings {
            service: self.models_service.to_owned(),
            prefix: format!("{}-", self.models_service),
            domains: self.domains.map(str::to_owned).to_vec(),
            region: self.region.to_owned(),
            first_port,
            listed_port,
            count: self.engines,
            models: self.models.map(str::to_owned).to_vec(),
            fenced: self.fenced,
            prefill_us: speed.prefill_us,
            step_ms: speed.step_ms,
            sequence_us: speed.sequence_us,
            max_batch: speed.max_batch,
            chunk_tokens: speed.chunk_tokens,
            kv_tokens: speed.kv_tokens,
            block_tokens: 4096,
            report_lag: speed.report_lag,
            role_ms: speed.role_ms,
            load_ms: speed.load_ms,
            event_loss: 0.02,
        }
    }

    /// Settings of the plain service: its endpoints listen on ports from `first_port` on, and the
    /// platform lists them with ports from `listed_port` on.
    pub fn plain_settings(&self, first_port: u16, listed_port: u16) -> PlainSettings {
        PlainSettings {
            service: self.plain_service.to_owned(),
            prefix: format!("{}-", self.plain_service),
            domains: self.domains.map(str::to_owned).to_vec(),
            region: self.region.to_owned(),
            first_port,
            listed_port,
            count: self.plain,
            work_ms: self.work_ms,
        }
    }
}
