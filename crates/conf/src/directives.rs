//! The one place that knows every directive: its section, kind, bounds, default, and from when on it holds.

use std::time::Duration;

use crate::value::Kind;

/// From when on a change holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holds {
    /// On SIGHUP.
    Live,
    /// From the next start on.
    Start,
}

/// What stands when a directive is not said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Default {
    Is(&'static str),
    /// It must be said in each of its sections.
    Needed,
    /// Then there is none.
    None,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Directive {
    /// Empty for what stands outside of sections.
    pub section: &'static str,
    pub name: &'static str,
    pub kind: Kind,
    pub default: Default,
    pub holds: Holds,
    pub about: &'static str,
}

/// What a section's title may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Titles {
    /// It has none, and may stand once.
    Untitled,
    /// One of these, each once; those that do not stand hold with their defaults.
    Of(&'static [&'static str]),
    /// Any name, each once.
    Names,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Section {
    pub name: &'static str,
    pub titles: Titles,
    /// No more may stand.
    pub most: usize,
    /// Sections without which it may not stand, and those beside which it may not.
    pub needs: &'static [&'static str],
    pub excludes: &'static [&'static str],
    pub about: &'static str,
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub const SECTIONS: &[Section] = &[
    Section {
        name: "fleet",
        titles: Titles::Untitled,
        most: 1,
        needs: &[],
        excludes: &[],
        about: "This router's part in its fleet. Without it the router shares nothing with others.",
    },
    Section {
        name: "peer",
        titles: Titles::Names,
        most: 256,
        needs: &[],
        excludes: &[],
        about: "Where another router of the fleet may be found; the title is its name. A few suffice: the others \
                are learnt from them. It may name this router itself, so that all routers can have the same file.",
    },
    Section {
        name: "duty",
        titles: Titles::Of(&["probe"]),
        most: 1,
        needs: &[],
        excludes: &[],
        about: "A periodic duty that the fleet divides; `probe` is the probing of nodes.",
    },
    Section {
        name: "publish",
        titles: Titles::Untitled,
        most: 1,
        needs: &["fleet"],
        excludes: &["subscribe"],
        about: "Makes this process a control instance: it tells routers that subscribe what its fleet of control \
                instances finds out about the databases.",
    },
    Section {
        name: "subscribe",
        titles: Titles::Untitled,
        most: 1,
        needs: &["control"],
        excludes: &["fleet"],
        about: "This router is told by control instances what they find out about the databases, and is no member of \
                their fleet.",
    },
    Section {
        name: "control",
        titles: Titles::Names,
        most: 64,
        needs: &["subscribe"],
        excludes: &[],
        about: "A control instance that this router may follow; the title is its name. Two of them are followed, those \
                of the router's own region first.",
    },
];

