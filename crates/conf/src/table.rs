//! The definitions of all sections and directives.

use std::time::Duration;

use crate::directives::{DefaultValue, Directive, Section, TakesEffect, TitleRule};
use crate::value::Kind;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// All sections, in the order of the operators' page.
pub const SECTIONS: &[Section] = &[
    Section {
        name: "fleet",
        title: TitleRule::Untitled,
        max_count: 1,
        requires: &[],
        conflicts: &[],
        description: "Makes this router a member of a fleet. Without it the router shares nothing with \
                others.",
    },
    Section {
        name: "peer",
        title: TitleRule::AnyName,
        max_count: 256,
        requires: &[],
        conflicts: &[],
        description: "The address of another member of the fleet, through which this router joins it; the \
                title is the member's name. A few are enough, as the other members are learned from them. \
                The router's own address may be among them, so that all routers can use the same file.",
    },
    Section {
        name: "duty",
        title: TitleRule::OneOf(&["probe"]),
        max_count: 1,
        requires: &[],
        conflicts: &[],
        description: "A periodic task that the fleet divides among its members; `probe` is the health \
                checking of nodes.",
    },
    Section {
        name: "publish",
        title: TitleRule::Untitled,
        max_count: 1,
        requires: &["fleet"],
        conflicts: &["subscribe"],
        description: "Makes this process a control instance: it sends what its fleet of control instances \
                observes of the databases to the routers that subscribe.",
    },
    Section {
        name: "subscribe",
        title: TitleRule::Untitled,
        max_count: 1,
        requires: &["control"],
        conflicts: &["fleet"],
        description: "Makes this router receive observations of the databases from control instances, \
                without being a member of their fleet.",
    },
    Section {
        name: "control",
        title: TitleRule::AnyName,
        max_count: 64,
        requires: &["subscribe"],
        conflicts: &[],
        description: "A control instance that this router may follow; the title is its name. The router \
                follows two of them and prefers those of its own region.",
    },
];

