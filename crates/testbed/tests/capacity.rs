//! docs/CAPACITY.md is what its records say: made anew it is the same, and each row, read as a reader would, holds by
//! itself. The checks of rows share nothing with the generator but the fit; that they can fail is shown on records made
//! up for it.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use pulldown_cmark::{Event, Options, Parser, Tag, TagEnd};
use quillpoint_testbed::capacity::asks::{
    CONNECTIONS, DATABASES, PLAYED, ROUTERS, SECTIONS, SIMULATED, Source, asks,
};
use quillpoint_testbed::capacity::fill;
use quillpoint_testbed::capacity::numbers::{show, up};
use quillpoint_testbed::fit::{MOST_ERROR, fit, fit_all, points};
use quillpoint_testbed::record::{Axis, Bound, Fit, Form, Line, Mode, Sizes, read, write};

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page() -> String {
    std::fs::read_to_string(repository().join("docs/CAPACITY.md")).expect("the page")
}

/// All tables, rows as cells in words.
fn tables(page: &str) -> Vec<Vec<Vec<String>>> {
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
fn rows(page: &str) -> Vec<BTreeMap<String, String>> {
    let mut all = Vec::new();
    for table in tables(page) {
        let (head, rows) = table.split_first().expect("a head");
        if head.first().is_some_and(|first| first == "role") {
            all.extend(rows.iter().map(|row| head.iter().cloned().zip(row.iter().cloned()).collect()));
        }
    }
    all
}

fn number(text: &str) -> Option<f64> {
    text.trim().replace(',', "").replace('−', "-").parse().ok()
}

/// `a × b × c / d`, a factor being a number, `ln n` or `n²`.
fn term(text: &str) -> Option<f64> {
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

fn sum(text: &str) -> Option<f64> {
    let (plus, minus) = text.split_once(" − ").unwrap_or((text, "0"));
    Some(plus.split(" + ").map(term).sum::<Option<f64>>()? - number(minus)?)
}

/// Not less than it is, and not more than rounding up to three digits makes it.
fn is_up(shown: f64, is: f64) -> bool {
    shown >= is - is.abs() * 1e-9 && shown <= is + is.abs() * 0.0101 + 1e-12
}

/// `file: figure, mode, where` and maybe `, by program`, which [`by`] reads.
fn cited(text: &str) -> Option<(&str, &str, Mode, &str)> {
    let (file, rest) = text.split_once(": ")?;
    let mut parts = rest.splitn(3, ", ");
    let (figure, mode, place) = (parts.next()?, parts.next()?, parts.next()?);
    let place = place.split_once(", by ").map_or(place, |(place, _)| place);
    Some((file, figure, Mode::ALL.into_iter().find(|known| known.name() == mode)?, place))
}

/// The program that a row's runs are of.
fn by(text: &str) -> Option<&str> {
    Some(text.split_once(", by ")?.1)
}

/// What a record has of that program, and nothing of others.
fn of_program(lines: Vec<Line>, wanted: Option<&str>) -> Vec<Line> {
    let is_of = |line: &Line| match line {
        Line::Run { program, .. } | Line::Fit(Fit { program, .. }) => program.as_deref() == wanted,
    };
    lines.into_iter().filter(is_of).collect()
}

fn is_of_processes(sizes: &Sizes) -> bool {
    sizes.real + sizes.hollow_processes > 0
}

type Run<'a> = (Option<&'a str>, &'a Sizes, (&'a BTreeMap<String, f64>, &'a [Bound]));

fn of_run(line: &Line) -> Option<Run<'_>> {
    match line {
        Line::Run { fault, sizes, figures, bounds, .. } => Some((fault.as_deref(), sizes, (figures, bounds))),
        Line::Fit(_) => None,
    }
}

/// A sum's parts, but none of hollow routers whose calibration failed on it.
fn figure((figures, bounds): (&BTreeMap<String, f64>, &[Bound]), name: &str) -> Option<f64> {
    let part = |name: &str| {
        let calibration = name.replacen("router_", "calibration_", 1);
        let failed = bounds.iter().any(|bound| bound.figure == calibration && !bound.held);
        figures.get(name).copied().filter(|_| !failed || calibration == name)
    };
    name.split('+').map(part).sum()
}

/// The same of a run whose calibration failed on it: hollow routers or real ones, whichever cost more.
fn dearer((figures, bounds): (&BTreeMap<String, f64>, &[Bound]), name: &str) -> Option<f64> {
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
fn failed_beyond(lines: &[Line], axis: Axis, mode: Mode, name: &str) -> Option<f64> {
    let played = points(lines, axis, mode, name)?;
    let largest = played.points.last()?.size;
    let alike = |sizes: &Sizes| {
        let mut all = [sizes.clone(), played.held.clone()];
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

fn size(sizes: &Sizes, axis: Axis) -> f64 {
    match axis {
        Axis::Routers => sizes.routers as f64,
        Axis::Databases => sizes.databases as f64,
        Axis::Connections => sizes.connections as f64,
        Axis::Statements => sizes.statements,
        Axis::Changes => sizes.changes,
    }
}

/// The number before a word, as in `7,900 routers`.
fn before(text: &str, word: &str) -> Option<f64> {
    let at = text.find(&format!(" {word}"))?;
    number(text[..at].rsplit(' ').next()?)
}

/// The size of an axis that a row is of: of an instance's share, what it makes before those that were played.
fn asked_size(at: &str, axis: &str) -> Option<f64> {
    let size = at.split(';').next()?;
    match size.split_once(" routers an instance, ").filter(|_| axis == "routers") {
        Some((_, rest)) => number(rest.split(' ').next()?),
        None => before(size, axis),
    }
}

/// What is wrong with a page beside the records of a folder: one line for each fault.
fn faults(page: &str, folder: &Path) -> Vec<String> {
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

fn check(
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
            place != "cut" || file != PLAYED || figures.contains_key("agree_max_s") != is_partial
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
        let whole = routers >= Some(ROUTERS) && databases >= Some(DATABASES);
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
    let fit = fit(&lines, axis, mode, name).map_err(|error| error.to_string())?;
    let near = |one: f64, other: f64| (one - other).abs() <= 1e-9 * one.abs().max(1e-9);
    let is_written = lines.iter().any(|line| {
        matches!(line, Line::Fit(other) if (other.axis, other.mode, &other.figure) == (axis, mode, &fit.figure)
            && near(other.slope, fit.slope) && near(other.offset, fit.offset) && near(other.error, fit.error))
    });
    ensure(is_written, "the record's fit is not that of its runs")?;
    ensure(fit.error <= MOST_ERROR, "the prediction rests on a form that is wrong")?;
    let failed = failed_beyond(&lines, axis, mode, name);
    ensure(failed.is_none(), "it is predicted beyond a size at which calibration failed")?;
    let missed = cell("error")?.split_once(" by ").and_then(|(_, rest)| rest.split_once(" at "));
    let missed = missed.and_then(|(by, _)| number(by)).ok_or("no error of the prediction")?;
    ensure(missed >= fit.error - 1e-8 && missed <= fit.error + 0.001, "the error is not the fit's")?;
    let terms: Vec<&str> = cell("sum")?.split(" + ").collect();
    let at = asked_size(cell("at")?, axis.name()).ok_or("no size")?;
    let played = points(&lines, axis, mode, name).ok_or("no points")?.points;
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
fn together(
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
    let played = points(lines, Axis::Routers, mode, name).ok_or("no points")?.held;
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
    if (error.starts_with("under") || error.contains("; both at ")) && by > Some(MOST_ERROR) {
        return Err("it rests on a crossing that is wrong".to_string());
    }
    let told = |error: quillpoint_testbed::fit::Unfit| error.to_string();
    let routers = fit(lines, Axis::Routers, mode, name).map_err(told)?;
    let databases = fit(lines, Axis::Databases, mode, name).map_err(told)?;
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
            let played = points(lines, axis, mode, name).map_or(Vec::new(), |points| points.points);
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
type Place = (f64, f64);

fn form(form: Form, size: f64) -> f64 {
    match form {
        Form::Constant => 0.0,
        Form::Log => size.ln(),
        Form::Linear | Form::Product => size,
        Form::Square => size * size,
    }
}

#[test]
fn the_page_is_what_its_records_say() {
    let made = fill(&page(), &repository().join("docs/measurements")).expect("the page can be made");
    assert!(made == page(), "measure/capacity writes another page; run it");
}

#[test]
fn each_row_of_the_page_holds_by_itself() {
    let faults = faults(&page(), &repository().join("docs/measurements"));
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Calm runs and runs of a record with a fault: whether there is one, its mode, its changes, and its figures.
fn lines_of(file: &str) -> Vec<Line> {
    read(&repository().join("docs/measurements").join(file)).expect("a record")
}

#[test]
fn a_fault_row_asks_for_nothing_that_is_counted_before_the_fault() {
    for (section, _) in SECTIONS {
        for ask in asks(section) {
            let Source::Fault { fault, figure: name } = ask.source else { continue };
            for file in [PLAYED, SIMULATED] {
                let lines = lines_of(file);
                let struck: Vec<Run<'_>> =
                    lines.iter().filter_map(of_run).filter(|(is, ..)| *is == Some(fault)).collect();
                for (.., sizes, (figures, _)) in struck.iter().filter(|(.., (all, _))| all.contains_key(name))
                {
                    // What a calm run of the same kind has too is of the calm seconds with which each run begins.
                    let is_calm = lines.iter().filter_map(of_run).any(|(is, calm, (all, _))| {
                        is.is_none()
                            && (calm.mode, calm.changes) == (sizes.mode, sizes.changes)
                            && all.contains_key(name)
                    });
                    assert!(
                        !is_calm,
                        "{}, {fault}: {name} {} is of the calm seconds",
                        ask.what, figures[name]
                    );
                }
            }
        }
    }
}

/// Whether a row's other axis was held below the target, or its fault was played below it.
fn is_below(row: &BTreeMap<String, String>) -> bool {
    let Some((.., place)) = cited(&row["record"]) else { return false };
    if !place.starts_with("over ") {
        let at = &row["at"];
        return before(at, "routers") < Some(ROUTERS) || before(at, "databases") < Some(DATABASES);
    }
    let Some(held) = row["at"].split(';').nth(1).filter(|held| held.ends_with(" held")) else { return false };
    let routers = if row["record"].contains(", shared, ") { 256.0 } else { ROUTERS };
    before(held, "routers").is_some_and(|held| held < routers)
        || before(held, "databases").is_some_and(|held| held < DATABASES)
}

/// How many control instances were played for a row of a control machine's share.
fn instances(row: &BTreeMap<String, String>) -> Option<f64> {
    let at = &row["at"];
    let of_share = at
        .split_once(" routers an instance, ")
        .and_then(|(_, rest)| number(rest.split_once(" before ")?.1.split([' ', ';']).next()?));
    of_share.or_else(|| before(at, "instances"))
}

/// Whether it is of other instances than there are machines in its case.
fn is_of_others(row: &BTreeMap<String, String>) -> bool {
    let machines = before(&row["what"], "machines").unwrap_or(8.0);
    row["role"] == "control machine"
        && row["record"].contains(", over ")
        && !row["record"].contains("over changes")
        && instances(row).is_some_and(|instances| instances != machines)
}

#[test]
fn no_ratio_stands_where_anything_is_held_below_the_target() {
    let found: Vec<String> = rows(&page())
        .iter()
        .filter(|row| is_below(row) && number(&row["ratio"]).is_some())
        .map(|row| format!("{}, {}: {}", row["what"], row["at"], row["ratio"]))
        .collect();
    assert!(found.is_empty(), "{}", found.join("\n"));
}

#[test]
fn a_region_alone_and_a_machine_lost_bear_all_databases() {
    for (section, left) in [("region", 4.0), ("control-lost", 7.0)] {
        let part = page();
        let part = part
            .split(&format!("<!-- begin {section} -->"))
            .nth(1)
            .and_then(|rest| rest.split("<!-- end").next());
        let rows = rows(part.expect("the section"));
        for what in ["bytes in and out a second", "processor time, cores"] {
            let of: Vec<_> = rows.iter().filter(|row| row["what"].starts_with(what)).collect();
            assert!(
                of.iter().any(|row| row["at"].ends_with(" and 18,000 databases")),
                "{section}: {what} is not looked at with all databases"
            );
            for row in of.iter().filter(|row| number(&row["ratio"]).is_some_and(|ratio| ratio <= 1.0)) {
                assert_eq!(instances(row), Some(left), "{section}: {what}, {}", row["at"]);
            }
        }
    }
}

#[test]
fn nothing_is_predicted_beyond_where_calibration_failed() {
    let lines = lines_of(PLAYED);
    for row in rows(&page()).iter().filter(|row| row["basis"].starts_with("predicted")) {
        let (_, name, mode, place) = cited(&row["record"]).expect("a record");
        let axis =
            Axis::ALL.into_iter().find(|axis| place == format!("over {}", axis.name())).expect("an axis");
        let failed = failed_beyond(&of_program(lines.clone(), by(&row["record"])), axis, mode, name);
        assert!(failed.is_none(), "{} at {}: calibration failed at {failed:?}", row["what"], row["at"]);
    }
}

#[test]
fn what_processes_did_not_play_of_a_fault_is_said_beside_what_the_lab_did() {
    let all = rows(&page());
    for row in all.iter().filter(|row| row["basis"].starts_with("simulated below the target")) {
        let played = row["record"].replace(SIMULATED, PLAYED);
        let of_any =
            |record: &str| record.split_once(", by ").map_or(record.to_string(), |(of, _)| of.to_string());
        assert!(
            all.iter().any(|other| of_any(&other["record"]) == played && other["what"] == row["what"]),
            "{}: {played}",
            row["what"]
        );
    }
}

#[test]
fn the_most_that_thousands_alone_may_ask_of_one_database_in_a_second_is_said() {
    let all = rows(&page());
    let most = all.iter().find(|row| {
        row["role"] == "database"
            && row["what"].starts_with("probes in one second, no control instance left, the most")
    });
    let most = most.and_then(|row| number(&row["figure"])).expect("a row");
    // None of them waits for another: their first looks may fall into one second.
    assert!(most >= ROUTERS, "{most}");
}

#[test]
fn every_role_has_a_row_on_every_occasion() {
    let page = page();
    for (marker, ..) in
        SECTIONS.iter().filter(|(marker, _)| ["restarts", "zone", "region", "burst"].contains(marker))
    {
        let part = page
            .split(&format!("<!-- begin {marker} -->"))
            .nth(1)
            .and_then(|rest| rest.split("<!-- end").next());
        let rows = rows(part.expect("the section"));
        for role in ["router", "control machine", "discovery", "database", "client connection"] {
            assert!(rows.iter().any(|row| row["role"] == role), "{marker}: {role}");
        }
    }
    for role in ["router", "control machine", "discovery", "database", "client connection"] {
        for what in ["state", "messages", "bytes", "processor time", "memory"] {
            let has = rows(&page).iter().any(|row| row["role"] == role && row["what"].contains(what));
            // What passes between discovery, databases or clients and the rest are calls, probes and statements.
            let has = has
                || what == "messages"
                    && rows(&page).iter().any(|row| {
                        row["role"] == role
                            && ["calls", "probes", "statements"]
                                .iter()
                                .any(|word| row["what"].starts_with(word))
                    });
            assert!(has, "{role}: {what}");
        }
    }
}

#[test]
fn the_page_names_every_role_and_every_occasion() {
    let rows = rows(&page());
    for role in ["router", "control machine", "discovery", "database", "client connection"] {
        assert!(rows.iter().any(|row| row["role"] == role), "{role}");
    }
    for marker in
        ["calm-shared", "calm-feed", "restarts", "zone", "region", "burst", "missing-today", "later"]
    {
        assert!(page().contains(&format!("<!-- begin {marker} -->")), "{marker}");
    }
}

/// A folder of its own, gone with its owner.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("quillpoint-capacity-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.0);
    }
}

fn run(mode: Mode, routers: usize, databases: usize, fault: Option<&str>, figures: &[(&str, f64)]) -> Line {
    Line::Run {
        axis: None,
        fault: fault.map(str::to_string),
        program: None,
        sizes: Sizes {
            mode,
            routers,
            real: 16,
            hollow_processes: 4,
            control: 2,
            databases,
            connections: 1000,
            statements: 100.0,
            changes: 0.2,
            period_s: 0.15,
            seed: 1,
            seconds: 10.0,
        },
        figures: figures.iter().map(|(name, is)| ((*name).to_string(), *is)).collect(),
        bounds: Vec::new(),
    }
}

const SIZES: [usize; 5] = [250, 500, 1000, 2000, 4000];

/// Runs in which bytes grow with databases under all-to-all sharing and hardly under the feed, in which one control
/// instance's bytes grow with routers times databases, and whose memory was played at the target.
fn made_up() -> Vec<Line> {
    let mut lines = Vec::new();
    let mut add = |routers: usize, databases: usize| {
        let (n, m) = (routers as f64, databases as f64);
        let shared =
            [("router_bytes_in_s", 900.0 + 104.0 * m), ("router_bytes_out_s", 10.0 * n.ln() + 104.0 * m)];
        lines.push(run(Mode::Shared, routers, databases, None, &shared));
        let feed = [
            ("router_bytes_in_s", 4321.0 + 0.01 * m),
            ("router_bytes_out_s", 100.0),
            ("router_cpu_part", 0.001 + 1e-6 * m),
            ("router_memory_bytes", 1e6 + 300.0 * m),
            ("router_state_bytes", if n > 3000.0 { 9e6 } else { 1e6 }),
            ("age_p99_s", 0.3 - 0.01 * n.ln()),
            ("control_bytes_in_s", 500.0),
            ("control_bytes_out_s", 2000.0 + 0.004 * n * m),
        ];
        lines.push(run(Mode::Feed, routers, databases, None, &feed));
    };
    SIZES.iter().for_each(|routers| add(*routers, 500));
    SIZES.iter().filter(|databases| **databases != 500).for_each(|databases| add(500, *databases));
    add(500, 18_000);
    let peaks = [("peak_control_bytes_s", 9e6), ("follow_max_s", 2.51)];
    lines.push(run(Mode::Feed, 4000, 500, Some("restart"), &peaks));
    lines.push(run(Mode::Feed, 2000, 500, Some("restart"), &[("peak_control_bytes_s", 1e9)]));
    for connections in [1000, 2000, 4000, CONNECTIONS as usize] {
        let mut line = run(Mode::Feed, 500, 500, None, &[("connection_memory_bytes", 5000.0)]);
        if let Line::Run { sizes, .. } = &mut line {
            sizes.connections = connections;
        }
        lines.push(line);
    }
    lines
}

fn with_fits(mut lines: Vec<Line>) -> Vec<Line> {
    lines.extend(fit_all(&lines).into_iter().map(Line::Fit));
    lines
}

/// A page made of these records, and where they are.
fn made(name: &str, lines: Vec<Line>) -> (Folder, String) {
    let folder = Folder::new(name);
    write(&folder.0.join(PLAYED), &with_fits(lines)).expect("written");
    let page = fill(&page(), &folder.0).expect("made");
    (folder, page)
}

fn row(page: &str, role: &str, what: &str, record: &str) -> BTreeMap<String, String> {
    let mut rows = rows(page).into_iter();
    let found =
        rows.find(|row| row["role"] == role && row["what"] == what && row["record"].ends_with(record));
    found.unwrap_or_else(|| panic!("no row {role}, {what}, {record}"))
}

#[test]
fn rows_are_made_of_the_records_as_far_as_they_go() {
    let (folder, page) = made("whole", made_up());
    assert_eq!(faults(&page, &folder.0), Vec::<String>::new());
    let bytes = "bytes in and out a second";
    let shared = row(&page, "router", bytes, "shared, over databases");
    assert_eq!((shared["basis"].as_str(), shared["figure"].as_str()), ("measured", "3,750,000"));
    assert_eq!(shared["ratio"], "289");
    let memory = row(&page, "router", "memory of control, bytes", "feed, over databases");
    assert_eq!((memory["basis"].as_str(), memory["figure"].as_str()), ("measured", "6,400,000"));
    // 500 routers were held: that says nothing of the budget, though it was played.
    assert_eq!((memory["budget"].as_str(), memory["ratio"].as_str()), ("64,000,000", "–"));
    // A constant over routers, at a size that was not played.
    let feed = row(&page, "router", bytes, "feed, over routers");
    assert_eq!(
        (feed["basis"].as_str(), feed["sum"].as_str(), feed["figure"].as_str()),
        ("predicted", "4,426", "4,430")
    );
    // Two instances were played: the followers of one of eight machines are those of 1,975 routers there.
    let control = row(&page, "control machine", bytes, "feed, over routers");
    assert!(control["at"].starts_with("1,975 routers, 18,000 databases"), "{control:?}");
    assert!(control["sum"].ends_with("× 1,975 × 18,000"), "{control:?}");
    // What falls with size is held.
    let age = row(&page, "router", "age of what is known, p99, s", "feed, over routers");
    assert!(age["error"].ends_with("; held at the most played") && !age["sum"].contains('×'), "{age:?}");
    // A jump at the largest size.
    let state = row(&page, "router", "state of control, bytes", "feed, over routers");
    assert_eq!((state["basis"].as_str(), state["figure"].as_str()), ("not measured", "–"));
    assert_eq!(state["error"], "under by 0.889 at 4,000: the form is wrong");
    // The largest fault played, beside five times the calm of that size.
    let peak = row(&page, "control machine", "peak, bytes a second, a sixth restarted", "feed, restart");
    assert_eq!((peak["basis"].as_str(), peak["figure"].as_str()), ("measured below the target", "9,000,000"));
    assert_eq!((peak["budget"].as_str(), peak["ratio"].as_str()), ("52,500", "at least 172"));
    assert!(peak["at"].starts_with("4,000 routers, 500 databases"));
    let connection = row(&page, "client connection", "memory of one, bytes", "feed, over connections");
    assert_eq!((connection["basis"].as_str(), connection["figure"].as_str()), ("measured", "5,000"));
    // Bytes under sharing lead what is missing without control instances.
    let order = tables(&page).into_iter().find(|table| table[0][0] == "ratio").expect("the order");
    assert_eq!(&order[1][1..3], ["router", bytes]);
    let ratio = |row: &[String]| number(row[0].trim_start_matches("at least ")).expect("a ratio");
    assert!(order.windows(2).skip(1).all(|pair| ratio(&pair[0]) >= ratio(&pair[1])));
    assert!(page.contains(&format!("First: router, {bytes} (calm): ")));
}

/// Guards against a region alone, whose four machines probe a quarter of the databases each, that passes for as cheap as
/// four of eight, since runs of eight are newer.
#[test]
fn runs_of_as_many_instances_as_there_are_machines_come_before_newer_ones_of_others() {
    let played = |instances: usize, cost: f64, program: Option<&str>| {
        let sizes =
            SIZES.map(|routers| (routers, 500)).into_iter().chain(SIZES.map(|databases| (500, databases)));
        let mut lines: Vec<Line> = sizes
            .map(|(routers, databases)| {
                let cpu = 0.01 + cost * databases as f64 + 1e-6 * routers as f64;
                run(Mode::Feed, routers, databases, None, &[("control_cpu_part", cpu)])
            })
            .collect();
        for line in &mut lines {
            if let Line::Run { sizes, program: by, .. } = line {
                (sizes.control, *by) = (instances, program.map(str::to_string));
            }
        }
        lines
    };
    let both = |first: Vec<Line>, then: Vec<Line>| made("instances", first.into_iter().chain(then).collect());
    let what = "processor time, cores";
    let alone = "processor time, cores, 4 machines before 3,950 routers";
    let (folder, page) = both(played(4, 5e-5, None), played(8, 2e-5, Some("new")));
    assert_eq!(faults(&page, &folder.0), Vec::<String>::new());
    let calm = row(&page, "control machine", what, "feed, over routers and databases, by new");
    assert!(number(&calm["figure"]).is_some_and(|is| is < 0.8), "{calm:?}");
    let region = row(&page, "control machine", alone, "feed, over routers and databases");
    assert!(number(&region["figure"]).is_some_and(|is| is > 0.9), "{region:?}");
    // Where there are none of as many, the newest.
    let lost = row(&page, "control machine", "processor time, cores, 7 machines left", "databases, by new");
    assert!(number(&lost["figure"]).is_some_and(|is| is < 0.5), "{lost:?}");
    // Of as many, the newer.
    let (_, page) = both(played(8, 5e-5, None), played(8, 2e-5, Some("new")));
    row(&page, "control machine", what, "feed, over routers and databases, by new");
}

#[test]
fn a_figure_on_which_calibration_failed_counts_for_nothing() {
    let mut lines = made_up();
    for line in &mut lines {
        if let Line::Run { sizes, bounds, fault: None, .. } = line
            && (sizes.mode, sizes.databases) == (Mode::Feed, 18_000)
        {
            let figure = "calibration_memory_bytes".to_string();
            bounds.push(Bound { figure, is: 0.2, most: 0.1, held: false });
        }
    }
    let (folder, page) = made("calibration", lines);
    assert_eq!(faults(&page, &folder.0), Vec::<String>::new());
    let memory = row(&page, "router", "memory of control, bytes", "feed, over databases");
    // What was left out is the largest size: how the figure grows from there on nobody knows.
    assert_eq!((memory["basis"].as_str(), memory["figure"].as_str()), ("not measured", "–"));
    assert!(
        memory["error"].ends_with("; calibration failed at 18,000, and nothing is known beyond"),
        "{memory:?}"
    );
    let bytes = row(&page, "router", "bytes in and out a second", "feed, over databases");
    assert_eq!(bytes["basis"], "measured");
    assert!(page.contains("calibration_memory_bytes 0.2 for 0.1 at 500 × 18,000"));
}

/// Runs by a program of this name.
fn by_program(name: &str, mut lines: Vec<Line>) -> Vec<Line> {
    for line in &mut lines {
        if let Line::Run { program, .. } = line {
            *program = Some(name.to_string());
        }
    }
    lines
}

#[test]
fn a_newer_programs_runs_stand_beside_the_older_ones_and_never_among_them() {
    let bytes = "bytes in and out a second";
    let control = |routers: usize, databases: usize, slope: f64| {
        let (n, m) = (routers as f64, databases as f64);
        let is = [("control_bytes_in_s", 500.0), ("control_bytes_out_s", 2000.0 + 300.0 * n + slope * m)];
        run(Mode::Feed, routers, databases, None, &is)
    };
    let databases = |slope: f64| SIZES.map(|databases| control(500, databases + 1, slope));
    let mut lines: Vec<Line> = SIZES.iter().map(|routers| control(*routers, 501, 300.0)).collect();
    lines.extend(databases(300.0));
    // Cheaper, and played over databases alone.
    let lean = by_program("a lean one", databases(30.0).to_vec());
    lines.extend(lean.clone());
    let (folder, page) = made("programs", lines.clone());
    assert_eq!(faults(&page, &folder.0), Vec::<String>::new());
    let of = |page: &str| -> Vec<(String, String)> {
        let rows = rows(page).into_iter();
        let rows = rows.filter(|row| row["role"] == "control machine" && row["what"] == bytes);
        rows.map(|row| (row["record"].split(", ").skip(2).collect::<Vec<_>>().join(", "), row["sum"].clone()))
            .collect()
    };
    let found = of(&page);
    let places: Vec<&str> = found.iter().map(|(place, _)| place.as_str()).collect();
    assert_eq!(
        places,
        ["over databases, by a lean one", "over routers", "over databases", "over routers and databases"]
    );
    assert!(found[0].1.ends_with("+ 30 × 18,000") && found[2].1.ends_with("+ 300 × 18,000"), "{found:?}");
    // What the first program had is not told as the newer one's, nor the other way round.
    let row =
        rows(&page).into_iter().find(|row| row["record"].ends_with("databases, by a lean one")).expect("it");
    let wrong = row["record"].replace(", by a lean one", "");
    let found = faults(&changed(&page, &row, "record", &wrong), &folder.0);
    assert!(
        found.iter().any(|fault| fault.ends_with("the prediction is less than what was played")),
        "{found:?}"
    );
    // Once it was played over routers too, the first is history.
    lines
        .extend(by_program("a lean one", SIZES.iter().map(|routers| control(*routers, 501, 30.0)).collect()));
    let (folder, page) = made("newest", lines);
    assert_eq!(faults(&page, &folder.0), Vec::<String>::new());
    let places: Vec<String> = of(&page).into_iter().map(|(place, _)| place).collect();
    assert!(places.len() == 3 && places.iter().all(|place| place.ends_with(", by a lean one")), "{places:?}");
    assert!(page.contains("| scale.jsonl | a lean one | feed | calm | 10 |"));
}

#[test]
fn a_fault_is_shown_as_the_newest_program_and_the_whole_cut_left_it() {
    let cut =
        |databases: usize, figures: &[(&str, f64)]| run(Mode::Feed, 2000, databases, Some("cut"), figures);
    let peak = |is: f64| ("peak_control_bytes_s", is);
    let what = "peak, bytes a second, at healing";
    let mut lines = vec![cut(500, &[peak(9e6)]), cut(500, &[peak(8e6)])];
    let shown = |name: &str, lines: &[Line]| {
        let folder = Folder::new(name);
        write(&folder.0.join(PLAYED), lines).expect("written");
        let page = fill(&page(), &folder.0).expect("made");
        assert_eq!(faults(&page, &folder.0), Vec::<String>::new());
        let row = rows(&page).into_iter().find(|row| row["what"] == what).expect("it");
        (
            row["at"].split("; ").nth(1).unwrap_or_default().to_string(),
            row["figure"].clone(),
            row["record"].clone(),
        )
    };
    let told = |at: &str, figure: &str, by: &str| {
        let record = format!("{PLAYED}: peak_control_bytes_s, feed, cut{by}");
        (at.to_string(), figure.to_string(), record)
    };
    let routers_alone = "the instances not cut";
    assert_eq!(shown("cut-once", &lines), told(routers_alone, "9,000,000", ""));
    // At the same size the newest counts, at a smaller one not.
    lines.extend(by_program("lean", vec![cut(500, &[peak(7e6)]), cut(250, &[peak(1e7)])]));
    assert_eq!(shown("cut-newer", &lines), told(routers_alone, "7,000,000", ", by lean"));
    // A cut that parts the control instances too is the one that is asked for.
    lines.push(cut(500, &[peak(6e6), ("agree_max_s", 1.0)]));
    assert_eq!(shown("cut-whole", &lines), told("", "6,000,000", ""));
}

#[test]
fn what_was_played_at_another_period_is_beside_no_budget() {
    let mut lines = made_up();
    for line in &mut lines {
        if let Line::Run { sizes, figures, .. } = line {
            sizes.period_s = 2.0;
            figures.extend((sizes.mode == Mode::Feed).then(|| ("database_probes_s".to_string(), 0.5)));
        }
    }
    let (folder, page) = made("period", lines);
    assert_eq!(faults(&page, &folder.0), Vec::<String>::new());
    let probes = row(&page, "database", "probes a second", "feed, over databases");
    assert_eq!((probes["basis"].as_str(), probes["ratio"].as_str()), ("measured at another period", "–"));
    let age = row(&page, "router", "age of what is known, p99, s", "feed, over routers");
    assert_eq!((age["basis"].as_str(), age["ratio"].as_str()), ("predicted at another period", "–"));
    // What a router is sent by the feed is not told by probes.
    let bytes = row(&page, "router", "bytes in and out a second", "feed, over databases");
    assert_eq!(bytes["basis"], "measured");
    let peak = row(&page, "control machine", "peak, bytes a second, a sixth restarted", "feed, restart");
    assert_eq!(peak["basis"], "measured below the target at another period");
    let found = faults(&changed(&page, &probes, "basis", "measured"), &folder.0);
    assert!(found.iter().any(|fault| fault.ends_with("a figure of another period")), "{found:?}");
}

#[test]
fn what_the_page_links_to_is_drawn() {
    let (folder, page) = made("drawn", made_up());
    let drawn = quillpoint_testbed::capacity::draw(&folder.0).expect("drawn");
    assert!(drawn.contains(&"scale-router-bytes-databases.svg".to_string()), "{drawn:?}");
    for file in &drawn {
        assert!(page.contains(&format!("](measurements/{file})")), "{file}");
        assert!(std::fs::read_to_string(folder.0.join(file)).expect("it").contains("feed, played"), "{file}");
    }
    assert_eq!(page.matches("](measurements/").count(), drawn.len());
}

#[test]
fn each_drawing_of_the_page_is_there() {
    for link in page().split("](").skip(1).filter_map(|rest| rest.split(')').next()) {
        assert!(repository().join("docs").join(link).is_file(), "{link}");
    }
}

#[test]
fn without_records_nothing_is_measured() {
    let folder = Folder::new("none");
    let page = fill(&page(), &folder.0).expect("made");
    assert_eq!(faults(&page, &folder.0), Vec::<String>::new());
    let rows = rows(&page);
    assert!(rows.iter().all(|row| matches!(row["basis"].as_str(), "not measured" | "computed")));
    assert!(rows.iter().any(|row| row["error"] == "no run"));
    // Three sizes are none either.
    let few =
        made_up().into_iter().filter(|line| of_run(line).is_some_and(|(_, sizes, _)| sizes.routers <= 1000));
    let few = few.filter(|line| of_run(line).is_some_and(|(_, sizes, _)| sizes.databases <= 1000));
    let (folder, page) = made("few", few.collect());
    assert_eq!(faults(&page, &folder.0), Vec::<String>::new());
    let bytes = row(&page, "router", "bytes in and out a second", "feed, over routers");
    assert_eq!(
        (bytes["basis"].as_str(), bytes["error"].as_str()),
        ("not measured", "sizes played: 3, needed: 4")
    );
}

/// A cell of one row changed, and all else left.
fn changed(page: &str, row: &BTreeMap<String, String>, cell: &str, to: &str) -> String {
    let columns =
        ["role", "what", "at", "sum", "figure", "budget", "ratio", "basis", "error", "record", "mechanism"];
    let line =
        |row: &BTreeMap<String, String>| format!("| {} |", columns.map(|name| row[name].clone()).join(" | "));
    let old = line(row);
    assert!(page.contains(&old), "{old}");
    let mut row = row.clone();
    row.insert(cell.to_string(), to.to_string());
    page.replace(&old, &line(&row))
}

#[test]
fn what_a_page_claims_wrongly_is_found() {
    let (folder, page) = made("wrong", made_up());
    let bytes = "bytes in and out a second";
    let predicted = row(&page, "router", bytes, "feed, over routers");
    let linear = row(&page, "router", "processor time of control, cores", "feed, over databases");
    assert_eq!(linear["basis"], "measured");
    let product = row(&page, "control machine", bytes, "feed, over routers");
    let peak = row(&page, "control machine", "peak, bytes a second, a sixth restarted", "feed, restart");
    let unknown = row(&page, "router", "state of control, bytes", "feed, over routers");
    let list = row(&page, "discovery", "bytes of lists to all that come back", "listing.rs");
    let told = |page: &str, row: &BTreeMap<String, String>, cell: &str, to: &str, fault: &str| {
        let faults = faults(&changed(page, row, cell, to), &folder.0);
        // A row of both axes that rests on this one falls with it.
        let first = faults.first().map_or("", String::as_str);
        assert!(faults.len() <= 2 && first.ends_with(fault), "{cell} {to}: {faults:?}");
    };
    let less = |text: &str, by: f64| show(number(text).expect("a number") - by);
    // A figure changed by one.
    told(&page, &predicted, "figure", "4,425", "the figure is not its sum, rounded up");
    told(&page, &list, "figure", &less(&list["figure"], 1e7), "the figure is not its sum, rounded up");
    told(&page, &peak, "figure", "8,999,999", "the figure is not what was played");
    // A ratio rounded down.
    let down = less(&list["ratio"], 0.1);
    told(&page, &list, "ratio", &down, "the ratio is not figure over budget, rounded up");
    // Two instances were played, and there are eight machines.
    told(&page, &product, "ratio", "0.0113", "a ratio of other instances than there are");
    told(&page, &peak, "ratio", "at least 171", "the ratio is not figure over budget, rounded up");
    // A ratio where something was held below the target, and none where it is over its budget all the same.
    told(&page, &predicted, "ratio", "0.341", "a ratio of what was held below the target");
    told(
        &page,
        &predicted,
        "ratio",
        "at least 0.341",
        "what is within its budget below the target is no more than that",
    );
    told(&page, &peak, "ratio", "172", "a ratio of what was held below the target");
    told(&page, &peak, "ratio", "–", "what is over its budget below the target is not said to be");
    // A slope, an offset or a form that is not the record's.
    let (offset, slope) = product["sum"].split_once(" + ").expect("a sum");
    let (slope, sizes) = slope.split_once(" × ").expect("a product");
    let other = format!("{offset} + {} × {sizes}", show(up(number(slope).expect("a slope") * 0.9999, 6)));
    told(&page, &product, "sum", &other, "the slope is not the record's");
    told(&page, &predicted, "sum", "4,425.9", "the offset is not the record's");
    told(&page, &predicted, "sum", "4,426 + 0 × 7,900", "the form is not the record's");
    // Claims beyond the record.
    told(&page, &predicted, "basis", "measured", "its record did not play that size");
    told(&page, &predicted, "basis", "simulated: predicted", "measured and simulated are mistaken");
    told(&page, &peak, "basis", "measured", "it is not said whether this is the target's size");
    told(
        &page,
        &peak,
        "at",
        "7,900 routers, 500 databases, 2 instances, period 0.15 s",
        "that fault was not played at that size",
    );
    told(&page, &unknown, "figure", "9,000,000", "a figure of what nobody has measured");
    told(&page, &predicted, "error", "–", "no error of the prediction");
    told(&page, &list, "mechanism", "", "a mechanism, or none, must be named");
    let elsewhere = predicted["record"].replace(PLAYED, "other.jsonl");
    let found = faults(&changed(&page, &predicted, "record", &elsewhere), &folder.0);
    assert!(found.len() == 1 && found[0].contains("the record cannot be read"), "{found:?}");
    told(
        &page,
        &predicted,
        "record",
        &predicted["record"].replace("bytes_in", "beats_in"),
        "the record has no such figure",
    );
}

#[test]
fn what_a_record_does_not_bear_out_is_found() {
    let (folder, page) = made("changed", made_up());
    let path = folder.0.join(PLAYED);
    let lines = read(&path).expect("read");
    // A run changed: its fits are old, for the generator and for the row.
    let mut other = lines.clone();
    if let Some(Line::Run { figures, .. }) =
        other.iter_mut().find(|line| matches!(line, Line::Run { sizes, .. } if sizes.mode == Mode::Feed))
    {
        figures.insert("router_bytes_in_s".to_string(), 4400.0);
    }
    write(&path, &other).expect("written");
    let error = fill(&page, &folder.0).expect_err("old fits").to_string();
    assert!(error.contains("run measure/fit"), "{error}");
    assert!(
        faults(&page, &folder.0)
            .iter()
            .any(|fault| fault.ends_with("the record's fit is not that of its runs"))
    );
    // The same with new fits: the page is of yesterday.
    let runs = |lines: &[Line]| {
        lines.iter().filter(|line| matches!(line, Line::Run { .. })).cloned().collect::<Vec<_>>()
    };
    write(&path, &with_fits(runs(&other))).expect("written");
    assert_ne!(fill(&page, &folder.0).expect("made"), page);
    assert!(!faults(&page, &folder.0).is_empty());
    // A largest size that says the form is wrong: a row that still predicts is found.
    let mut other = runs(&lines);
    for line in &mut other {
        if let Line::Run { sizes, figures, fault: None, .. } = line
            && (sizes.mode, sizes.routers) == (Mode::Feed, 4000)
        {
            figures.insert("router_bytes_in_s".to_string(), 9000.0);
        }
    }
    write(&path, &with_fits(other)).expect("written");
    let found = faults(&page, &folder.0);
    assert!(
        found.iter().any(|fault| fault.ends_with("the prediction rests on a form that is wrong")),
        "{found:?}"
    );
    let page = fill(&page, &folder.0).expect("made");
    let bytes = row(&page, "router", "bytes in and out a second", "feed, over routers");
    assert_eq!((bytes["basis"].as_str(), bytes["ratio"].as_str()), ("not measured", "–"));
    assert_eq!(faults(&page, &folder.0), Vec::<String>::new());
    // No record at all.
    std::fs::remove_file(&path).expect("removed");
    assert!(faults(&page, &folder.0).iter().any(|fault| fault.contains("the record cannot be read")));
}

#[test]
fn runs_without_processes_are_called_simulated() {
    let folder = Folder::new("simulated");
    let mut lines = Vec::new();
    for (routers, nodes) in [(50, 250), (50, 500), (50, 1000), (50, 2000), (25, 250), (100, 250), (200, 250)]
    {
        let bytes = 23_000.0 + 208.0 * nodes as f64 + 100.0 * routers as f64;
        let mut line = run(Mode::Shared, routers, nodes, None, &[("router_bytes_out_s", bytes)]);
        if let Line::Run { sizes, .. } = &mut line {
            (sizes.real, sizes.hollow_processes, sizes.control) = (0, 0, 0);
        }
        lines.push(line);
    }
    write(&folder.0.join(SIMULATED), &with_fits(lines)).expect("written");
    let page = fill(&page(), &folder.0).expect("made");
    assert_eq!(faults(&page, &folder.0), Vec::<String>::new());
    let sent = "bytes sent a second";
    let one = row(&page, "router", sent, "shared, over databases");
    assert_eq!(
        (one["basis"].as_str(), one["sum"].as_str()),
        ("simulated: predicted", "28,000 + 208 × 18,000")
    );
    assert_eq!((one["figure"].as_str(), one["ratio"].as_str()), ("3,780,000", "at least 291"));
    let both = row(&page, "router", sent, "shared, over routers and databases");
    assert_eq!(
        (both["basis"].as_str(), both["sum"].as_str()),
        ("simulated: computed", "101,000 + 3,780,000 + 1,491,000 − 80,000")
    );
    let found = faults(&changed(&page, &one, "basis", "predicted"), &folder.0);
    assert!(found.len() == 1 && found[0].ends_with("measured and simulated are mistaken"), "{found:?}");
    let found = faults(&changed(&page, &both, "sum", "100,000 + 3,780,000 + 1,491,000 − 80,000"), &folder.0);
    assert!(found.len() == 1, "{found:?}");
}

#[test]
fn what_the_lab_played_of_the_feed_stands_beside_what_processes_did() {
    let folder = Folder::new("both");
    let simulate = |mut line: Line| {
        if let Line::Run { sizes, .. } = &mut line {
            (sizes.real, sizes.hollow_processes) = (0, 0);
        }
        line
    };
    let peaks = [("follow_max_s", 1.25)];
    let lines = vec![
        run(Mode::Feed, 7900, 18_000, None, &[("router_bytes_in_s", 9000.0), ("router_bytes_out_s", 50.0)]),
        run(Mode::Feed, 7900, 18_000, Some("restart"), &peaks),
    ];
    write(&folder.0.join(SIMULATED), &lines.into_iter().map(simulate).collect::<Vec<_>>()).expect("written");
    write(&folder.0.join(PLAYED), &[run(Mode::Feed, 400, 400, Some("restart"), &peaks)]).expect("written");
    let page = fill(&page(), &folder.0).expect("made");
    assert_eq!(faults(&page, &folder.0), Vec::<String>::new());
    let bytes = row(&page, "router", "bytes in and out a second", "feed, over databases");
    assert_eq!((bytes["basis"].as_str(), bytes["figure"].as_str()), ("simulated", "9,050"));
    let bases: Vec<String> = rows(&page)
        .into_iter()
        .filter(|row| row["what"] == "time until all follow again, a sixth restarted, s")
        .map(|row| row["basis"].clone())
        .collect();
    assert_eq!(bases, ["measured below the target", "simulated"]);
}

#[test]
fn runs_off_both_axes_bear_a_crossing_out_or_refute_it() {
    let what = "processor time of control, cores";
    let crossing = |name: &str, off: &[(usize, usize, f64)]| {
        let mut lines = Vec::new();
        // A line over either, with a part that grows with both and one that does not.
        let truth = |n: f64, m: f64| 0.001 + 1e-6 * n + 3e-6 * m + 1e-9 * n * m;
        for routers in SIZES {
            lines.push((routers, 500));
            lines.push((500, routers + 1));
        }
        let mut lines: Vec<Line> = lines
            .into_iter()
            .map(|(n, m)| run(Mode::Feed, n, m, None, &[("router_cpu_part", truth(n as f64, m as f64))]))
            .collect();
        lines.extend(off.iter().map(|(n, m, is)| run(Mode::Feed, *n, *m, None, &[("router_cpu_part", *is)])));
        let (folder, page) = made(name, lines);
        assert_eq!(faults(&page, &folder.0), Vec::<String>::new());
        let row = row(&page, "router", what, "feed, over routers and databases");
        (folder, page, row)
    };
    let (_, _, alone) = crossing("crossing", &[]);
    assert_eq!((alone["basis"].as_str(), alone["error"].as_str()), ("computed", "–"));
    // No less than the truth at the target.
    assert!(number(&alone["figure"]) >= Some(0.001 + 0.0079 + 0.054 + 0.1422), "{alone:?}");
    let (folder, page, borne_out) = crossing("borne-out", &[(2000, 2000, 0.013)]);
    assert_eq!(borne_out["figure"], alone["figure"]);
    assert!(borne_out["error"].ends_with(" at 2,000 routers and 2,000 databases"), "{borne_out:?}");
    let found = faults(&changed(&page, &borne_out, "error", "–"), &folder.0);
    assert!(
        found.len() == 1 && found[0].ends_with("its error is not that of runs off both axes"),
        "{found:?}"
    );
    // Two of them tell how much grows with both, and the larger one whether that holds.
    let both = [(1000, 1000, 0.006), (2000, 2000, 0.013)];
    let (folder, page, shared) = crossing("shared", &both);
    assert_eq!(
        shared["error"],
        "over by 0.001 at 2,000 routers and 2,000 databases; both at 0.334 of the most"
    );
    assert!(number(&shared["figure"]) >= Some(0.001 + 0.0079 + 0.054 + 0.1422), "{shared:?}");
    assert!(number(&shared["figure"]) < number(&alone["figure"]));
    let less = shared["error"].replace("0.334", "0.3");
    let found = faults(&changed(&page, &shared, "error", &less), &folder.0);
    assert!(found.len() == 1 && found[0].ends_with("shows more that grows with both"), "{found:?}");
    let (_, _, refuted) = crossing("too-much", &[(1000, 1000, 0.006), (2000, 2000, 0.02)]);
    assert_eq!((refuted["basis"].as_str(), refuted["figure"].as_str()), ("not measured", "–"));
    let (_, _, refuted) = crossing("refuted", &[(2000, 2000, 0.03)]);
    assert_eq!((refuted["basis"].as_str(), refuted["figure"].as_str()), ("not measured", "–"));
    assert!(refuted["error"].ends_with(": the crossing is wrong"), "{refuted:?}");
}

#[test]
fn a_time_until_all_have_is_none_where_some_had_not() {
    let restart = |routers: usize, missing: f64| {
        run(Mode::Feed, routers, 500, Some("restart"), &[("follow_max_s", 0.5), ("follow_missing", missing)])
    };
    let shown = |name: &str, lines: &[Line]| {
        let folder = Folder::new(name);
        write(&folder.0.join(PLAYED), lines).expect("written");
        let page = fill(&page(), &folder.0).expect("made");
        assert_eq!(faults(&page, &folder.0), Vec::<String>::new());
        row(&page, "router", "time until all follow again, a sixth restarted, s", "feed, restart")
    };
    let all = shown("all-follow", &[restart(1000, 0.0), restart(2000, 0.0)]);
    assert_eq!((all["figure"].as_str(), all["basis"].as_str()), ("0.5", "measured below the target"));
    // The smaller run in which all did, or another of the same size, does not stand for the one in which three did not.
    let some = shown("some-follow", &[restart(1000, 0.0), restart(2000, 0.0), restart(2000, 3.0)]);
    assert_eq!((some["figure"].as_str(), some["basis"].as_str()), ("–", "not measured"));
    assert_eq!(some["error"], "3 had not when the run ended");
    assert!(some["at"].starts_with("2,000 routers"), "{some:?}");
}

#[test]
fn each_mechanism_is_a_package_or_none() {
    for row in rows(&page()) {
        let by = row["mechanism"].split(':').next().unwrap_or_default();
        let names = by.split(", ").map(|name| name.split(' ').next().unwrap_or_default());
        for name in names {
            let is_package = repository().join("crates").join(name).join("Cargo.toml").is_file();
            assert!(name == "none" || is_package, "{}: {}", row["what"], row["mechanism"]);
        }
    }
}

#[test]
fn a_page_with_a_marker_too_few_or_unknown_is_refused() {
    let folder = Folder::new("markers");
    let told = |page: &str| fill(page, &folder.0).expect_err("refused").to_string();
    let whole = page();
    assert!(told(&whole.replace("<!-- begin zone -->", "")).contains("no marker zone"));
    assert!(
        told(&whole.replace("<!-- begin zone -->", "<!-- begin zones -->")).contains("zones is not known")
    );
    assert!(told("<!-- begin zone -->").contains("zone has no end"));
}

#[test]
fn numbers_are_rounded_toward_more_and_shown_in_full() {
    for (is, digits, shown) in [
        (1234.0, 3, "1,240"),
        (1230.0, 3, "1,230"),
        (0.1 + 0.2, 3, "0.3"),
        (0.000_012_341, 3, "0.0000124"),
        (3_744_000.0, 6, "3,744,000"),
        (-1234.9, 3, "−1,230"),
        (0.0, 3, "0"),
        (999.5, 3, "1,000"),
        (4.0e-13, 2, "0.0000000000004"),
    ] {
        assert_eq!(show(up(is, digits)), shown);
    }
}
