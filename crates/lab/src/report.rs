//! Reports as self-contained HTML pages: figures, and plots in which the times of faults are shaded.

use crate::experiment::Pair;
use crate::measure::Outcome;
use crate::scenario::Scenario;
use minijinja::{AutoEscape, Environment, Value, context};
use plotters::prelude::*;

const SIZE: (u32, u32) = (920, 240);
const COLOURS: [RGBColor; 4] =
    [RGBColor(31, 90, 166), RGBColor(200, 80, 30), RGBColor(40, 130, 70), RGBColor(120, 60, 140)];
/// Label and colour of each state of a front's view of the primary, by the codes in `StateSample::primaries`.
const PRIMARY_VIEWS: [(&str, RGBColor); 4] = [
    ("agreed", RGBColor(205, 225, 205)),
    ("no primary", RGBColor(235, 190, 90)),
    ("front knows of none", RGBColor(130, 160, 210)),
    ("front takes another for it", RGBColor(200, 60, 60)),
];

const PAGE: &str = r#"<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ title }}</title>
<meta name="viewport" content="width=device-width">
<style>
body{font:15px/1.45 system-ui,sans-serif;max-width:60rem;margin:2rem auto;padding:0 1rem;color:#222}
h1{font-size:1.5rem;overflow-wrap:anywhere} h2{font-size:1.1rem;margin-top:2rem} table{border-collapse:collapse;width:100%}
td,th{padding:.25rem .6rem;border-bottom:1px solid #ddd;text-align:right} td:first-child,th:first-child{text-align:left;min-width:6rem;overflow-wrap:anywhere} td+td{white-space:nowrap}
.bad{color:#a11;font-weight:600} .good{color:#161} svg{max-width:100%;height:auto} .note{color:#666}
.key span{display:inline-block;margin-right:1rem} .key i{display:inline-block;width:.8rem;height:.8rem;margin-right:.3rem}
</style></head><body>
<h1>{{ title }}</h1>
<p>{{ about }}</p>
{% if runs %}
<p class="note">{% if simulated %}Simulated figures{% else %}Figures of a run on sockets{% endif %}, seed {{ seed }}.</p>
<table><tr><th>by</th><th>served</th><th>worst 5 s</th><th>recovered</th><th>p50</th><th>p99</th><th>wishes</th><th>declined</th><th>unknown</th><th>unanswered</th><th>rules</th></tr>
{% for run in runs %}<tr><td>{{ run.by }}</td><td>{{ run.served }}</td><td>{{ run.worst }}</td><td>{{ run.recovered }}</td><td>{{ run.p50 }} ms</td><td>{{ run.p99 }} ms</td><td>{{ run.wishes }}</td><td>{{ run.declined }}</td><td>{{ run.unknown }}</td><td>{{ run.unanswered }}</td><td class="{{ 'good' if run.kept else 'bad' }}">{{ 'kept' if run.kept else run.broken }}</td></tr>
{% endfor %}</table>
{% for miss in misses %}<p class="bad">{{ miss }}</p>{% endfor %}
{% for word in words %}<p class="note">{{ word }}</p>{% endfor %}
{% endif %}
{% if troubles %}<h2>What befell</h2><table><tr><th>what</th><th>from</th><th>to</th></tr>
{% for t in troubles %}<tr><td>{{ t.what }}</td><td>{{ t.from }} s</td><td>{{ t.to }} s</td></tr>{% endfor %}</table>{% endif %}
{% for plot in plots %}<h2>{{ plot.title }}</h2><p class="key">{% for k in plot.key %}<span><i style="background:{{ k.colour }}"></i>{{ k.name }}</span>{% endfor %}</p>
{{ plot.svg|safe }}
{% endfor %}
{% if pairs %}<h2>A beside B</h2><p class="note">Simulated figures, {{ seeds }} seeds a scenario; 95% intervals by bootstrap. A: {{ a }}, B: {{ b }}.</p>
<table><tr><th>scenario</th><th>A</th><th>B</th><th>B less A</th><th>interval</th><th>p99 A, B</th><th>rules broken A, B</th><th>verdict</th></tr>
{% for p in pairs %}<tr><td>{{ p.scenario }}</td><td>{{ p.a }}</td><td>{{ p.b }}</td><td>{{ p.d }}</td><td>{{ p.low }} to {{ p.high }}</td><td>{{ p.pa }}, {{ p.pb }} ms</td><td>{{ p.ra }}, {{ p.rb }}</td><td>{{ p.verdict }}</td></tr>
{% endfor %}</table>{% endif %}
</body></html>
"#;

fn css(colour: RGBColor) -> String {
    format!("rgb({},{},{})", colour.0, colour.1, colour.2)
}

fn plot_error(why: impl std::fmt::Display) -> String {
    format!("cannot draw the plot: {why}")
}

/// Line plot over the seconds of a run, with the times of faults shaded.
fn lines(scenario: &Scenario, series: &[(String, Vec<(f64, f64)>)]) -> Result<String, String> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        root.fill(&WHITE).map_err(plot_error)?;
        let most = series.iter().flat_map(|s| &s.1).map(|p| p.1).fold(0.0, f64::max).max(1e-3);
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..scenario.lasts_s, 0.0..most * 1.08)
            .map_err(plot_error)?;
        let shade = scenario.troubles.iter().map(|t| {
            let corners = [(t.at_s, 0.0), (t.at_s + t.lasts_s, most * 1.08)];
            Rectangle::new(corners, RGBColor(200, 120, 120).mix(0.13).filled())
        });
        chart.draw_series(shade).map_err(plot_error)?;
        chart.configure_mesh().x_desc("seconds").light_line_style(WHITE).draw().map_err(plot_error)?;
        for ((_, points), colour) in series.iter().zip(COLOURS.iter().cycle()) {
            chart
                .draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))
                .map_err(plot_error)?;
        }
        root.present().map_err(plot_error)?;
    }
    Ok(svg)
}

