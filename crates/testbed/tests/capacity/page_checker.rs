//! Reads a capacity page as a reader would and says what is wrong with it beside its records. Shares nothing with the
//! generator of the page but the fit.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use pulldown_cmark::{Event, Options, Parser, Tag, TagEnd};
use quillpoint_testbed::capacity::asks::{MEASURED_RECORD, TARGET_DATABASES, TARGET_ROUTERS};
use quillpoint_testbed::fit::{MAX_RELATIVE_ERROR, fit_newest, newest_points};
use quillpoint_testbed::record::{Axis, Bound, Fit, Form, Line, Mode, Sizes, read};

pub fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

pub fn page() -> String {
    std::fs::read_to_string(repository().join("docs/CAPACITY.md")).expect("the page")
}

/// All tables, rows as cells in words.
pub fn tables(page: &str) -> Vec<Vec<Vec<String>>> {
    let mut tables = Vec::new();
    let mut cell = String::new();
    for event in Parser::new_ext(page, Options::ENABLE_TABLES) {
        match event {
            Event::Start(Tag::Table(_)) => tables.push(Vec::new()),
            Event::Start(Tag::TableHead | Tag::TableRow) => {
                if let Some(table) = tables.last_mut() {
                    table.push(Vec::new());
                }
            }
            Event::Start(Tag::TableCell) => cell.clear(),
            Event::Text(text) | Event::Code(text) => cell.push_str(&text),
            Event::End(TagEnd::TableCell) => {
                if let Some(row) = tables.last_mut().and_then(|table: &mut Vec<Vec<String>>| table.last_mut())
                {
                    row.push(cell.clone());
                }
            }
            _ => {}
        }
    }
    tables
}

/// The rows that say what a role costs, by their headings.
pub fn rows(page: &str) -> Vec<BTreeMap<String, String>> {
    let mut all = Vec::new();
    for table in tables(page) {
        let (head, rows) = table.split_first().expect("a head");
        if head.first().is_some_and(|first| first == "role") {
            all.extend(rows.iter().map(|row| head.iter().cloned().zip(row.iter().cloned()).collect()));
        }
    }
    all
}

pub fn number(text: &str) -> Option<f64> {
    text.trim().replace(',', "").replace('−', "-").parse().ok()
}

/// `a × b × c / d`, a factor being a number, `ln n` or `n²`.
pub fn term(text: &str) -> Option<f64> {
    let (product, by) = text.split_once(" / ").unwrap_or((text, "1"));
    let factor = |factor: &str| {
        if let Some(of) = factor.strip_prefix("ln ") {
            return Some(number(of)?.ln());
        }
        match factor.strip_suffix('²') {
            Some(of) => Some(number(of)?.powi(2)),
            None => number(factor),
        }
    };
    let factors: Option<Vec<f64>> = product.split(" × ").map(factor).collect();
    Some(factors?.into_iter().product::<f64>() / number(by)?)
}

pub fn sum(text: &str) -> Option<f64> {
    let (plus, minus) = text.split_once(" − ").unwrap_or((text, "0"));
    Some(plus.split(" + ").map(term).sum::<Option<f64>>()? - number(minus)?)
}

/// Not less than it is, and not more than rounding up to three digits makes it.
pub fn is_up(shown: f64, is: f64) -> bool {
    shown >= is - is.abs() * 1e-9 && shown <= is + is.abs() * 0.0101 + 1e-12
}

/// `file: figure, mode, where` and maybe `, by program`, which [`by`] reads.
pub fn cited(text: &str) -> Option<(&str, &str, Mode, &str)> {
    let (file, rest) = text.split_once(": ")?;
    let mut parts = rest.splitn(3, ", ");
    let (figure, mode, place) = (parts.next()?, parts.next()?, parts.next()?);
    let place = place.split_once(", by ").map_or(place, |(place, _)| place);
    Some((file, figure, Mode::ALL.into_iter().find(|known| known.name() == mode)?, place))
}

/// The program that a row's runs are of.
pub fn by(text: &str) -> Option<&str> {
    Some(text.split_once(", by ")?.1)
}

/// What a record has of that program, and nothing of others.
pub fn of_program(lines: Vec<Line>, wanted: Option<&str>) -> Vec<Line> {
    let is_of = |line: &Line| match line {
        Line::Run { program, .. } | Line::Fit(Fit { program, .. }) => program.as_deref() == wanted,
    };
    lines.into_iter().filter(is_of).collect()
}

