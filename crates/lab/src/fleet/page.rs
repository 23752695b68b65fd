//! An HTML page for a history: a lane for each front with its faults, its connectivity, and the peers it declared
//! down.

use super::audit::Figures;
use super::history::Line;
use minijinja::{AutoEscape, Environment, context};
use serde_json::{Value, json};
use std::time::Duration;

const WIDTH: f64 = 900.0;
const LANE_HEIGHT: f64 = 44.0;

const PAGE: &str = r##"<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ title }}</title><meta name="viewport" content="width=device-width">
<style>
body{font:15px/1.45 system-ui,sans-serif;max-width:62rem;margin:2rem auto;padding:0 1rem;color:#222}
h1{font-size:1.5rem;overflow-wrap:anywhere} table{border-collapse:collapse} td,th{padding:.2rem .7rem;border-bottom:1px solid #ddd;text-align:left}
.bad{color:#a11;font-weight:600} svg{max-width:100%;height:auto} .note{color:#666}
.key span{margin-right:1rem} .key i{display:inline-block;width:.8rem;height:.8rem;margin-right:.3rem}
</style></head><body>
<h1>{{ title }}</h1>
<p class="note">{{ fronts }} processes, seed {{ seed }}, {{ figures.txns }} txns, {{ figures.faults }} mishaps of {{ figures.kinds }} kinds.</p>
{% for f in figures.found %}<p class="bad">{{ f.auditor }} at {{ f.at_s|round(2) }} s: {{ f.what }}</p>{% endfor %}
<p class="key"><span><i style="background:#cfe3cf"></i>whole</span><span><i style="background:#ecd9a0"></i>part</span><span><i style="background:#e8b4b4"></i>alone</span><span><i style="background:#777"></i>does not run</span><span><i style="background:#a11"></i>took a front for dead</span></p>
<svg viewBox="0 0 {{ width + 60 }} {{ lane * fronts + 30 }}" role="img">
{% for s in stands %}<rect x="{{ 50 + s.x }}" y="{{ s.lane * lane + 4 }}" width="{{ s.w }}" height="{{ lane - 16 }}" fill="{{ s.colour }}"/>{% endfor %}
{% for m in mishaps %}<rect x="{{ 50 + m.x }}" y="{{ m.lane * lane + 4 }}" width="{{ m.w }}" height="{{ lane - 16 }}" fill="{{ m.colour }}" fill-opacity="{{ m.opacity }}"><title>{{ m.what }}</title></rect>{% endfor %}
{% for d in deaths %}<line x1="{{ 50 + d.x }}" x2="{{ 50 + d.x }}" y1="{{ d.lane * lane + 2 }}" y2="{{ d.lane * lane + lane - 10 }}" stroke="#a11" stroke-width="1.5"><title>front {{ d.whom }} is down</title></line><text x="{{ 51 + d.x }}" y="{{ d.lane * lane + lane - 2 }}" font-size="9" fill="#a11">{{ d.whom }}</text>{% endfor %}
{% for i in range(fronts) %}<text x="2" y="{{ i * lane + 20 }}" font-size="12">front {{ i }}</text>{% endfor %}
{% for t in ticks %}<text x="{{ 46 + t.x }}" y="{{ lane * fronts + 20 }}" font-size="11" fill="#666">{{ t.s }} s</text>{% endfor %}
</svg>
<h2>What befell</h2><table><tr><th>from</th><th>to</th><th>what</th></tr>
{% for m in told %}<tr><td>{{ m.from|round(1) }} s</td><td>{{ m.to|round(1) }} s</td><td>{{ m.what }}</td></tr>{% endfor %}</table>
<h2>Refused datagrams</h2><table>{% for why, count in figures.why_refused|items %}<tr><td>{{ why }}</td><td>{{ count }}</td></tr>{% endfor %}</table>
</body></html>
"##;

/// Renders the page of a history.
pub fn render(lines: &[Line], figures: &Figures) -> Result<String, String> {
    let setting = lines.iter().find(|line| line.what == "setting").ok_or("no setting in the history")?;
    let fronts = setting.number("fronts").unwrap_or(1);
    let end =
        lines.iter().find(|line| line.what == "over").or(lines.last()).map_or(Duration::ZERO, |line| line.at);
    let x = |at: Duration| at.min(end).as_secs_f64() / end.as_secs_f64().max(1e-3) * WIDTH;
    let mut stands: Vec<Value> = Vec::new();
    for front in 0..fronts {
        let mut since: Option<(Duration, &str)> = None;
        let is_own = |line: &&Line| line.what == "status" && line.number("front") == Some(front);
        let statuses: Vec<&Line> = lines.iter().filter(is_own).collect();
        let ends = statuses.last().map_or(Duration::ZERO, |line| line.at);
        let mut close = |from: Duration, to: Duration, standing: &str| {
            let colour = match standing {
                "whole" => "#cfe3cf",
                "part" => "#ecd9a0",
                _ => "#e8b4b4",
            };
            stands.push(json!({ "lane": front, "x": x(from), "w": x(to) - x(from), "colour": colour }));
        };
        for line in statuses {
            let standing = line.more["status"]["standing"].as_str().unwrap_or("alone");
            match since {
                Some((from, previous)) if previous != standing => {
                    close(from, line.at, previous);
                    since = Some((line.at, standing));
                }
                None => since = Some((line.at, standing)),
                Some(_) => {}
            }
        }
        if let Some((from, previous)) = since {
            close(from, ends, previous);
        }
    }
    let (mut mishaps, mut told) = (Vec::new(), Vec::new());
    for line in lines.iter().filter(|line| line.what == "mishap") {
        let number = line.number("number");
        let healed = lines.iter().find(|other| other.what == "healed" && other.number("number") == number);
        let to = healed.map_or(end, |line| line.at);
        let m = &line.more["mishap"];
        let what = describe(m);
        told.push(json!({ "from": line.at.as_secs_f64(), "to": to.as_secs_f64(), "what": what }));
        let process = ["front_killed", "front_ended", "front_stopped", "front_slow"];
        let process_fault = process.contains(&m["what"].as_str().unwrap_or_default());
        let (colour, opacity) = if process_fault { ("#777", 0.75) } else { ("#3050a0", 0.16) };
        let lanes: Vec<u64> =
            match (m["front"].as_u64(), m["side"].as_array().filter(|side| !side.is_empty())) {
                (Some(front), _) => vec![front],
                (None, Some(side)) => side.iter().filter_map(Value::as_u64).collect(),
                (None, None) => (0..fronts).collect(),
            };
        for lane in lanes {
            let (from, w) = (x(line.at), x(to) - x(line.at));
            mishaps.push(json!({ "lane": lane, "x": from, "w": w, "what": what, "colour": colour, "opacity": opacity }));
        }
    }
    let is_peer_down = |line: &&Line| line.what == "log" && line.more["log"]["msg"] == "fellow down";
    let deaths: Vec<Value> = lines
        .iter()
        .filter(is_peer_down)
        .map(|line| json!({ "lane": line.number("front"), "x": x(line.at), "whom": line.more["log"]["front"] }))
        .collect();
    let step = (end.as_secs() / 10).max(1);
    let ticks: Vec<Value> = (0..=end.as_secs())
        .step_by(step as usize)
        .map(|s| json!({ "s": s, "x": x(Duration::from_secs(s)) }))
        .collect();
    let mut pages = Environment::new();
    pages.set_auto_escape_callback(|_| AutoEscape::Html);
    pages.add_template("page", PAGE).map_err(|e| e.to_string())?;
    let page = pages.get_template("page").map_err(|e| e.to_string())?;
    let (title, seed) = (setting.text("title"), setting.number("seed"));
    page.render(context! { title, seed, fronts, width => WIDTH, lane => LANE_HEIGHT, stands, mishaps, told, deaths, ticks, figures })
        .map_err(|e| format!("the page: {e:#}"))
}

/// A short description of a fault.
fn describe(mishap: &Value) -> String {
    let mut words = vec![mishap["what"].as_str().unwrap_or_default().replace('_', " ")];
    for (name, label) in [("front", "front"), ("other", "to"), ("share", "share"), ("by", "by")] {
        if let Some(number) = mishap[name].as_f64() {
            words.push(format!("{label} {}", (number * 100.0).round() / 100.0));
        }
    }
    if let Some(side) = mishap["side"].as_array().filter(|side| !side.is_empty()) {
        words.push(format!("fronts {}", side.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")));
    }
    words.join(" ")
}
