//! The table that defines all keys.

use crate::Kind::{ModelGroup, Organisation, Policy, Root};
use crate::{Key, Kind, Preset, Shape, Spec};

const SECOND: u64 = 1_000;
const MINUTE: u64 = 60 * SECOND;
const HOUR: u64 = 60 * MINUTE;
const DAY: u64 = 24 * HOUR;

const ONE: u32 = 1_000_000;

/// Keys that apply to callers: an organisation inherits them from policies and the root.
const FOR_CALLERS: &[Kind] = &[Root, Policy, Organisation];
/// Keys that apply to serving: a model group inherits them from policies and the root.
const FOR_SERVING: &[Kind] = &[Root, Policy, ModelGroup];
const FOR_GROUPS: &[Kind] = &[ModelGroup];
const FOR_ROOT: &[Kind] = &[Root];

const REQUEST_RATE: Shape = Shape::Integer {
    min: 0,
    max: 1_000_000,
};
const CONCURRENCY: Shape = Shape::Integer {
    min: 0,
    max: 1_000_000,
};
const WEIGHT: Shape = Shape::Fraction {
    min: 0,
    max: 1_000 * ONE,
};
const SHARE: Shape = Shape::Fraction { min: 0, max: ONE };

/// All keys, in the order of [`Key`]'s variants.
pub static KEYS: &[Spec] = &[
    Spec {
        key: Key::RequestRateLimit,
        name: "request-rate-limit",
        shape: REQUEST_RATE,
        unit: "requests/s",
        default: Preset::Integer(2_000),
        doc: "The most requests a second that are admitted over all entries.",
        kinds: FOR_CALLERS,
    },
    Spec {
        key: Key::RequestRateFloor,
        name: "request-rate-floor",
        shape: REQUEST_RATE,
        unit: "requests/s",
        default: Preset::Integer(0),
        doc: "The requests a second that are guaranteed to an organisation. The floors below a \
              node never add up to more than the node's `request-rate-limit`.",
        kinds: FOR_CALLERS,
    },
    Spec {
        key: Key::ConcurrencyLimit,
        name: "concurrency-limit",
        shape: CONCURRENCY,
        unit: "requests",
        default: Preset::Integer(20_000),
        doc: "The most requests that run at one time over all entries.",
        kinds: FOR_CALLERS,
    },
    Spec {
        key: Key::ConcurrencyFloor,
        name: "concurrency-floor",
        shape: CONCURRENCY,
        unit: "requests",
        default: Preset::Integer(0),
        doc: "The running requests that are guaranteed to an organisation. The floors below a \
              node never add up to more than the node's `concurrency-limit`.",
        kinds: FOR_CALLERS,
    },
    Spec {
        key: Key::Priority,
        name: "priority",
        shape: Shape::Integer { min: 0, max: 9 },
        unit: "",
        default: Preset::Integer(5),
        doc: "The priority of requests that state none; a greater one goes first.",
        kinds: FOR_CALLERS,
    },
    Spec {
        key: Key::Idempotent,
        name: "idempotent",
        shape: Shape::Boolean,
        unit: "",
        default: Preset::Boolean(false),
        doc: "Whether a request that does not say so itself may be repeated.",
        kinds: FOR_CALLERS,
    },
    Spec {
        key: Key::KeyLifetime,
        name: "key-lifetime",
        shape: Shape::Duration {
            min: SECOND,
            max: 15 * MINUTE,
        },
        unit: "time",
        default: Preset::Duration(15 * MINUTE),
        doc: "The age from which a key that carries its time is refused. Keys are remembered for \
              15 minutes, which no setting extends.",
        kinds: FOR_CALLERS,
    },
    Spec {
        key: Key::BareKeys,
        name: "bare-keys",
        shape: Shape::Choice(&["accept", "refuse"]),
        unit: "",
        default: Preset::Text("refuse"),
        doc: "Whether a non-idempotent request is accepted with a key of the caller's own making, \
              for which no ticket was fetched first.",
        kinds: FOR_CALLERS,
    },
    Spec {
        key: Key::Deadline,
        name: "deadline",
        shape: Shape::Duration {
            min: 100,
            max: HOUR,
        },
        unit: "time",
        default: Preset::Duration(MINUTE),
        doc: "How long a whole answer may take where the request states no deadline.",
        kinds: FOR_CALLERS,
    },
    Spec {
        key: Key::FirstTokenDeadline,
        name: "first-token-deadline",
        shape: Shape::Duration { min: 10, max: HOUR },
        unit: "time",
        default: Preset::Duration(10 * SECOND),
        doc: "How long the first token of an answer may take.",
        kinds: FOR_CALLERS,
    },
    Spec {
        key: Key::RetryBudget,
        name: "retry-budget",
        shape: SHARE,
        unit: "of first attempts",
        default: Preset::Fraction(ONE / 10),
        doc: "The retries that are allowed, as a fraction of first attempts.",
        kinds: FOR_CALLERS,
    },
    Spec {
        key: Key::Routes,
        name: "routes",
        shape: Shape::Routes,
        unit: "",
        default: Preset::NoRoutes,
        doc: "The routes of plain services: `{prefix, endpoints, repeatable}`. The longest prefix \
              that covers a path wins. An override replaces the whole list.",
        kinds: FOR_CALLERS,
    },
    Spec {
        key: Key::QueueBound,
        name: "queue-bound",
        shape: Shape::Integer {
            min: 0,
            max: 100_000,
        },
        unit: "requests",
        default: Preset::Integer(256),
        doc: "The most requests that wait for a model group at one entry; more are refused as not \
              run.",
        kinds: FOR_SERVING,
    },
    Spec {
        key: Key::AffinityBound,
        name: "affinity-bound",
        shape: Shape::Fraction {
            min: ONE,
            max: 10 * ONE,
        },
        unit: "of the mean load",
        default: Preset::Fraction(ONE + ONE / 4),
        doc: "The load up to which an endpoint is preferred for the prompt prefix that it has \
              cached.",
        kinds: FOR_SERVING,
    },
    Spec {
        key: Key::SubsetSize,
        name: "subset-size",
        shape: Shape::Integer {
            min: 1,
            max: 10_000,
        },
        unit: "endpoints",
        default: Preset::Integer(8),
        doc: "The endpoints of a model group that one entry knows; more where there are few entries, \
              so that each endpoint is known to two of them on the mean.",
        kinds: FOR_SERVING,
    },
    Spec {
        key: Key::AddressLifetime,
        name: "address-lifetime",
        shape: Shape::Duration {
            min: SECOND,
            max: HOUR,
        },
        unit: "time",
        default: Preset::Duration(30 * SECOND),
        doc: "How long a caller may keep the addresses that it was told. An entry that stops \
              serves for this long after it left the list.",
        kinds: FOR_ROOT,
    },
    Spec {
        key: Key::DrainTime,
        name: "drain-time",
        shape: Shape::Duration { min: 0, max: DAY },
        unit: "time",
        default: Preset::Duration(10 * MINUTE),
        doc: "How long a planned stop waits for requests in flight before it reports that it is \
              held up.",
        kinds: FOR_SERVING,
    },
    Spec {
        key: Key::SkewWeight,
        name: "skew-weight",
        shape: WEIGHT,
        unit: "",
        default: Preset::Fraction(ONE),
        doc: "The weight of step-time skew when expert maps are decided.",
        kinds: FOR_SERVING,
    },
    Spec {
        key: Key::RebalancingWeight,
        name: "rebalancing-weight",
        shape: WEIGHT,
        unit: "",
        default: Preset::Fraction(ONE),
        doc: "The weight of the cost of moving experts when expert maps are decided.",
        kinds: FOR_SERVING,
    },
    Spec {
        key: Key::PaybackHorizon,
        name: "payback-horizon",
        shape: Shape::Duration {
            min: SECOND,
            max: 7 * DAY,
        },
        unit: "time",
        default: Preset::Duration(10 * MINUTE),
        doc: "The time within which moving experts has to pay for itself.",
        kinds: FOR_SERVING,
    },
    Spec {
        key: Key::WeightStoreShare,
        name: "weight-store-share",
        shape: SHARE,
        unit: "of the weight store's rate",
        default: Preset::Fraction(ONE / 4),
        doc: "The part of the weight store's rate that moving experts may use.",
        kinds: FOR_SERVING,
    },
    Spec {
        key: Key::Model,
        name: "model",
        shape: Shape::Text,
        unit: "",
        default: Preset::Text(""),
        doc: "The model that the group serves; a group without one serves nothing.",
        kinds: FOR_GROUPS,
    },
    Spec {
        key: Key::Ranks,
        name: "ranks",
        shape: Shape::Integer { min: 1, max: 4_096 },
        unit: "ranks",
        default: Preset::Integer(1),
        doc: "The ranks that step together.",
        kinds: FOR_GROUPS,
    },
    Spec {
        key: Key::Experts,
        name: "experts",
        shape: Shape::Integer {
            min: 0,
            max: 65_535,
        },
        unit: "experts a layer",
        default: Preset::Integer(0),
        doc: "The experts of each layer; 0 for a model without experts.",
        kinds: FOR_GROUPS,
    },
    Spec {
        key: Key::Layers,
        name: "layers",
        shape: Shape::Integer { min: 0, max: 1_024 },
        unit: "layers",
        default: Preset::Integer(0),
        doc: "The layers that have experts.",
        kinds: FOR_GROUPS,
    },
    Spec {
        key: Key::Endpoints,
        name: "endpoints",
        shape: Shape::Names,
        unit: "",
        default: Preset::Names(&[]),
        doc: "The endpoints of the group by name. An endpoint belongs to one group.",
        kinds: FOR_GROUPS,
    },
    Spec {
        key: Key::EndpointSelector,
        name: "endpoint-selector",
        shape: Shape::Text,
        unit: "",
        default: Preset::Text(""),
        doc: "The prefix of the names of the group's endpoints, in place of `endpoints`.",
        kinds: FOR_GROUPS,
    },
    Spec {
        key: Key::EndpointFencing,
        name: "endpoint-fencing",
        shape: Shape::Choice(&["checked", "ignored"]),
        unit: "",
        default: Preset::Text("ignored"),
        doc: "Whether endpoints refuse an order with an old fencing number.",
        kinds: FOR_SERVING,
    },
    Spec {
        key: Key::Adapter,
        name: "adapter",
        shape: Shape::Text,
        unit: "",
        default: Preset::Text(""),
        doc: "The adapter that endpoints are ordered to load; empty: none.",
        kinds: FOR_SERVING,
    },
    Spec {
        key: Key::Version,
        name: "version",
        shape: Shape::Text,
        unit: "",
        default: Preset::Text(""),
        doc: "The version that endpoints are ordered to load; empty: the one they hold.",
        kinds: FOR_SERVING,
    },
    Spec {
        key: Key::Role,
        name: "role",
        shape: Shape::Text,
        unit: "",
        default: Preset::Text(""),
        doc: "The role that endpoints are ordered to take; empty: the one they have.",
        kinds: FOR_SERVING,
    },
    Spec {
        key: Key::AllowedOrganisations,
        name: "allowed-organisations",
        shape: Shape::Names,
        unit: "",
        default: Preset::Names(&["*"]),
        doc: "The organisations that may use the model, by name; `*` stands for all of them and \
              an empty list for none.",
        kinds: FOR_SERVING,
    },
];