pub fn is_of_processes(sizes: &Sizes) -> bool {
    sizes.real + sizes.hollow_processes > 0
}

pub type Run<'a> = (Option<&'a str>, &'a Sizes, (&'a BTreeMap<String, f64>, &'a [Bound]));

pub fn of_run(line: &Line) -> Option<Run<'_>> {
    match line {
        Line::Run { fault, sizes, figures, bounds, .. } => Some((fault.as_deref(), sizes, (figures, bounds))),
        Line::Fit(_) => None,
    }
}

/// A sum's parts, but none of hollow routers whose calibration failed on it.
pub fn figure((figures, bounds): (&BTreeMap<String, f64>, &[Bound]), name: &str) -> Option<f64> {
    let part = |name: &str| {
        let calibration = name.replacen("router_", "calibration_", 1);
        let failed = bounds.iter().any(|bound| bound.figure == calibration && !bound.held);
        figures.get(name).copied().filter(|_| !failed || calibration == name)
    };
    name.split('+').map(part).sum()
}

/// The same of a run whose calibration failed on it: hollow routers or real ones, whichever cost more.
pub fn dearer((figures, bounds): (&BTreeMap<String, f64>, &[Bound]), name: &str) -> Option<f64> {
    if figure((figures, bounds), name).is_some() {
        return None;
    }
    let kinds = ["router_", "hollow_", "real_"];
    let part = |name: &str| {
        let of = kinds.iter().filter_map(|kind| figures.get(&name.replacen("router_", kind, 1)));
        of.copied().reduce(f64::max).filter(|_| figures.contains_key(name))
    };
    name.split('+').map(part).sum()
}

/// The least size of an axis, beyond all at which calibration held, at which it failed on the figure.
pub fn failed_beyond(lines: &[Line], axis: Axis, mode: Mode, name: &str) -> Option<f64> {
    let played = newest_points(lines, axis, mode, name)?;
    let largest = played.points.last()?.size;
    let alike = |sizes: &Sizes| {
        let mut all = [sizes.clone(), played.fixed_sizes.clone()];
        for sizes in &mut all {
            (sizes.seed, sizes.seconds, sizes.real, sizes.hollow_processes) = (0, 0.0, 0, 0);
            match axis {
                Axis::Routers => sizes.routers = 0,
                Axis::Databases => sizes.databases = 0,
                Axis::Connections => sizes.connections = 0,
                Axis::Statements => sizes.statements = 0.0,
                Axis::Changes => sizes.changes = 0.0,
            }
        }
        all[0] == all[1]
    };
    let runs = lines.iter().filter_map(of_run).filter(|(fault, sizes, _)| fault.is_none() && alike(sizes));
    let failed = runs.filter(|(.., figures)| dearer(*figures, name).is_some());
    failed.map(|(_, sizes, _)| size(sizes, axis)).filter(|size| *size > largest).reduce(f64::min)
}

pub fn size(sizes: &Sizes, axis: Axis) -> f64 {
    match axis {
        Axis::Routers => sizes.routers as f64,
        Axis::Databases => sizes.databases as f64,
        Axis::Connections => sizes.connections as f64,
        Axis::Statements => sizes.statements,
        Axis::Changes => sizes.changes,
    }
}

/// The number before a word, as in `7,900 routers`.
pub fn before(text: &str, word: &str) -> Option<f64> {
    let at = text.find(&format!(" {word}"))?;
    number(text[..at].rsplit(' ').next()?)
}

/// The size of an axis that a row is of: of an instance's share, what it makes before those that were played.
pub fn asked_size(at: &str, axis: &str) -> Option<f64> {
    let size = at.split(';').next()?;
    match size.split_once(" routers an instance, ").filter(|_| axis == "routers") {
        Some((_, rest)) => number(rest.split(' ').next()?),
        None => before(size, axis),
    }
}

/// What is wrong with a page beside the records of a folder: one line for each fault.
pub fn faults(page: &str, folder: &Path) -> Vec<String> {
    let rows = rows(page);
    let mut faults = Vec::new();
    if rows.len() < 20 {
        faults.push(format!("{} rows are too few to be the page's", rows.len()));
    }
    for (place, row) in rows.iter().enumerate() {
        let cell = |name: &str| row.get(name).map_or("", String::as_str);
        let about = format!("{}: {}, {}", cell("role"), cell("what"), cell("at"));
        if let Err(fault) = check(row, &rows[..place], folder) {
            faults.push(format!("{about}: {fault}"));
        }
    }
    faults
}