pub const DIRECTIVES: &[Directive] = &[
    Directive {
        section: "",
        name: "platform",
        kind: Kind::Path,
        default: Default::None,
        holds: Holds::Start,
        about: "The platform's JSON, where neither --config nor GW_CONFIG names it.",
    },
    Directive {
        section: "",
        name: "log",
        kind: Kind::Word(&["text", "json"]),
        default: Default::Is("text"),
        holds: Holds::Start,
        about: "Lines for people, or one JSON object a line.",
    },
    Directive {
        section: "fleet",
        name: "listen",
        kind: Kind::Address,
        default: Default::Needed,
        holds: Holds::Start,
        about: "Where datagrams of other routers arrive (UDP).",
    },
    Directive {
        section: "fleet",
        name: "advertise",
        kind: Kind::Address,
        default: Default::None,
        holds: Holds::Start,
        about: "Where the others reach it, if that is not where it listens.",
    },
    Directive {
        section: "fleet",
        name: "keys",
        kind: Kind::Path,
        default: Default::Needed,
        holds: Holds::Live,
        about: "The file of the fleet's keys, one or two, each on a line of 64 hexadecimal digits. Nobody but its \
                owner may have any right to it.",
    },
    Directive {
        section: "fleet",
        name: "zone",
        kind: Kind::Name,
        default: Default::None,
        holds: Holds::Start,
        about: "The zone this router is in, as the deployment's settings name it: it then prefers duties there.",
    },
    Directive {
        section: "fleet",
        name: "weight",
        kind: Kind::Count { least: 0, most: 255 },
        default: Default::Is("1"),
        holds: Holds::Start,
        about: "Its share of duties beside that of others. With 0 it takes none and only hears of what is found.",
    },
    Directive {
        section: "fleet",
        name: "news-budget",
        kind: Kind::Size { least: 4 << 10, most: 1 << 30 },
        default: Default::Is("2MiB"),
        holds: Holds::Start,
        about: "So many bytes of news a second go to all peers together; the newest go first. A control instance: \
                twice what telling of all databases takes, where that is more.",
    },
    Directive {
        section: "fleet",
        name: "work-budget",
        kind: Kind::Count { least: 1, most: 1_000_000 },
        default: Default::Is("2000"),
        holds: Holds::Start,
        about: "So much background work a second, in the units of `cost`. A control instance: twice what probing \
                all databases takes, where that is more.",
    },
    Directive {
        section: "fleet",
        name: "letters",
        kind: Kind::Count { least: 100, most: 1_000_000 },
        default: Default::Is("20000"),
        holds: Holds::Start,
        about: "So many datagrams a second are looked at; what is beyond waits, and is lost when too much waits.",
    },
    Directive {
        section: "peer",
        name: "address",
        kind: Kind::Address,
        default: Default::Needed,
        holds: Holds::Live,
        about: "Its address for datagrams.",
    },
    Directive {
        section: "duty",
        name: "every",
        kind: Kind::Span { least: ms(20), most: ms(3_600_000) },
        default: Default::None,
        holds: Holds::Start,
        about: "How often it is done, by all routers together. Where it is not said: half of the tightest bound that the \
                deployment sets on the age of reads, or 500ms where it sets none.",
    },
    Directive {
        section: "duty",
        name: "grace",
        kind: Kind::Span { least: ms(20), most: ms(3_600_000) },
        default: Default::None,
        holds: Holds::Start,
        about: "How much later each further router in line picks up what its owner leaves undone. Where it is not said: \
                as `every`.",
    },
    Directive {
        section: "duty",
        name: "floor",
        kind: Kind::Span { least: ms(10), most: ms(3_600_000) },
        default: Default::None,
        holds: Holds::Start,
        about: "No router does it for one subject more often than once in this time, whatever happens. Where it is not \
                said: as `every`, which is what a router that shares nothing may do.",
    },
    Directive {
        section: "duty",
        name: "longest",
        kind: Kind::Span { least: ms(10), most: ms(3_600_000) },
        default: Default::Is("2s"),
        holds: Holds::Start,
        about: "One that has not ended by then is done anew.",
    },
    Directive {
        section: "duty",
        name: "priority",
        kind: Kind::Count { least: 0, most: 255 },
        default: Default::Is("0"),
        holds: Holds::Start,
        about: "When the budget is short, lower numbers go first.",
    },
    Directive {
        section: "duty",
        name: "cost",
        kind: Kind::Count { least: 1, most: 1_000_000 },
        default: Default::Is("1"),
        holds: Holds::Start,
        about: "What doing it once takes of the budget.",
    },
    Directive {
        section: "publish",
        name: "listen",
        kind: Kind::Address,
        default: Default::Needed,
        holds: Holds::Start,
        about: "Where datagrams of routers arrive (UDP), and from where they are told. Not the `listen` of the fleet.",
    },
    Directive {
        section: "publish",
        name: "keys",
        kind: Kind::Path,
        default: Default::Needed,
        holds: Holds::Live,
        about: "The file of the keys that are shared with routers, in the form of the fleet's. It should be another one: \
                whoever has the fleet's keys can take part in the probing.",
    },
    Directive {
        section: "publish",
        name: "subscribers",
        kind: Kind::Count { least: 1, most: 100_000 },
        default: Default::Is("10000"),
        holds: Holds::Start,
        about: "So many routers are told; one more is sent away, and turns to another control instance.",
    },
    Directive {
        section: "publish",
        name: "copy-budget",
        kind: Kind::Size { least: 4 << 10, most: 1 << 30 },
        default: Default::Is("8MiB"),
        holds: Holds::Start,
        about: "So many bytes of copies a second go to all routers together; who asks meanwhile waits in line.",
    },
    Directive {
        section: "subscribe",
        name: "listen",
        kind: Kind::Address,
        default: Default::Needed,
        holds: Holds::Start,
        about: "Where datagrams of control instances arrive (UDP). They answer to where this router's come from. Port 0: \
                the system chooses one.",
    },
    Directive {
        section: "subscribe",
        name: "keys",
        kind: Kind::Path,
        default: Default::Needed,
        holds: Holds::Live,
        about: "The file of the keys that are shared with control instances, one or two, each on a line of 64 hexadecimal \
                digits. Nobody but its owner may have any right to it.",
    },
    Directive {
        section: "subscribe",
        name: "region",
        kind: Kind::Name,
        default: Default::None,
        holds: Holds::Start,
        about: "The region this router is in, in the words of the `control` sections. Where it is not said, no control \
                instance is nearer than another.",
    },
    Directive {
        section: "control",
        name: "address",
        kind: Kind::Address,
        default: Default::Needed,
        holds: Holds::Live,
        about: "The `listen` of its `publish`, as this router reaches it.",
    },
    Directive {
        section: "control",
        name: "region",
        kind: Kind::Name,
        default: Default::None,
        holds: Holds::Live,
        about: "The region it is in.",
    },
];

pub fn section(name: &str) -> Option<&'static Section> {
    SECTIONS.iter().find(|section| section.name == name)
}

pub fn directive(section: &str, name: &str) -> Option<&'static Directive> {
    DIRECTIVES.iter().find(|directive| directive.section == section && directive.name == name)
}

/// All directives of a section, in the order of the table.
pub fn of(section: &str) -> impl Iterator<Item = &'static Directive> {
    DIRECTIVES.iter().filter(move |directive| directive.section == section)
}