/// All directives. Those of a section have the order of the operators' page.
pub const DIRECTIVES: &[Directive] = &[
    Directive {
        section: "",
        name: "platform",
        kind: Kind::Path,
        default: DefaultValue::Optional,
        takes_effect: TakesEffect::OnRestart,
        description: "The JSON file with the platform's settings, if neither `--config` nor `GW_CONFIG` \
                names one.",
    },
    Directive {
        section: "",
        name: "log",
        kind: Kind::OneOf(&["text", "json"]),
        default: DefaultValue::Text("text"),
        takes_effect: TakesEffect::OnRestart,
        description: "The format of the log: lines of text, or one JSON object per line.",
    },
    Directive {
        section: "fleet",
        name: "listen",
        kind: Kind::Address,
        default: DefaultValue::Required,
        takes_effect: TakesEffect::OnRestart,
        description: "The address at which datagrams from other members are received (UDP).",
    },
    Directive {
        section: "fleet",
        name: "advertise",
        kind: Kind::Address,
        default: DefaultValue::Optional,
        takes_effect: TakesEffect::OnRestart,
        description: "The address at which other members reach this router, if it differs from `listen`.",
    },
    Directive {
        section: "fleet",
        name: "keys",
        kind: Kind::Path,
        default: DefaultValue::Required,
        takes_effect: TakesEffect::OnReload,
        description: "The file with the fleet's keys: one or two, each on a line of its own as 64 \
                hexadecimal digits. Only its owner may have permissions for it.",
    },
    Directive {
        section: "fleet",
        name: "zone",
        kind: Kind::Name,
        default: DefaultValue::Optional,
        takes_effect: TakesEffect::OnRestart,
        description: "The zone of this router, by its name in the platform's settings. The router is \
                preferred as owner of tasks in its zone.",
    },
    Directive {
        section: "fleet",
        name: "weight",
        kind: Kind::Count { min: 0, max: 255 },
        default: DefaultValue::Text("1"),
        takes_effect: TakesEffect::OnRestart,
        description: "This router's share of the tasks, relative to the weights of the other members. With 0 \
                it owns none and only receives the observations of others.",
    },
    Directive {
        section: "fleet",
        name: "news-budget",
        kind: Kind::Size { min: 4 << 10, max: 1 << 30 },
        default: DefaultValue::Text("2MiB"),
        takes_effect: TakesEffect::OnRestart,
        description: "The maximum rate at which observations are sent, in bytes per second for all peers \
                together; the latest observations are sent first. On a control instance it is at least \
                twice the rate that observations of all databases need.",
    },
    Directive {
        section: "fleet",
        name: "work-budget",
        kind: Kind::Count { min: 1, max: 1_000_000 },
        default: DefaultValue::Text("2000"),
        takes_effect: TakesEffect::OnRestart,
        description: "The maximum rate of background work per second, in the units of `cost`. On a control \
                instance it is at least twice the rate that the health checks of all databases need.",
    },
    Directive {
        section: "fleet",
        name: "letters",
        kind: Kind::Count { min: 100, max: 1_000_000 },
        default: DefaultValue::Text("20000"),
        takes_effect: TakesEffect::OnRestart,
        description: "The maximum number of datagrams that are read per second. Further ones wait in the \
                socket, and are lost when its buffer is full.",
    },
    Directive {
        section: "peer",
        name: "address",
        kind: Kind::Address,
        default: DefaultValue::Required,
        takes_effect: TakesEffect::OnReload,
        description: "The member's address for datagrams.",
    },
    Directive {
        section: "duty",
        name: "every",
        kind: Kind::Duration { min: ms(20), max: ms(3_600_000) },
        default: DefaultValue::Optional,
        takes_effect: TakesEffect::OnRestart,
        description: "The period of the task, which all routers perform together. If not set: half of the \
                tightest staleness bound in the platform's settings, or 500ms if there is none.",
    },
    Directive {
        section: "duty",
        name: "grace",
        kind: Kind::Duration { min: ms(20), max: ms(3_600_000) },
        default: DefaultValue::Optional,
        takes_effect: TakesEffect::OnRestart,
        description: "The delay after which the next router in line takes over what the owner has not done, \
                and after the same delay again the router after that. If not set: the value of `every`.",
    },
    Directive {
        section: "duty",
        name: "floor",
        kind: Kind::Duration { min: ms(10), max: ms(3_600_000) },
        default: DefaultValue::Optional,
        takes_effect: TakesEffect::OnRestart,
        description: "The minimum interval between two runs of the task for the same node by one router, \
                under all circumstances. If not set: the value of `every`, which is also the interval of a \
                router without a fleet.",
    },
    Directive {
        section: "duty",
        name: "longest",
        kind: Kind::Duration { min: ms(10), max: ms(3_600_000) },
        default: DefaultValue::Text("2s"),
        takes_effect: TakesEffect::OnRestart,
        description: "The maximum duration of a run. One that has not ended by then is started again.",
    },
    Directive {
        section: "duty",
        name: "priority",
        kind: Kind::Count { min: 0, max: 255 },
        default: DefaultValue::Text("0"),
        takes_effect: TakesEffect::OnRestart,
        description: "Tasks with lower numbers are run first when the budget is short.",
    },
    Directive {
        section: "duty",
        name: "cost",
        kind: Kind::Count { min: 1, max: 1_000_000 },
        default: DefaultValue::Text("1"),
        takes_effect: TakesEffect::OnRestart,
        description: "How much of `work-budget` one run uses.",
    },
    Directive {
        section: "publish",
        name: "listen",
        kind: Kind::Address,
        default: DefaultValue::Required,
        takes_effect: TakesEffect::OnRestart,
        description: "The address at which datagrams from routers are received and from which observations \
                are sent (UDP). It must differ from the fleet's `listen`.",
    },
    Directive {
        section: "publish",
        name: "keys",
        kind: Kind::Path,
        default: DefaultValue::Required,
        takes_effect: TakesEffect::OnReload,
        description: "The file with the keys that are shared with routers, in the format of the fleet's key \
                file. Its keys should differ from the fleet's, as anyone with the fleet's keys can take \
                part in the health checking.",
    },
    Directive {
        section: "publish",
        name: "subscribers",
        kind: Kind::Count { min: 1, max: 100_000 },
        default: DefaultValue::Text("10000"),
        takes_effect: TakesEffect::OnRestart,
        description: "The maximum number of routers that are served. Further ones are rejected and try \
                another control instance.",
    },
    Directive {
        section: "publish",
        name: "copy-budget",
        kind: Kind::Size { min: 4 << 10, max: 1 << 30 },
        default: DefaultValue::Text("8MiB"),
        takes_effect: TakesEffect::OnRestart,
        description: "The maximum rate at which snapshots are sent, in bytes per second for all routers \
                together. Routers that request one meanwhile wait in a queue.",
    },
    Directive {
        section: "subscribe",
        name: "listen",
        kind: Kind::Address,
        default: DefaultValue::Required,
        takes_effect: TakesEffect::OnRestart,
        description: "The address at which datagrams from control instances are received (UDP). This router \
                sends from the same address, and control instances reply to it. With port 0 the system \
                chooses a port.",
    },
    Directive {
        section: "subscribe",
        name: "keys",
        kind: Kind::Path,
        default: DefaultValue::Required,
        takes_effect: TakesEffect::OnReload,
        description: "The file with the keys that are shared with control instances: one or two, each on a \
                line of its own as 64 hexadecimal digits. Only its owner may have permissions for it.",
    },
    Directive {
        section: "subscribe",
        name: "region",
        kind: Kind::Name,
        default: DefaultValue::Optional,
        takes_effect: TakesEffect::OnRestart,
        description: "The region of this router, by its name in the `control` sections. Without it, no \
                control instance is preferred for its region.",
    },
    Directive {
        section: "control",
        name: "address",
        kind: Kind::Address,
        default: DefaultValue::Required,
        takes_effect: TakesEffect::OnReload,
        description: "The address of `listen` in the instance's section `publish`, as this router reaches \
                it.",
    },
    Directive {
        section: "control",
        name: "region",
        kind: Kind::Name,
        default: DefaultValue::Optional,
        takes_effect: TakesEffect::OnReload,
        description: "The region of the control instance.",
    },
];