pub fn check(
    row: &BTreeMap<String, String>,
    earlier: &[BTreeMap<String, String>],
    folder: &Path,
) -> Result<(), String> {
    let cell = |name: &str| row.get(name).map(String::as_str).ok_or_else(|| format!("no column {name}"));
    let ensure = |holds: bool, told: &str| if holds { Ok(()) } else { Err(told.to_string()) };
    ensure(!cell("mechanism")?.is_empty(), "a mechanism, or none, must be named")?;
    let (basis, shown) = (cell("basis")?, number(cell("figure")?));
    if basis == "not measured" {
        let nothing = shown.is_none() && number(cell("ratio")?).is_none() && sum(cell("sum")?).is_none();
        return ensure(nothing, "a figure of what nobody has measured");
    }
    let shown = shown.ok_or("no figure")?;
    let is_beside = basis.ends_with(" at another period");
    match number(cell("budget")?) {
        _ if is_beside => {
            ensure(number(cell("ratio")?).is_none(), "a ratio of what was played at another period")?
        }
        Some(budget) if is_of_others(row) && shown <= budget => {
            ensure(cell("ratio")? == "–", "a ratio of other instances than there are")?;
        }
        Some(budget) if is_below(row) => match cell("ratio")?.strip_prefix("at least ") {
            Some(ratio) => {
                let ratio = number(ratio).ok_or("no ratio")?;
                ensure(is_up(ratio, shown / budget), "the ratio is not figure over budget, rounded up")?;
                ensure(shown > budget, "what is within its budget below the target is no more than that")?;
            }
            None => {
                ensure(cell("ratio")? == "–", "a ratio of what was held below the target")?;
                ensure(shown <= budget, "what is over its budget below the target is not said to be")?;
            }
        },
        Some(budget) => {
            let ratio = number(cell("ratio")?).ok_or("no ratio")?;
            ensure(is_up(ratio, shown / budget), "the ratio is not figure over budget, rounded up")?;
        }
        None => ensure(cell("budget")? == "none named", "no budget")?,
    }
    let basis = basis.strip_suffix(" at another period").unwrap_or(basis);
    let kind = basis.strip_prefix("simulated: ").unwrap_or(basis);
    let is_played = kind.starts_with("simulated") || kind.starts_with("measured");
    if !is_played {
        let due = sum(cell("sum")?).ok_or("the sum cannot be read")?;
        ensure(is_up(shown, due), "the figure is not its sum, rounded up")?;
    }
    if kind == "computed" && !cell("record")?.contains(".jsonl") {
        let source = cell("record")?.split(',').next().unwrap_or_default();
        return ensure(repository().join(source).is_file(), "the code that it is computed from is not there");
    }
    let (file, name, mode, place) = cited(cell("record")?).ok_or("the record is not named")?;
    let lines = read(&folder.join(file)).map_err(|error| format!("the record cannot be read: {error}"))?;
    let lines = of_program(lines, by(cell("record")?));
    let runs = || lines.iter().filter_map(of_run).filter(|(_, sizes, _)| sizes.mode == mode);
    let with = || runs().filter_map(|(fault, sizes, figures)| Some((fault, sizes, figure(figures, name)?)));
    ensure(with().next().is_some(), "the record has no such figure")?;
    let by_processes = with().all(|(_, sizes, _)| is_of_processes(sizes));
    ensure(by_processes != basis.starts_with("simulated"), "measured and simulated are mistaken")?;
    // What follows the period says so where the runs had another one than the target's.
    let stays = |name: &str| {
        name.ends_with("_memory_bytes")
            || name.ends_with("_state_bytes")
            || name.starts_with("real_")
            || name.starts_with("connection_")
            || name.starts_with("discovery_")
            || (mode == Mode::Feed
                && (name.starts_with("router_bytes") || name.starts_with("router_messages")))
    };
    if !name.split('+').all(stays) {
        // A row of both axes follows the two of one each, which say it.
        let at = if kind == "computed" { earlier.last().map_or("", |row| &row["at"]) } else { cell("at")? };
        let period = at.split("period ").nth(1).and_then(|rest| number(rest.split(' ').next()?));
        ensure(is_beside == period.is_some_and(|period| period != 0.15), "a figure of another period")?;
    }
    if kind == "computed" {
        return together(row, earlier, &lines, mode, name);
    }
    let Some(axis) = place.strip_prefix("over ") else {
        let (routers, databases) = (before(cell("at")?, "routers"), before(cell("at")?, "databases"));
        let is_there = |sizes: &Sizes| {
            Some(sizes.routers as f64) == routers && Some(sizes.databases as f64) == databases
        };
        // A cut that parts control instances too is none that does not.
        let is_partial = cell("at")?.contains("; the instances not cut");
        let is_so = |figures: &BTreeMap<String, f64>| {
            place != "cut" || file != MEASURED_RECORD || figures.contains_key("agree_max_s") != is_partial
        };
        let there = runs().filter(|(fault, sizes, _)| *fault == Some(place) && is_there(sizes));
        let most = there.filter(|(.., (figures, _))| is_so(figures));
        let most = most.filter_map(|(.., figures)| figure(figures, name)).reduce(f64::max);
        let most = most.ok_or("that fault was not played at that size")?;
        let counts = [
            ("follow", "follow_missing"),
            ("agree_max_s", "agree_missing"),
            ("change_known", "change_unknown"),
        ];
        let count = counts.iter().find(|(begin, _)| name.trim_start_matches("real_").starts_with(begin));
        let mut there = runs().filter(|(fault, sizes, _)| *fault == Some(place) && is_there(sizes));
        let some_never = there.any(|(.., (figures, _))| {
            is_so(figures) && count.is_some_and(|(_, count)| figures.get(*count) > Some(&0.0))
        });
        ensure(!some_never, "it is a time until all had, and some had not")?;
        let whole = routers >= Some(TARGET_ROUTERS) && databases >= Some(TARGET_DATABASES);
        ensure(
            is_played && whole != kind.ends_with(" below the target"),
            "it is not said whether this is the target's size",
        )?;
        return ensure(is_up(shown, most), "the figure is not what was played");
    };
    let axis = Axis::ALL.into_iter().find(|known| known.name() == axis).ok_or("no such axis")?;
    if kind == "measured" || kind == "simulated" {
        let at = asked_size(cell("at")?, axis.name()).ok_or("no size")?;
        let is_there = |(fault, sizes): (Option<&str>, &Sizes)| fault.is_none() && size(sizes, axis) == at;
        let played = with().filter(|(fault, sizes, _)| is_there((*fault, sizes)));
        let mut played: Vec<f64> = played.map(|(.., is)| is).collect();
        ensure(!played.is_empty(), "its record did not play that size")?;
        // A run that failed calibration there may raise what the others say.
        let failed = runs().filter(|(fault, sizes, _)| is_there((*fault, sizes)));
        played.extend(failed.filter_map(|(.., figures)| dearer(figures, name)));
        return ensure(played.iter().any(|is| is_up(shown, *is)), "the figure is not what was played");
    }
    ensure(kind == "predicted", "no such basis")?;
    let fit = fit_newest(&lines, axis, mode, name).map_err(|error| error.to_string())?;
    let near = |one: f64, other: f64| (one - other).abs() <= 1e-9 * one.abs().max(1e-9);
    let is_written = lines.iter().any(|line| {
        matches!(line, Line::Fit(other) if (other.axis, other.mode, &other.figure) == (axis, mode, &fit.figure)
            && near(other.slope, fit.slope) && near(other.offset, fit.offset) && near(other.relative_error, fit.relative_error))
    });
    ensure(is_written, "the record's fit is not that of its runs")?;
    ensure(fit.relative_error <= MAX_RELATIVE_ERROR, "the prediction rests on a form that is wrong")?;
    let failed = failed_beyond(&lines, axis, mode, name);
    ensure(failed.is_none(), "it is predicted beyond a size at which calibration failed")?;
    let missed = cell("error")?.split_once(" by ").and_then(|(_, rest)| rest.split_once(" at "));
    let missed = missed.and_then(|(by, _)| number(by)).ok_or("no error of the prediction")?;
    ensure(
        missed >= fit.relative_error - 1e-8 && missed <= fit.relative_error + 0.001,
        "the error is not the fit's",
    )?;
    let terms: Vec<&str> = cell("sum")?.split(" + ").collect();
    let at = asked_size(cell("at")?, axis.name()).ok_or("no size")?;
    let played = newest_points(&lines, axis, mode, name).ok_or("no points")?.points;
    let most = played.iter().filter(|point| point.size <= at).map(|point| point.mean).reduce(f64::max);
    let most = most.unwrap_or_else(|| played.iter().map(|point| point.mean).fold(0.0, f64::max));
    ensure(shown >= most * (1.0 - 1e-9), "the prediction is less than what was played")?;
    if cell("error")?.ends_with("; held at the most played") {
        return ensure(terms.len() == 1 && is_up(shown, most), "it is not held at the most played");
    }
    // An offset may be nothing beside the figure, and is then shown as nothing.
    let is_near = |text: Option<f64>, is: f64, nothing: f64| {
        text.is_some_and(|text| {
            text >= is - is.abs() * 1e-9 - nothing && text <= is + is.abs() * 1.1e-5 + nothing
        })
    };
    ensure(is_near(number(terms[0]), fit.offset, shown * 1e-9), "the offset is not the record's")?;
    let slope = terms.get(1).and_then(|term| term.split_once(" × "));
    let form = match slope {
        None => Form::Constant,
        Some((_, by)) if by.starts_with("ln ") => Form::Log,
        Some((_, by)) if by.ends_with('²') => Form::Square,
        Some((_, by)) if by.contains(" × ") => Form::Product,
        Some(_) => Form::Linear,
    };
    ensure(form == fit.form, "the form is not the record's")?;
    let slope = slope.map_or(Some(0.0), |(slope, _)| number(slope));
    ensure(is_near(slope, fit.slope, 0.0), "the slope is not the record's")
}

