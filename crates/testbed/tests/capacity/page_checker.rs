//! Reads a capacity page as a reader would and reports where it disagrees with its records. Shares no code
//! with the generator of the page but the fits.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use pulldown_cmark::{Event, Options, Parser, Tag, TagEnd};
use quillpoint_testbed::capacity::asks::{MEASURED_RECORD, TARGET_DATABASES, TARGET_ROUTERS};
use quillpoint_testbed::fit::{MAX_RELATIVE_ERROR, fit_newest, newest_points};
use quillpoint_testbed::record::{Axis, Bound, Fit, Form, Line, Mode, Sizes, read};

/// Returns the root of the repository.
pub fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns docs/CAPACITY.md.
pub fn page() -> String {
    std::fs::read_to_string(repository().join("docs/CAPACITY.md")).expect("docs/CAPACITY.md can be read")
}

/// Returns all tables of a page as rows of cells.
pub fn parse_tables(page: &str) -> Vec<Vec<Vec<String>>> {
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

/// Returns the rows that list the costs of roles. The cells are keyed by the column headings.
pub fn parse_rows(page: &str) -> Vec<BTreeMap<String, String>> {
    let mut all = Vec::new();
    for table in parse_tables(page) {
        let (head, rows) = table.split_first().expect("a table with a head");
        if head.first().is_some_and(|first| first == "role") {
            all.extend(rows.iter().map(|row| head.iter().cloned().zip(row.iter().cloned()).collect()));
        }
    }
    all
}

/// Parses a number as the page shows it.
pub fn parse_number(text: &str) -> Option<f64> {
    text.trim().replace(',', "").replace('−', "-").parse().ok()
}

/// Returns the value of `a × b × c / d`, where each factor is a number, `ln n` or `n²`.
pub fn parse_term(text: &str) -> Option<f64> {
    let (product, by) = text.split_once(" / ").unwrap_or((text, "1"));
    let factor = |factor: &str| {
        if let Some(of) = factor.strip_prefix("ln ") {
            return Some(parse_number(of)?.ln());
        }
        match factor.strip_suffix('²') {
            Some(of) => Some(parse_number(of)?.powi(2)),
            None => parse_number(factor),
        }
    };
    let factors: Option<Vec<f64>> = product.split(" × ").map(factor).collect();
    Some(factors?.into_iter().product::<f64>() / parse_number(by)?)
}

/// Returns the value of a sum of terms, from which one number may be subtracted.
pub fn parse_sum(text: &str) -> Option<f64> {
    let (plus, minus) = text.split_once(" − ").unwrap_or((text, "0"));
    Some(plus.split(" + ").map(parse_term).sum::<Option<f64>>()? - parse_number(minus)?)
}

/// Returns whether a shown number is the value rounded up to three digits: not less, and not larger than that
/// rounding allows.
pub fn is_rounded_up(shown: f64, value: f64) -> bool {
    shown >= value - value.abs() * 1e-9 && shown <= value + value.abs() * 0.0101 + 1e-12
}

/// Splits the citation `file: figure, mode, place`. It may end in `, by program`, which [`cited_program`]
/// returns.
pub fn parse_citation(text: &str) -> Option<(&str, &str, Mode, &str)> {
    let (file, rest) = text.split_once(": ")?;
    let mut parts = rest.splitn(3, ", ");
    let (figure, mode, place) = (parts.next()?, parts.next()?, parts.next()?);
    let place = place.split_once(", by ").map_or(place, |(place, _)| place);
    Some((file, figure, Mode::ALL.into_iter().find(|known| known.name() == mode)?, place))
}

/// Returns the program version in a citation.
pub fn cited_program(text: &str) -> Option<&str> {
    Some(text.split_once(", by ")?.1)
}

/// Returns the runs and fits of one program version.
pub fn lines_of_program(lines: Vec<Line>, wanted: Option<&str>) -> Vec<Line> {
    let is_of = |line: &Line| match line {
        Line::Run { program, .. } | Line::Fit(Fit { program, .. }) => program.as_deref() == wanted,
    };
    lines.into_iter().filter(is_of).collect()
}

/// Returns whether processes took part in a run.
pub fn has_processes(sizes: &Sizes) -> bool {
    sizes.real + sizes.hollow_processes > 0
}

/// The fault, the sizes, and the figures with the bounds of a run.
pub type Run<'a> = (Option<&'a str>, &'a Sizes, (&'a BTreeMap<String, f64>, &'a [Bound]));

/// Returns the parts of a run, or `None` for a fit.
pub fn run_parts(line: &Line) -> Option<Run<'_>> {
    match line {
        Line::Run { fault, sizes, figures, bounds, .. } => Some((fault.as_deref(), sizes, (figures, bounds))),
        Line::Fit(_) => None,
    }
}