/// Line plot over the number of fronts, with both axes logarithmic.
fn by_size(unit: &str, series: &[(String, Vec<(f64, f64)>)]) -> Result<String, String> {
    let points = || series.iter().flat_map(|s| &s.1).copied().filter(|p| p.1 > 0.0);
    let fold =
        |of: fn(&(f64, f64)) -> f64, by: fn(f64, f64) -> f64, from| points().map(|p| of(&p)).fold(from, by);
    let (x0, x1) = (fold(|p| p.0, f64::min, f64::MAX), fold(|p| p.0, f64::max, 1.0));
    let (y0, y1) = (fold(|p| p.1, f64::min, f64::MAX), fold(|p| p.1, f64::max, 1.0));
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        root.fill(&WHITE).map_err(plot_error)?;
        let (x, y) = ((x0 * 0.9..x1 * 1.1).log_scale(), (y0 * 0.7..y1 * 1.4).log_scale());
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(60)
            .build_cartesian_2d(x, y)
            .map_err(plot_error)?;
        chart
            .configure_mesh()
            .x_desc("fronts")
            .y_desc(unit)
            .light_line_style(WHITE)
            .draw()
            .map_err(plot_error)?;
        for ((_, points), colour) in series.iter().zip(COLOURS.iter().cycle()) {
            let there: Vec<(f64, f64)> = points.iter().copied().filter(|p| p.1 > 0.0).collect();
            let marks = there.iter().map(|&at| Circle::new(at, 3, colour.filled()));
            chart.draw_series(marks).map_err(plot_error)?;
            chart.draw_series(LineSeries::new(there, colour.stroke_width(2))).map_err(plot_error)?;
        }
        root.present().map_err(plot_error)?;
    }
    Ok(svg)
}

/// Page on the cost and behaviour of the membership protocol for several numbers of fronts.
pub fn of_sizes(title: &str, rows: &[crate::circle::Results]) -> Result<String, String> {
    let series = |name: &str, of: fn(&crate::circle::Results) -> f64| {
        (name.to_owned(), rows.iter().map(|row| (row.fronts as f64, of(row))).collect::<Vec<_>>())
    };
    let plots = [
        (
            "Until a front that ended was taken for dead",
            "ms",
            vec![
                series("median", |row| row.detect_p50_ms),
                series("99th percentile", |row| row.detect_p99_ms),
            ],
        ),
        (
            "Cost of a front in calm times",
            "a second",
            vec![series("datagrams", |row| row.datagrams_per_s), series("bytes", |row| row.bytes_per_s)],
        ),
        (
            "Until all agreed",
            "s",
            vec![
                series("after the start", |row| row.joined_s.unwrap_or(0.0)),
                series("after the last plight", |row| row.settle_s.unwrap_or(0.0)),
            ],
        ),
    ];
    let plots = plots.into_iter().map(|(title, unit, series)| {
        let key =
            series.iter().zip(COLOURS).map(|((name, _), colour)| context! { name, colour => css(colour) });
        let key = key.collect::<Vec<Value>>();
        Ok(context! { title, key, svg => by_size(unit, &series)? })
    });
    let plots = plots.collect::<Result<Vec<Value>, String>>()?;
    let mut pages = Environment::new();
    pages.set_auto_escape_callback(|_| AutoEscape::Html);
    pages.add_template("page", PAGE).map_err(|e| e.to_string())?;
    let page = pages.get_template("page").map_err(|e| e.to_string())?;
    let about = "Simulated figures: the program's own core for each front, in simulated time.";
    page.render(context! { title, about, plots }).map_err(|e| format!("cannot render the page: {e:#}"))
}