/// A row of both axes: the two rows before it, what was there where both were held, and the most that may grow with both.
pub fn together(
    row: &BTreeMap<String, String>,
    earlier: &[BTreeMap<String, String>],
    lines: &[Line],
    mode: Mode,
    name: &str,
) -> Result<(), String> {
    let [.., one, other] = earlier else { return Err("no rows before it".to_string()) };
    let parts: Vec<&str> = row["sum"].split(['+', '−']).map(str::trim).collect();
    let [left, right, both, base] = parts[..] else { return Err("not four parts".to_string()) };
    let is_of = |other: &BTreeMap<String, String>, figure: &str| {
        other["role"] == row["role"] && other["what"] == row["what"] && other["figure"] == figure
    };
    if !is_of(one, left) || !is_of(other, right) {
        return Err("it is not made of the two rows before it".to_string());
    }
    // Runs off both axes have their say.
    let held = |row: &BTreeMap<String, String>, axis| before(row["at"].split(';').nth(1)?, axis);
    let (Some(held_routers), Some(held_databases)) = (held(other, "routers"), held(one, "databases")) else {
        return Err("what was held is not said".to_string());
    };
    let played = newest_points(lines, Axis::Routers, mode, name).ok_or("no points")?.fixed_sizes;
    let off = |line: &Line| {
        let (None, sizes, figures) = of_run(line)? else { return None };
        let place = (sizes.routers as f64, sizes.databases as f64);
        let is_off = place.0 != held_routers && place.1 != held_databases && sizes.mode == mode;
        let is_alike = (sizes.control, sizes.period_s) == (played.control, played.period_s);
        (is_off && is_alike).then_some(place).filter(|_| figure(figures, name).is_some())
    };
    let off: Vec<Place> = lines.iter().filter_map(off).collect();
    let error = &row["error"];
    let named = (before(error, "routers"), before(error, "databases"));
    if off.is_empty() != (error == "–") {
        return Err("its error is not that of runs off both axes".to_string());
    }
    let largest = off.iter().copied().max_by(|one, other| (one.0 * one.1).total_cmp(&(other.0 * other.1)));
    if largest.is_some_and(|place| (Some(place.0), Some(place.1)) != named) {
        return Err("its error is not that of the largest run off both axes".to_string());
    }
    let by = error.split_once(" by ").and_then(|(_, rest)| number(rest.split(' ').next()?));
    if (error.starts_with("under") || error.contains("; both at ")) && by > Some(MAX_RELATIVE_ERROR) {
        return Err("it rests on a crossing that is wrong".to_string());
    }
    let told = |error: quillpoint_testbed::fit::FitError| error.to_string();
    let routers = fit_newest(lines, Axis::Routers, mode, name).map_err(told)?;
    let databases = fit_newest(lines, Axis::Databases, mode, name).map_err(told)?;
    let at = |fit: &Fit, size: f64| fit.offset + fit.slope * form(fit.form, size);
    let was = at(&routers, held_routers).min(at(&databases, held_databases));
    let [Some(left), Some(right), Some(both), Some(base)] = [left, right, both, base].map(number) else {
        return Err("no numbers".to_string());
    };
    if base > was * 1.000_02 || base < was * 0.9999 {
        return Err("the base is not what was there".to_string());
    }
    let wanted = |row: &BTreeMap<String, String>, axis| asked_size(&row["at"], axis);
    let (Some(to_routers), Some(to_databases)) = (wanted(one, "routers"), wanted(other, "databases")) else {
        return Err("no sizes".to_string());
    };
    let growth = |fit: &Fit, from: f64, to: f64| match fit.form {
        Form::Constant => 0.0,
        _ if fit.slope <= 0.0 => 0.0,
        shape => form(shape, to) / form(shape, from) - 1.0,
    };
    let most = |left: f64, right: f64, base: f64, to: Place| {
        let by_databases = (left - base).max(0.0) * growth(&databases, held_databases, to.1);
        let by_routers = (right - base).max(0.0) * growth(&routers, held_routers, to.0);
        by_databases.min(by_routers).max(0.0)
    };
    // How much of the most the runs off both axes show; nothing is shown by one alone.
    let mut share = 1.0;
    if let Some((_, part)) = error.split_once("; both at ") {
        share = number(part.split(' ').next().unwrap_or_default()).ok_or("no share")?;
        let there = |axis: Axis, fit: &Fit, size: f64| {
            let played = newest_points(lines, axis, mode, name).map_or(Vec::new(), |points| points.points);
            let most =
                played.iter().filter(|point| point.size <= size).map(|point| point.mean).fold(0.0, f64::max);
            at(fit, size).max(most)
        };
        for to in &off {
            let (left, right) =
                (there(Axis::Routers, &routers, to.0), there(Axis::Databases, &databases, to.1));
            let runs = lines.iter().filter_map(of_run).filter(|(fault, sizes, _)| {
                fault.is_none() && sizes.mode == mode && (sizes.routers as f64, sizes.databases as f64) == *to
            });
            let runs: Vec<f64> = runs.filter_map(|(.., figures)| figure(figures, name)).collect();
            let is = runs.iter().sum::<f64>() / runs.len() as f64;
            let most = most(left, right, base, *to);
            if most > 0.0 && is > (left + right - base + share * most) * 1.000_1 {
                return Err("a run off both axes shows more that grows with both".to_string());
            }
        }
    }
    let due = share * most(left, right, base, (to_routers, to_databases));
    if both < due * 0.999_999 || both > due * 1.000_1 + 1e-9 {
        return Err(format!("what may grow with both is {due}"));
    }
    Ok(())
}

