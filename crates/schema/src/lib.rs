//! Wire types for messages, table rows, lists and settings, shared by all processes.
//!
//! The types in [`caller`], [`endpoint`], [`link`], [`lists`], [`platform`], [`settings`], [`slo`],
//! [`standins`], [`status`] and [`testbed`] are generated from the files in `schemas/` by
//! `agatestair-codegen`. Other crates convert them to their own types with `From` and `TryFrom`.

mod samples;
mod tokens;

pub use samples::push_sample;
pub use tokens::{
    BYTES_PER_TOKEN, answer_text, answer_token, chat_prompt, count_tokens, prefix_blocks,
};

/// Declares a module of generated types.
macro_rules! generated {
    ($(#[$doc:meta])* $name:ident, $file:literal, $schema:ident, $path:literal) => {
        $(#[$doc])*
        #[allow(clippy::all, dead_code, irrefutable_let_patterns, missing_docs, rustdoc::all)]
        pub mod $name {
            include!($file);
        }

        /// Text of the schema from which the module of the same name is generated.
        pub const $schema: &str = include_str!($path);
    };
}

generated!(
    /// HTTP API for callers.
    caller, "generated/caller.rs", CALLER_SCHEMA, "../schemas/caller.schema.json"
);
generated!(
    /// HTTP API of engines and plain services.
    endpoint, "generated/endpoint.rs", ENDPOINT_SCHEMA, "../schemas/endpoint.schema.json"
);
generated!(
    /// Messages between instances.
    link, "generated/link.rs", LINK_SCHEMA, "../schemas/link.schema.json"
);
generated!(
    /// The two lists and the rows of the table service.
    lists, "generated/lists.rs", LISTS_SCHEMA, "../schemas/lists.schema.json"
);
generated!(
    /// HTTP API of the platform's services.
    platform, "generated/platform.rs", PLATFORM_SCHEMA, "../schemas/platform.schema.json"
);
generated!(
    /// Settings of the binaries.
    settings, "generated/settings.rs", SETTINGS_SCHEMA, "../schemas/settings.schema.json"
);
generated!(
    /// Counters for service-level objectives, stored in the object store.
    slo, "generated/slo.rs", SLO_SCHEMA, "../schemas/slo.schema.json"
);
generated!(
    /// Description of running deployments of real processes and stand-ins.
    testbed, "generated/testbed.rs", TESTBED_SCHEMA, "../schemas/testbed.schema.json"
);

generated!(
    /// Records and control API of the stand-ins.
    standins, "generated/standins.rs", STANDINS_SCHEMA, "../schemas/standins.schema.json"
);
generated!(
    /// Status report of a deployment.
    status, "generated/status.rs", STATUS_SCHEMA, "../schemas/status.schema.json"
);

/// Highest version of the link protocol that this build supports.
pub const LINK_VERSION: u32 = 1;