/// Returns a figure or a sum of figures, or `None` if calibration failed on a part of it.
pub fn figure_of_run((figures, bounds): (&BTreeMap<String, f64>, &[Bound]), name: &str) -> Option<f64> {
    let part = |name: &str| {
        let calibration = name.replacen("router_", "calibration_", 1);
        let failed = bounds.iter().any(|bound| bound.figure == calibration && !bound.held);
        figures.get(name).copied().filter(|_| !failed || calibration == name)
    };
    name.split('+').map(part).sum()
}

/// Returns a figure on which calibration failed, with the larger of the figures of hollow and real routers.
pub fn uncalibrated_figure((figures, bounds): (&BTreeMap<String, f64>, &[Bound]), name: &str) -> Option<f64> {
    if figure_of_run((figures, bounds), name).is_some() {
        return None;
    }
    let kinds = ["router_", "hollow_", "real_"];
    let part = |name: &str| {
        let of = kinds.iter().filter_map(|kind| figures.get(&name.replacen("router_", kind, 1)));
        of.copied().reduce(f64::max).filter(|_| figures.contains_key(name))
    };
    name.split('+').map(part).sum()
}

/// Returns the smallest size of an axis at which calibration failed on the figure, beyond all sizes at which
/// it held.
pub fn first_uncalibrated_beyond(lines: &[Line], axis: Axis, mode: Mode, name: &str) -> Option<f64> {
    let measured = newest_points(lines, axis, mode, name)?;
    let largest = measured.points.last()?.size;
    let alike = |sizes: &Sizes| {
        let mut all = [sizes.clone(), measured.fixed_sizes.clone()];
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
    let runs = lines.iter().filter_map(run_parts).filter(|(fault, sizes, _)| fault.is_none() && alike(sizes));
    let failed = runs.filter(|(.., figures)| uncalibrated_figure(*figures, name).is_some());
    failed.map(|(_, sizes, _)| size_on_axis(sizes, axis)).filter(|size| *size > largest).reduce(f64::min)
}

/// Returns the size of a run on an axis.
pub fn size_on_axis(sizes: &Sizes, axis: Axis) -> f64 {
    match axis {
        Axis::Routers => sizes.routers as f64,
        Axis::Databases => sizes.databases as f64,
        Axis::Connections => sizes.connections as f64,
        Axis::Statements => sizes.statements,
        Axis::Changes => sizes.changes,
    }
}

/// Returns the number before a word, as in `7,900 routers`.
pub fn number_before(text: &str, word: &str) -> Option<f64> {
    let at = text.find(&format!(" {word}"))?;
    parse_number(text[..at].rsplit(' ').next()?)
}

/// Returns the size of a row on an axis. For a number of routers per instance, it is the size with the
/// instances of the runs.
pub fn row_size(at: &str, axis: &str) -> Option<f64> {
    let size = at.split(';').next()?;
    match size.split_once(" routers an instance, ").filter(|_| axis == "routers") {
        Some((_, rest)) => parse_number(rest.split(' ').next()?),
        None => number_before(size, axis),
    }
}

/// Returns one line for each row of a page that disagrees with the records in a folder.
pub fn row_errors(page: &str, folder: &Path) -> Vec<String> {
    let rows = parse_rows(page);
    let mut errors = Vec::new();
    if rows.len() < 20 {
        errors.push(format!("{} rows are too few for the page", rows.len()));
    }
    for (place, row) in rows.iter().enumerate() {
        let cell = |name: &str| row.get(name).map_or("", String::as_str);
        let about = format!("{}: {}, {}", cell("role"), cell("what"), cell("at"));
        if let Err(error) = check_row(row, &rows[..place], folder) {
            errors.push(format!("{about}: {error}"));
        }
    }
    errors
}

/// Checks a row. `earlier` are the rows before it.
pub fn check_row(
    row: &BTreeMap<String, String>,
    earlier: &[BTreeMap<String, String>],
    folder: &Path,
) -> Result<(), String> {
    let cell = |name: &str| {
        row.get(name).map(String::as_str).ok_or_else(|| format!("the table has no column {name}"))
    };
    let ensure = |holds: bool, error: &str| if holds { Ok(()) } else { Err(error.to_string()) };
    ensure(!cell("mechanism")?.is_empty(), "the mechanism is missing")?;
    let (basis, shown) = (cell("basis")?, parse_number(cell("figure")?));
    if basis == "not measured" {
        let has_no_figure =
            shown.is_none() && parse_number(cell("ratio")?).is_none() && parse_sum(cell("sum")?).is_none();
        return ensure(has_no_figure, "a row that is not measured has a figure");
    }
    let shown = shown.ok_or("the figure is not a number")?;
    let is_other_period = basis.ends_with(" at another period");
    match parse_number(cell("budget")?) {
        _ if is_other_period => ensure(
            parse_number(cell("ratio")?).is_none(),
            "the ratio is for another probe period than the target has",
        )?,
        Some(budget) if has_other_instances(row) && shown <= budget => {
            ensure(
                cell("ratio")? == "–",
                "the ratio is for another number of instances than there are machines",
            )?;
        }
        Some(budget) if is_below_target(row) => match cell("ratio")?.strip_prefix("at least ") {
            Some(ratio) => {
                let ratio = parse_number(ratio).ok_or("the ratio is not a number")?;
                ensure(
                    is_rounded_up(ratio, shown / budget),
                    "the ratio is not figure divided by budget, rounded up",
                )?;
                ensure(shown > budget, "a figure within its budget below the target has a ratio")?;
            }
            None => {
                ensure(cell("ratio")? == "–", "the ratio is for sizes below the target")?;
                ensure(shown <= budget, "a figure over its budget below the target has no ratio")?;
            }
        },
        Some(budget) => {
            let ratio = parse_number(cell("ratio")?).ok_or("the ratio is not a number")?;
            ensure(
                is_rounded_up(ratio, shown / budget),
                "the ratio is not figure divided by budget, rounded up",
            )?;
        }
        None => ensure(cell("budget")? == "none named", "the budget is neither a number nor \"none named\"")?,
    }
    let basis = basis.strip_suffix(" at another period").unwrap_or(basis);
    let kind = basis.strip_prefix("simulated: ").unwrap_or(basis);
    let is_played = kind.starts_with("simulated") || kind.starts_with("measured");
    if !is_played {
        let expected = parse_sum(cell("sum")?).ok_or("the sum cannot be read")?;
        ensure(is_rounded_up(shown, expected), "the figure is not its sum rounded up")?;
    }
    if kind == "computed" && !cell("record")?.contains(".jsonl") {
        let source = cell("record")?.split(',').next().unwrap_or_default();
        return ensure(
            repository().join(source).is_file(),
            "the source file that it is computed from does not exist",
        );
    }
    let (file, name, mode, place) = parse_citation(cell("record")?).ok_or("the record is not named")?;
    let lines = read(&folder.join(file)).map_err(|error| format!("the record cannot be read: {error}"))?;
    let lines = lines_of_program(lines, cited_program(cell("record")?));
    let runs = || lines.iter().filter_map(run_parts).filter(|(_, sizes, _)| sizes.mode == mode);
    let runs_with_figure =
        || runs().filter_map(|(fault, sizes, figures)| Some((fault, sizes, figure_of_run(figures, name)?)));
    ensure(runs_with_figure().next().is_some(), "the record has no such figure")?;
    let by_processes = runs_with_figure().all(|(_, sizes, _)| has_processes(sizes));
    ensure(by_processes != basis.starts_with("simulated"), "the basis confuses measured and simulated runs")?;
    // The basis of a figure that depends on the probe period says if the runs had another period than the
    // target.
    let is_independent = |name: &str| {
        name.ends_with("_memory_bytes")
            || name.ends_with("_state_bytes")
            || name.starts_with("real_")
            || name.starts_with("connection_")
            || name.starts_with("discovery_")
            || (mode == Mode::Feed
                && (name.starts_with("router_bytes") || name.starts_with("router_messages")))
    };
    if !name.split('+').all(is_independent) {
        // A row of both axes does not show the period; the rows of either axis before it do.
        let at = if kind == "computed" { earlier.last().map_or("", |row| &row["at"]) } else { cell("at")? };
        let period = at.split("period ").nth(1).and_then(|rest| parse_number(rest.split(' ').next()?));
        ensure(
            is_other_period == period.is_some_and(|period| period != 0.15),
            "the basis does not agree with the probe period of the runs",
        )?;
    }
    if kind == "computed" {
        return check_combined_row(row, earlier, &lines, mode, name);
    }
    let Some(axis) = place.strip_prefix("over ") else {
        let (routers, databases) =
            (number_before(cell("at")?, "routers"), number_before(cell("at")?, "databases"));
        let is_at_size = |sizes: &Sizes| {
            Some(sizes.routers as f64) == routers && Some(sizes.databases as f64) == databases
        };
        // Runs of a cut that also separates control instances are not mixed with runs of one that does not.
        let is_partial = cell("at")?.contains("; the instances not cut");
        let has_same_cut = |figures: &BTreeMap<String, f64>| {
            place != "cut" || file != MEASURED_RECORD || figures.contains_key("agree_max_s") != is_partial
        };
        let there = runs().filter(|(fault, sizes, _)| *fault == Some(place) && is_at_size(sizes));
        let most = there.filter(|(.., (figures, _))| has_same_cut(figures));
        let most = most.filter_map(|(.., figures)| figure_of_run(figures, name)).reduce(f64::max);
        let most = most.ok_or("the record has no run with that fault at that size")?;
        let counts = [
            ("follow", "follow_missing"),
            ("agree_max_s", "agree_missing"),
            ("change_known", "change_unknown"),
        ];
        let count = counts.iter().find(|(begin, _)| name.trim_start_matches("real_").starts_with(begin));
        let mut there = runs().filter(|(fault, sizes, _)| *fault == Some(place) && is_at_size(sizes));
        let some_unfinished = there.any(|(.., (figures, _))| {
            has_same_cut(figures) && count.is_some_and(|(_, count)| figures.get(*count) > Some(&0.0))
        });
        ensure(!some_unfinished, "the figure is a time until all have reached a state, and some had not")?;
        let whole = routers >= Some(TARGET_ROUTERS) && databases >= Some(TARGET_DATABASES);
        ensure(
            is_played && whole != kind.ends_with(" below the target"),
            "the basis does not say whether the size is below the target",
        )?;
        return ensure(is_rounded_up(shown, most), "the figure is not the measured one");
    };
    let axis = Axis::ALL.into_iter().find(|known| known.name() == axis).ok_or("the axis is unknown")?;
    if kind == "measured" || kind == "simulated" {
        let at = row_size(cell("at")?, axis.name()).ok_or("the size cannot be read")?;
        let is_at_size =
            |(fault, sizes): (Option<&str>, &Sizes)| fault.is_none() && size_on_axis(sizes, axis) == at;
        let measured = runs_with_figure().filter(|(fault, sizes, _)| is_at_size((*fault, sizes)));
        let mut measured: Vec<f64> = measured.map(|(.., value)| value).collect();
        ensure(!measured.is_empty(), "the record has no run at that size")?;
        // Runs that failed calibration at that size may raise the figure of the others.
        let failed = runs().filter(|(fault, sizes, _)| is_at_size((*fault, sizes)));
        measured.extend(failed.filter_map(|(.., figures)| uncalibrated_figure(figures, name)));
        return ensure(
            measured.iter().any(|value| is_rounded_up(shown, *value)),
            "the figure is not the measured one",
        );
    }
    ensure(kind == "predicted", "the basis is unknown")?;
    let fit = fit_newest(&lines, axis, mode, name).map_err(|error| error.to_string())?;
    let near = |one: f64, other: f64| (one - other).abs() <= 1e-9 * one.abs().max(1e-9);
    let is_written = lines.iter().any(|line| {
        matches!(line, Line::Fit(other) if (other.axis, other.mode, &other.figure) == (axis, mode, &fit.figure)
            && near(other.slope, fit.slope) && near(other.offset, fit.offset) && near(other.relative_error, fit.relative_error))
    });
    ensure(is_written, "the record lacks the fit of its runs")?;
    ensure(
        fit.relative_error <= MAX_RELATIVE_ERROR,
        "the prediction uses a form that the largest size refutes",
    )?;
    let failed = first_uncalibrated_beyond(&lines, axis, mode, name);
    ensure(failed.is_none(), "it is predicted beyond a size at which calibration failed")?;
    let error_of_prediction = cell("error")?.split_once(" by ").and_then(|(_, rest)| rest.split_once(" at "));
    let error_of_prediction =
        error_of_prediction.and_then(|(by, _)| parse_number(by)).ok_or("the prediction has no error")?;
    ensure(
        error_of_prediction >= fit.relative_error - 1e-8 && error_of_prediction <= fit.relative_error + 0.001,
        "the error differs from that of the fit",
    )?;
    let terms: Vec<&str> = cell("sum")?.split(" + ").collect();
    let at = row_size(cell("at")?, axis.name()).ok_or("the size cannot be read")?;
    let measured =
        newest_points(&lines, axis, mode, name).ok_or("the record has no points for the figure")?.points;
    let most = measured.iter().filter(|point| point.size <= at).map(|point| point.mean).reduce(f64::max);
    let most = most.unwrap_or_else(|| measured.iter().map(|point| point.mean).fold(0.0, f64::max));
    ensure(
        shown >= most * (1.0 - 1e-9),
        "the prediction is less than a measurement at a size that is not larger",
    )?;
    if cell("error")?.ends_with("; held at the most played") {
        return ensure(
            terms.len() == 1 && is_rounded_up(shown, most),
            "the figure is not the largest measurement, at which it is held",
        );
    }
    // An offset that is negligible beside the figure is shown as zero.
    let is_near = |text: Option<f64>, value: f64, negligible: f64| {
        text.is_some_and(|text| {
            text >= value - value.abs() * 1e-9 - negligible
                && text <= value + value.abs() * 1.1e-5 + negligible
        })
    };
    ensure(is_near(parse_number(terms[0]), fit.offset, shown * 1e-9), "the offset differs from the record")?;
    let slope = terms.get(1).and_then(|term| term.split_once(" × "));
    let form = match slope {
        None => Form::Constant,
        Some((_, by)) if by.starts_with("ln ") => Form::Log,
        Some((_, by)) if by.ends_with('²') => Form::Square,
        Some((_, by)) if by.contains(" × ") => Form::Product,
        Some(_) => Form::Linear,
    };
    ensure(form == fit.form, "the form differs from the record")?;
    let slope = slope.map_or(Some(0.0), |(slope, _)| parse_number(slope));
    ensure(is_near(slope, fit.slope, 0.0), "the slope differs from the record")
}

/// Checks a row of both axes. Its sum consists of the two rows before it, the part that grows with both axes,
/// and the figure at the sizes where both were held.
pub fn check_combined_row(
    row: &BTreeMap<String, String>,
    earlier: &[BTreeMap<String, String>],
    lines: &[Line],
    mode: Mode,
    name: &str,
) -> Result<(), String> {
    let [.., one, other] = earlier else { return Err("there are not two rows before it".to_string()) };
    let parts: Vec<&str> = row["sum"].split(['+', '−']).map(str::trim).collect();
    let [left, right, both, base] = parts[..] else {
        return Err("the sum does not have four parts".to_string());
    };
    let is_of = |other: &BTreeMap<String, String>, figure: &str| {
        other["role"] == row["role"] && other["what"] == row["what"] && other["figure"] == figure
    };
    if !is_of(one, left) || !is_of(other, right) {
        return Err("it is not computed from the two rows before it".to_string());
    }
    // Runs that lie on neither axis limit the error of the combination.
    let held = |row: &BTreeMap<String, String>, axis| number_before(row["at"].split(';').nth(1)?, axis);
    let (Some(held_routers), Some(held_databases)) = (held(other, "routers"), held(one, "databases")) else {
        return Err("the row does not say which sizes were held".to_string());
    };
    let measured = newest_points(lines, Axis::Routers, mode, name)
        .ok_or("the record has no points for the figure")?
        .fixed_sizes;
    let off_axis_places = |line: &Line| {
        let (None, sizes, figures) = run_parts(line)? else { return None };
        let place = (sizes.routers as f64, sizes.databases as f64);
        let is_off = place.0 != held_routers && place.1 != held_databases && sizes.mode == mode;
        let is_alike = (sizes.control, sizes.period_s) == (measured.control, measured.period_s);
        (is_off && is_alike).then_some(place).filter(|_| figure_of_run(figures, name).is_some())
    };
    let off_axis_places: Vec<Place> = lines.iter().filter_map(off_axis_places).collect();
    let error = &row["error"];
    let named = (number_before(error, "routers"), number_before(error, "databases"));
    if off_axis_places.is_empty() != (error == "–") {
        return Err("the error is not that of the runs off both axes".to_string());
    }
    let largest =
        off_axis_places.iter().copied().max_by(|one, other| (one.0 * one.1).total_cmp(&(other.0 * other.1)));
    if largest.is_some_and(|place| (Some(place.0), Some(place.1)) != named) {
        return Err("the error is not that of the largest run off both axes".to_string());
    }
    let by = error.split_once(" by ").and_then(|(_, rest)| parse_number(rest.split(' ').next()?));
    if (error.starts_with("under") || error.contains("; both at ")) && by > Some(MAX_RELATIVE_ERROR) {
        return Err("it uses a combination of axes that the runs refute".to_string());
    }
    let error_text = |error: quillpoint_testbed::fit::FitError| error.to_string();
    let routers = fit_newest(lines, Axis::Routers, mode, name).map_err(error_text)?;
    let databases = fit_newest(lines, Axis::Databases, mode, name).map_err(error_text)?;
    let at = |fit: &Fit, size: f64| fit.offset + fit.slope * regressor(fit.form, size);
    let base_figure = at(&routers, held_routers).min(at(&databases, held_databases));
    let [Some(left), Some(right), Some(both), Some(base)] = [left, right, both, base].map(parse_number)
    else {
        return Err("a part of the sum is not a number".to_string());
    };
    if base > base_figure * 1.000_02 || base < base_figure * 0.9999 {
        return Err("the base is not the figure at the sizes where both axes were held".to_string());
    }
    let wanted = |row: &BTreeMap<String, String>, axis| row_size(&row["at"], axis);
    let (Some(to_routers), Some(to_databases)) = (wanted(one, "routers"), wanted(other, "databases")) else {
        return Err("the sizes cannot be read".to_string());
    };
    let growth = |fit: &Fit, from: f64, to: f64| match fit.form {
        Form::Constant => 0.0,
        _ if fit.slope <= 0.0 => 0.0,
        shape => regressor(shape, to) / regressor(shape, from) - 1.0,
    };
    let most = |left: f64, right: f64, base: f64, to: Place| {
        let by_databases = (left - base).max(0.0) * growth(&databases, held_databases, to.1);
        let by_routers = (right - base).max(0.0) * growth(&routers, held_routers, to.0);
        by_databases.min(by_routers).max(0.0)
    };
    // The share of the largest part that the runs off both axes show. A single such run shows no share.
    let mut share = 1.0;
    if let Some((_, part)) = error.split_once("; both at ") {
        share =
            parse_number(part.split(' ').next().unwrap_or_default()).ok_or("the share is not a number")?;
        let there = |axis: Axis, fit: &Fit, size: f64| {
            let measured = newest_points(lines, axis, mode, name).map_or(Vec::new(), |points| points.points);
            let most = measured
                .iter()
                .filter(|point| point.size <= size)
                .map(|point| point.mean)
                .fold(0.0, f64::max);
            at(fit, size).max(most)
        };
        for to in &off_axis_places {
            let (left, right) =
                (there(Axis::Routers, &routers, to.0), there(Axis::Databases, &databases, to.1));
            let runs = lines.iter().filter_map(run_parts).filter(|(fault, sizes, _)| {
                fault.is_none() && sizes.mode == mode && (sizes.routers as f64, sizes.databases as f64) == *to
            });
            let runs: Vec<f64> = runs.filter_map(|(.., figures)| figure_of_run(figures, name)).collect();
            let value = runs.iter().sum::<f64>() / runs.len() as f64;
            let most = most(left, right, base, *to);
            if most > 0.0 && value > (left + right - base + share * most) * 1.000_1 {
                return Err("a run off both axes shows a larger part that grows with both".to_string());
            }
        }
    }
    let expected = share * most(left, right, base, (to_routers, to_databases));
    if both < expected * 0.999_999 || both > expected * 1.000_1 + 1e-9 {
        return Err(format!("the part that grows with both should be {expected}"));
    }
    Ok(())
}

/// Numbers of routers and databases.
pub type Place = (f64, f64);

/// Returns the value by which the slope of a form is multiplied.
pub fn regressor(form: Form, size: f64) -> f64 {
    match form {
        Form::Constant => 0.0,
        Form::Log => size.ln(),
        Form::Linear | Form::Product => size,
        Form::Square => size * size,
    }
}

/// Returns whether the other axis of a row was held below the target, or the runs of its fault were smaller
/// than the target.
pub fn is_below_target(row: &BTreeMap<String, String>) -> bool {
    let Some((.., place)) = parse_citation(&row["record"]) else { return false };
    if !place.starts_with("over ") {
        let at = &row["at"];
        return number_before(at, "routers") < Some(TARGET_ROUTERS)
            || number_before(at, "databases") < Some(TARGET_DATABASES);
    }
    let Some(held) = row["at"].split(';').nth(1).filter(|held| held.ends_with(" held")) else { return false };
    let routers = if row["record"].contains(", shared, ") { 256.0 } else { TARGET_ROUTERS };
    number_before(held, "routers").is_some_and(|held| held < routers)
        || number_before(held, "databases").is_some_and(|held| held < TARGET_DATABASES)
}

/// Returns the number of control instances in the runs of a row.
pub fn instance_count(row: &BTreeMap<String, String>) -> Option<f64> {
    let at = &row["at"];
    let of_share = at
        .split_once(" routers an instance, ")
        .and_then(|(_, rest)| parse_number(rest.split_once(" before ")?.1.split([' ', ';']).next()?));
    of_share.or_else(|| number_before(at, "instances"))
}

/// Returns whether the runs of a row had another number of control instances than there are machines in its
/// case.
pub fn has_other_instances(row: &BTreeMap<String, String>) -> bool {
    let machines = number_before(&row["what"], "machines").unwrap_or(8.0);
    row["role"] == "control machine"
        && row["record"].contains(", over ")
        && !row["record"].contains("over changes")
        && instance_count(row).is_some_and(|instances| instances != machines)
}