/// Routers and databases.
pub type Place = (f64, f64);

pub fn form(form: Form, size: f64) -> f64 {
    match form {
        Form::Constant => 0.0,
        Form::Log => size.ln(),
        Form::Linear | Form::Product => size,
        Form::Square => size * size,
    }
}

/// Whether a row's other axis was held below the target, or its fault was played below it.
pub fn is_below(row: &BTreeMap<String, String>) -> bool {
    let Some((.., place)) = cited(&row["record"]) else { return false };
    if !place.starts_with("over ") {
        let at = &row["at"];
        return before(at, "routers") < Some(TARGET_ROUTERS)
            || before(at, "databases") < Some(TARGET_DATABASES);
    }
    let Some(held) = row["at"].split(';').nth(1).filter(|held| held.ends_with(" held")) else { return false };
    let routers = if row["record"].contains(", shared, ") { 256.0 } else { TARGET_ROUTERS };
    before(held, "routers").is_some_and(|held| held < routers)
        || before(held, "databases").is_some_and(|held| held < TARGET_DATABASES)
}

/// How many control instances were played for a row of a control machine's share.
pub fn instances(row: &BTreeMap<String, String>) -> Option<f64> {
    let at = &row["at"];
    let of_share = at
        .split_once(" routers an instance, ")
        .and_then(|(_, rest)| number(rest.split_once(" before ")?.1.split([' ', ';']).next()?));
    of_share.or_else(|| before(at, "instances"))
}

/// Whether it is of other instances than there are machines in its case.
pub fn is_of_others(row: &BTreeMap<String, String>) -> bool {
    let machines = before(&row["what"], "machines").unwrap_or(8.0);
    row["role"] == "control machine"
        && row["record"].contains(", over ")
        && !row["record"].contains("over changes")
        && instances(row).is_some_and(|instances| instances != machines)
}
