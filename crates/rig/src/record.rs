//! Records of scale runs, one JSON object a line: what was played, and what was counted.
//!
//! Figures go by name, with their unit at the end of the name, so that a page's row can name the one it rests on.
//! The names and what they mean stand in `docs/measurements/README.md`.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// How routers know of databases in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Each for itself.
    Off,
    /// All are members of one fleet and tell each other everything.
    Shared,
    /// Control instances are the fleet, and routers subscribe to two of them.
    Feed,
}

/// What is varied while all else is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Axis {
    Routers,
    Databases,
    /// Client connections a real router.
    Connections,
    /// Statements a second a real router.
    Statements,
    /// Changes a second, over all.
    Changes,
}

/// What a run is made of.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sizes {
    pub mode: Mode,
    /// All routers, hollow and real.
    pub routers: usize,
    pub real: usize,
    pub hollow_processes: usize,
    pub control: usize,
    pub databases: usize,
    pub connections: usize,
    pub statements: f64,
    pub changes: f64,
    /// How often each database is probed by all together, in seconds.
    pub period_s: f64,
    pub seed: u64,
    pub seconds: f64,
}

/// A bound on a figure, and whether it held.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bound {
    pub figure: String,
    pub is: f64,
    pub most: f64,
    pub held: bool,
}

/// One line of a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum Line {
    /// One size, calm or with a fault.
    Run {
        /// The axis this run is a point of, if it is one.
        axis: Option<Axis>,
        fault: Option<String>,
        sizes: Sizes,
        figures: BTreeMap<String, f64>,
        bounds: Vec<Bound>,
    },
    /// A figure over an axis: fitted without the largest size, which is predicted and compared with what was played.
    Fit {
        axis: Axis,
        mode: Mode,
        figure: String,
        form: Form,
        /// figure = offset + slope * form(size)
        slope: f64,
        offset: f64,
        /// The largest deviation of a fitted point, as a part of it.
        residual: f64,
        points: usize,
        largest: f64,
        predicted: f64,
        played: f64,
        /// |predicted - played| / played.
        error: f64,
    },
}

/// How a figure depends on a size. Over routers, `Product` is routers times databases held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Form {
    Constant,
    Log,
    Linear,
    Square,
    Product,
}
