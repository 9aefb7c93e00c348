//! The table of all sections and directives.

use std::time::Duration;

use crate::directives::{DefaultValue, Directive, Section, TakesEffect, TitleRule};
use crate::value::Kind;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Every section, in the order of the operators' page.
pub const SECTIONS: &[Section] = &[
    Section {
        name: "fleet",
        title: TitleRule::Untitled,
        max_count: 1,
        requires: &[],
        conflicts: &[],
        description: "This router's part in its fleet. Without it the router shares nothing with others.",
    },
    Section {
        name: "peer",
        title: TitleRule::AnyName,
        max_count: 256,
        requires: &[],
        conflicts: &[],
        description: "Where another router of the fleet may be found; the title is its name. A few suffice: the others \
                are learnt from them. It may name this router itself, so that all routers can have the same file.",
    },
    Section {
        name: "duty",
        title: TitleRule::OneOf(&["probe"]),
        max_count: 1,
        requires: &[],
        conflicts: &[],
        description: "A periodic duty that the fleet divides; `probe` is the probing of nodes.",
    },
    Section {
        name: "publish",
        title: TitleRule::Untitled,
        max_count: 1,
        requires: &["fleet"],
        conflicts: &["subscribe"],
        description: "Makes this process a control instance: it tells routers that subscribe what its fleet of control \
                instances finds out about the databases.",
    },
    Section {
        name: "subscribe",
        title: TitleRule::Untitled,
        max_count: 1,
        requires: &["control"],
        conflicts: &["fleet"],
        description: "This router is told by control instances what they find out about the databases, and is no member of \
                their fleet.",
    },
    Section {
        name: "control",
        title: TitleRule::AnyName,
        max_count: 64,
        requires: &["subscribe"],
        conflicts: &[],
        description: "A control instance that this router may follow; the title is its name. Two of them are followed, those \
                of the router's own region first.",
    },
];