/// Axes of a plot with one row per group or member.
fn bands(scenario: &Scenario, rows: usize, name: &str) -> Result<String, String> {
    let mut svg = String::new();
    {
        let height = (rows as u32 * 12).clamp(60, 620) + 60;
        let root = SVGBackend::with_string(&mut svg, (SIZE.0, height)).into_drawing_area();
        root.fill(&WHITE).map_err(plot_error)?;
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..scenario.lasts_s, 0.0..rows as f64)
            .map_err(plot_error)?;
        chart.configure_mesh().disable_mesh().x_desc("seconds").y_desc(name).draw().map_err(plot_error)?;
        root.present().map_err(plot_error)?;
    }
    Ok(svg)
}

/// Merges adjacent cells of the same colour in a row.
fn merged(mut cells: Vec<(f64, usize, RGBColor)>, step: f64) -> Vec<(f64, f64, usize, RGBColor)> {
    cells.sort_by(|a, b| a.1.cmp(&b.1).then(a.0.total_cmp(&b.0)));
    let mut merged: Vec<(f64, f64, usize, RGBColor)> = Vec::new();
    for (at, row, colour) in cells {
        match merged.last_mut() {
            Some(last) if last.2 == row && last.3 == colour && at <= last.1 + step / 2.0 => {
                last.1 = at + step
            }
            _ => merged.push((at, at + step, row, colour)),
        }
    }
    merged
}

fn plot(title: &str, key: &[(String, RGBColor)], svg: String) -> Value {
    let key: Vec<Value> =
        key.iter().map(|(name, colour)| context! { name, colour => css(*colour) }).collect();
    context! { title, key, svg }
}

fn plots(scenario: &Scenario, runs: &[&Outcome]) -> Result<Vec<Value>, String> {
    let mut plots = Vec::new();
    let mut over = |title: &str, value: &dyn Fn(&crate::measure::Second) -> f64| -> Result<(), String> {
        let points = |run: &&Outcome| {
            let points =
                run.seconds.iter().enumerate().map(|(i, s)| (i as f64 + 0.5, value(s))).collect::<Vec<_>>();
            (run.by.clone(), points)
        };
        let series: Vec<_> = runs.iter().map(points).collect();
        let key: Vec<_> = series.iter().zip(COLOURS.iter().cycle()).map(|(s, c)| (s.0.clone(), *c)).collect();
        plots.push(plot(title, &key, lines(scenario, &series)?));
        Ok(())
    };
    over("Value answered in time, of what was asked for", &|s| {
        if s.value > 0.0 { s.got / s.value } else { 1.0 }
    })?;
    over("99th percentile of answers, ms", &|s| s.p99_ms)?;
    over("Declines a second, tries counted one by one", &|s| f64::from(s.declines))?;
    over("Wishes a second", &|s| f64::from(s.wishes))?;
    let Some(run) = runs.iter().find(|run| !run.moments.is_empty()) else { return Ok(plots) };
    let step = run.moments.get(1).map_or(0.25, |m| m.at_s - run.moments[0].at_s);
    let groups = run.moments.iter().map(|m| m.primaries.len()).max().unwrap_or(0);
    let primary_views: Vec<_> = run
        .moments
        .iter()
        .flat_map(|m| {
            m.primaries
                .iter()
                .enumerate()
                .map(|(g, &b)| (m.at_s, g, PRIMARY_VIEWS[usize::from(b) % PRIMARY_VIEWS.len()].1))
        })
        .collect();
    let key: Vec<_> = PRIMARY_VIEWS.iter().map(|(name, colour)| ((*name).to_owned(), *colour)).collect();
    plots.push(plot(
        "Who is primary, by group: the first front beside the truth",
        &key,
        cells(scenario, groups, primary_views, step, "group")?,
    ));
    let members = run.moments.iter().map(|m| m.held.len()).max().unwrap_or(0);
    let most = run.moments.iter().flat_map(|m| &m.held).copied().max().unwrap_or(1).max(1);
    let shade = |held: u16| {
        // Only a few shades, so that similar neighbours merge into one cell.
        let level = (f64::from(held) / f64::from(most) * 6.0).ceil() / 6.0;
        let part = |full: f64| (255.0 - (255.0 - full) * level) as u8;
        RGBColor(part(150.0), part(20.0), part(20.0))
    };
    let held: Vec<_> = run
        .moments
        .iter()
        .flat_map(|m| {
            m.held
                .iter()
                .enumerate()
                .filter(|(_, held)| **held > 0)
                .map(|(i, &held)| (m.at_s, i, shade(held)))
        })
        .collect();
    let key = [("none".to_owned(), shade(0)), (format!("{most} txns"), shade(most))];
    plots.push(plot("Txns held by each member", &key, cells(scenario, members, held, step, "member")?));
    Ok(plots)
}