/// Every directive, in the order of the operators' page within its section.
pub const DIRECTIVES: &[Directive] = &[
    Directive {
        section: "",
        name: "platform",
        kind: Kind::Path,
        default: DefaultValue::Optional,
        takes_effect: TakesEffect::OnRestart,
        description: "The platform's JSON, where neither --config nor GW_CONFIG names it.",
    },
    Directive {
        section: "",
        name: "log",
        kind: Kind::OneOf(&["text", "json"]),
        default: DefaultValue::Text("text"),
        takes_effect: TakesEffect::OnRestart,
        description: "Lines for people, or one JSON object a line.",
    },
    Directive {
        section: "fleet",
        name: "listen",
        kind: Kind::Address,
        default: DefaultValue::Required,
        takes_effect: TakesEffect::OnRestart,
        description: "Where datagrams of other routers arrive (UDP).",
    },
    Directive {
        section: "fleet",
        name: "advertise",
        kind: Kind::Address,
        default: DefaultValue::Optional,
        takes_effect: TakesEffect::OnRestart,
        description: "Where the others reach it, if that is not where it listens.",
    },
    Directive {
        section: "fleet",
        name: "keys",
        kind: Kind::Path,
        default: DefaultValue::Required,
        takes_effect: TakesEffect::OnReload,
        description: "The file of the fleet's keys, one or two, each on a line of 64 hexadecimal digits. Nobody but its \
                owner may have any right to it.",
    },
    Directive {
        section: "fleet",
        name: "zone",
        kind: Kind::Name,
        default: DefaultValue::Optional,
        takes_effect: TakesEffect::OnRestart,
        description: "The zone this router is in, as the deployment's settings name it: it then prefers duties there.",
    },
    Directive {
        section: "fleet",
        name: "weight",
        kind: Kind::Count { min: 0, max: 255 },
        default: DefaultValue::Text("1"),
        takes_effect: TakesEffect::OnRestart,
        description: "Its share of duties beside that of others. With 0 it takes none and only hears of what is found.",
    },
    Directive {
        section: "fleet",
        name: "news-budget",
        kind: Kind::Size { min: 4 << 10, max: 1 << 30 },
        default: DefaultValue::Text("2MiB"),
        takes_effect: TakesEffect::OnRestart,
        description: "So many bytes of news a second go to all peers together; the newest go first. A control instance: \
                twice what telling of all databases takes, where that is more.",
    },
    Directive {
        section: "fleet",
        name: "work-budget",
        kind: Kind::Count { min: 1, max: 1_000_000 },
        default: DefaultValue::Text("2000"),
        takes_effect: TakesEffect::OnRestart,
        description: "So much background work a second, in the units of `cost`. A control instance: twice what probing \
                all databases takes, where that is more.",
    },
    Directive {
        section: "fleet",
        name: "letters",
        kind: Kind::Count { min: 100, max: 1_000_000 },
        default: DefaultValue::Text("20000"),
        takes_effect: TakesEffect::OnRestart,
        description: "So many datagrams a second are looked at; what is beyond waits, and is lost when too much waits.",
    },
    Directive {
        section: "peer",
        name: "address",
        kind: Kind::Address,
        default: DefaultValue::Required,
        takes_effect: TakesEffect::OnReload,
        description: "Its address for datagrams.",
    },
    Directive {
        section: "duty",
        name: "every",
        kind: Kind::Duration { min: ms(20), max: ms(3_600_000) },
        default: DefaultValue::Optional,
        takes_effect: TakesEffect::OnRestart,
        description: "How often it is done, by all routers together. Where it is not said: half of the tightest bound that the \
                deployment sets on the age of reads, or 500ms where it sets none.",
    },
    Directive {
        section: "duty",
        name: "grace",
        kind: Kind::Duration { min: ms(20), max: ms(3_600_000) },
        default: DefaultValue::Optional,
        takes_effect: TakesEffect::OnRestart,
        description: "How much later each further router in line picks up what its owner leaves undone. Where it is not said: \
                as `every`.",
    },
    Directive {
        section: "duty",
        name: "floor",
        kind: Kind::Duration { min: ms(10), max: ms(3_600_000) },
        default: DefaultValue::Optional,
        takes_effect: TakesEffect::OnRestart,
        description: "No router does it for one subject more often than once in this time, whatever happens. Where it is not \
                said: as `every`, which is what a router that shares nothing may do.",
    },
    Directive {
        section: "duty",
        name: "longest",
        kind: Kind::Duration { min: ms(10), max: ms(3_600_000) },
        default: DefaultValue::Text("2s"),
        takes_effect: TakesEffect::OnRestart,
        description: "One that has not ended by then is done anew.",
    },
    Directive {
        section: "duty",
        name: "priority",
        kind: Kind::Count { min: 0, max: 255 },
        default: DefaultValue::Text("0"),
        takes_effect: TakesEffect::OnRestart,
        description: "When the budget is short, lower numbers go first.",
    },
    Directive {
        section: "duty",
        name: "cost",
        kind: Kind::Count { min: 1, max: 1_000_000 },
        default: DefaultValue::Text("1"),
        takes_effect: TakesEffect::OnRestart,
        description: "What doing it once takes of the budget.",
    },
    Directive {
        section: "publish",
        name: "listen",
        kind: Kind::Address,
        default: DefaultValue::Required,
        takes_effect: TakesEffect::OnRestart,
        description: "Where datagrams of routers arrive (UDP), and from where they are told. Not the `listen` of the fleet.",
    },
    Directive {
        section: "publish",
        name: "keys",
        kind: Kind::Path,
        default: DefaultValue::Required,
        takes_effect: TakesEffect::OnReload,
        description: "The file of the keys that are shared with routers, in the form of the fleet's. It should be another one: \
                whoever has the fleet's keys can take part in the probing.",
    },
    Directive {
        section: "publish",
        name: "subscribers",
        kind: Kind::Count { min: 1, max: 100_000 },
        default: DefaultValue::Text("10000"),
        takes_effect: TakesEffect::OnRestart,
        description: "So many routers are told; one more is sent away, and turns to another control instance.",
    },
    Directive {
        section: "publish",
        name: "copy-budget",
        kind: Kind::Size { min: 4 << 10, max: 1 << 30 },
        default: DefaultValue::Text("8MiB"),
        takes_effect: TakesEffect::OnRestart,
        description: "So many bytes of copies a second go to all routers together; who asks meanwhile waits in line.",
    },
    Directive {
        section: "subscribe",
        name: "listen",
        kind: Kind::Address,
        default: DefaultValue::Required,
        takes_effect: TakesEffect::OnRestart,
        description: "Where datagrams of control instances arrive (UDP). They answer to where this router's come from. Port 0: \
                the system chooses one.",
    },
    Directive {
        section: "subscribe",
        name: "keys",
        kind: Kind::Path,
        default: DefaultValue::Required,
        takes_effect: TakesEffect::OnReload,
        description: "The file of the keys that are shared with control instances, one or two, each on a line of 64 hexadecimal \
                digits. Nobody but its owner may have any right to it.",
    },
    Directive {
        section: "subscribe",
        name: "region",
        kind: Kind::Name,
        default: DefaultValue::Optional,
        takes_effect: TakesEffect::OnRestart,
        description: "The region this router is in, in the words of the `control` sections. Where it is not said, no control \
                instance is nearer than another.",
    },
    Directive {
        section: "control",
        name: "address",
        kind: Kind::Address,
        default: DefaultValue::Required,
        takes_effect: TakesEffect::OnReload,
        description: "The `listen` of its `publish`, as this router reaches it.",
    },
    Directive {
        section: "control",
        name: "region",
        kind: Kind::Name,
        default: DefaultValue::Optional,
        takes_effect: TakesEffect::OnReload,
        description: "The region it is in.",
    },
];