fn cells(
    scenario: &Scenario,
    rows: usize,
    all: Vec<(f64, usize, RGBColor)>,
    step: f64,
    name: &str,
) -> Result<String, String> {
    let merged = merged(all, step);
    let mut svg = bands(scenario, rows.max(1), name)?;
    let (left, right, top) = (8.0 + 52.0, f64::from(SIZE.0) - 8.0, 8.0);
    let height = f64::from((rows.max(1) as u32 * 12).clamp(60, 620) + 60) - 8.0 - 28.0 - top;
    let x = |s: f64| left + (right - left) * (s / scenario.lasts_s).clamp(0.0, 1.0);
    let tall = height / rows.max(1) as f64;
    let mut drawn = String::new();
    for (from, to, row, colour) in merged {
        let y = top + height - (row as f64 + 0.95) * tall;
        let (w, h) = (x(to) - x(from), tall * 0.9);
        drawn.push_str(&format!(
            "<rect x=\"{:.1}\" y=\"{y:.1}\" width=\"{w:.1}\" height=\"{h:.1}\" fill=\"{}\"/>\n",
            x(from),
            css(colour)
        ));
    }
    if let Some(end) = svg.rfind("</svg>") {
        svg.insert_str(end, &drawn);
    }
    Ok(svg)
}

fn page(context: Value) -> Result<String, String> {
    let mut environment = Environment::new();
    environment.set_auto_escape_callback(|_| AutoEscape::Html);
    environment.render_str(PAGE, context).map_err(|e| format!("cannot render the page: {e:#}"))
}

/// Page on runs of one scenario. The first run determines heading and unmet expectations; the state samples shown are
/// those of the first run that has any.
pub fn of_runs(scenario: &Scenario, runs: &[&Outcome]) -> Result<String, String> {
    let rows: Vec<Value> = runs
        .iter()
        .map(|run| {
            context! {
                by => run.by,
                served => format!("{:.3}", run.served),
                worst => format!("{:.3}", run.worst_window),
                recovered => run.recovered_s.map_or("-".to_owned(), |s| format!("{s:.0} s")),
                p50 => format!("{:.1}", run.p50_ms),
                p99 => format!("{:.1}", run.p99_ms),
                wishes => run.wishes,
                declined => run.declined,
                unknown => run.unknown,
                unanswered => run.unanswered,
                kept => run.rules_kept(),
                broken => format!("{:?}", run.rules_broken),
            }
        })
        .collect();
    let troubles: Vec<Value> = scenario
        .troubles
        .iter()
        .map(|t| {
            let of = t.of.map(|of| format!(" {of:?}")).unwrap_or_default();
            let by = t.by.map(|by| format!(" by {by}")).unwrap_or_default();
            let what = format!("{:?}{} {}{by}", t.what, of.to_lowercase(), t.number);
            context! { what, from => t.at_s, to => t.at_s + t.lasts_s }
        })
        .collect();
    let first = runs.first().ok_or("there is no run to report")?;
    page(context! {
        title => scenario.title,
        about => scenario.about,
        simulated => first.simulated,
        seed => first.seed,
        runs => rows,
        misses => first.unmet_expectations(scenario),
        words => first.broken,
        troubles,
        plots => plots(scenario, runs)?,
    })
}

/// Page on a comparison, with the plots of one scenario overlaid.
pub fn of_pairs(
    pairs: &[Pair],
    a: &str,
    b: &str,
    seeds: usize,
    shown: Option<(&Scenario, &[&Outcome])>,
) -> Result<String, String> {
    let row = |p: &Pair| {
        let three = |x: f64| format!("{x:.3}");
        context! {
            scenario => p.scenario,
            a => three(p.a.mean),
            b => three(p.b.mean),
            d => format!("{:+.3}", p.difference.mean),
            low => format!("{:+.3}", p.difference.low),
            high => format!("{:+.3}", p.difference.high),
            pa => format!("{:.0}", p.p99_ms.0),
            pb => format!("{:.0}", p.p99_ms.1),
            ra => p.rules_broken.0,
            rb => p.rules_broken.1,
            verdict => p.verdict,
        }
    };
    let rows: Vec<Value> = pairs.iter().map(row).collect();
    let plots = shown.map(|(scenario, runs)| plots(scenario, runs)).transpose()?.unwrap_or_default();
    let about =
        shown.map(|(scenario, _)| format!("The plots show {:?}.", scenario.title)).unwrap_or_default();
    page(context! { title => format!("{a} beside {b}"), about, pairs => rows, a, b, seeds, plots })
}
