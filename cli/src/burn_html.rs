//! Renders the burn report as an HTML page without references to other files.

use mimosabay_operator::burn::{
    Alert, BurnReport, FAST_BURN_RATE, Hour, MEDIUM_BURN_RATE, ObjectiveReport, SLOW_BURN_RATE,
};

use crate::burn::{alert_name, describe_indicator, or_any, percent};
use crate::time;

const PLOT_WIDTH: f64 = 720.0;
const PLOT_HEIGHT: f64 = 120.0;
/// Width reserved for the labels at the left of a plot.
const MARGIN: f64 = 40.0;

const HEAD: &str = "<!DOCTYPE html>
<html lang=\"en\">
<head>
<meta charset=\"utf-8\">
<title>mimosabay: burn report</title>
<style>
body { font: 15px/1.4 sans-serif; margin: 2em auto; max-width: 60em; color: #222; }
table { border-collapse: collapse; }
td, th { padding: 0.2em 0.8em; text-align: left; border-bottom: 1px solid #ccc; }
td.number { text-align: right; font-variant-numeric: tabular-nums; }
.page { background: #fbd5d5; } .ticket { background: #fdf0cc; }
svg { background: #fafafa; border: 1px solid #ddd; }
svg text { font: 11px sans-serif; fill: #555; }
</style>
</head>
<body>
";

/// Renders the complete page.
pub(crate) fn render(report: &BurnReport) -> String {
    let mut page = String::from(HEAD);
    let now = time::format_utc(report.now_ms);
    let head = format!("<h1>Burn report</h1>\n<p>{now}. {}</p>\n", period(report));
    page.push_str(&head);
    page.push_str(&summary(report));
    for line in &report.objectives {
        page.push_str(&section(line));
    }
    page.push_str("</body>\n</html>\n");
    page
}

fn period(report: &BurnReport) -> String {
    match report.sunset_ms {
        Some(sunset_ms) => {
            format!(
                "Error budgets reach to the sunset date, {}.",
                time::format_utc(sunset_ms)
            )
        }
        None => "Error budgets are those of the last 30 days.".into(),
    }
}

fn summary(report: &BurnReport) -> String {
    if report.objectives.is_empty() {
        return "<p>No objective, or no request counted for one yet.</p>\n".into();
    }
    let mut table = String::from(
        "<table>\n<tr><th>Objective</th><th>Organisation</th><th>Route</th><th>Target</th>\
         <th>5 min</th><th>1 h</th><th>6 h</th><th>3 days</th><th>Budget left</th>\
         <th>Spent at</th><th>Alert</th></tr>\n",
    );
    for line in &report.objectives {
        table.push_str(&row(line));
    }
    table.push_str("</table>\n");
    table
}

fn row(line: &ObjectiveReport) -> String {
    let class = match line.alert {
        Alert::None => "none",
        Alert::Ticket => "ticket",
        Alert::Page => "page",
    };
    let rates: Vec<_> = line
        .windows
        .iter()
        .map(|window| format!("<td class=\"number\">{:.2}</td>", window.burn_rate))
        .collect();
    let rates = rates.concat();
    let spent_at = line.budget.spent_at_ms.map_or("-".into(), time::format_utc);
    format!(
        "<tr class=\"{class}\"><td>{}</td><td>{}</td><td>{}</td><td>{}, {}</td>{rates}\
         <td class=\"number\">{}</td><td>{spent_at}</td><td>{}</td></tr>\n",
        escape(&line.objective),
        escape(or_any(&line.organisation, "(open)")),
        escape(or_any(&line.route, "(all)")),
        escape(&describe_indicator(&line.indicator)),
        percent(line.target),
        percent(line.budget.left_share),
        alert_name(line.alert),
    )
}

fn section(line: &ObjectiveReport) -> String {
    let budget = &line.budget;
    format!(
        "<h2>{}: {}</h2>\n<p>{:.0} of {:.0} requests missed the objective since {}; {:.0} are \
         allowed until {}.</p>\n{}",
        escape(&line.objective),
        escape(or_any(&line.organisation, "(open)")),
        budget.tally.bad,
        budget.tally.total,
        time::format_utc(budget.start_ms),
        budget.allowed_bad,
        time::format_utc(budget.end_ms),
        plot(&line.hours),
    )
}

/// Renders the burn rate of each hour as a bar, with a line at each alert threshold.
fn plot(hours: &[Hour]) -> String {
    let largest = hours.iter().map(|hour| hour.burn_rate).fold(0.0, f64::max);
    let scale = if largest > MEDIUM_BURN_RATE {
        largest.max(FAST_BURN_RATE) * 1.1
    } else {
        MEDIUM_BURN_RATE * 1.1
    };
    let mut svg = format!(
        "<svg width=\"{PLOT_WIDTH}\" height=\"{PLOT_HEIGHT}\" role=\"img\" \
         aria-label=\"burn rate by hour over three days\">\n"
    );
    for threshold in [SLOW_BURN_RATE, MEDIUM_BURN_RATE, FAST_BURN_RATE] {
        if threshold <= scale {
            svg.push_str(&threshold_line(threshold, scale));
        }
    }
    let width = (PLOT_WIDTH - MARGIN) / hours.len().max(1) as f64;
    for (place, hour) in hours.iter().enumerate() {
        svg.push_str(&bar(hour, MARGIN + width * place as f64, width, scale));
    }
    svg.push_str("</svg>\n");
    svg
}

fn threshold_line(threshold: f64, scale: f64) -> String {
    let y = height_of(threshold, scale);
    format!(
        "<line x1=\"{MARGIN}\" x2=\"{PLOT_WIDTH}\" y1=\"{y:.1}\" y2=\"{y:.1}\" stroke=\"#c66\" \
         stroke-dasharray=\"4 3\"/><text x=\"4\" y=\"{y:.1}\">{threshold}</text>\n"
    )
}

fn bar(hour: &Hour, x: f64, width: f64, scale: f64) -> String {
    let y = height_of(hour.burn_rate, scale);
    let (height, width) = (PLOT_HEIGHT - y, (width - 1.0).max(0.5));
    let (start, rate, total) = (
        time::format_utc(hour.start_ms),
        hour.burn_rate,
        hour.tally.total,
    );
    format!(
        "<rect x=\"{x:.1}\" y=\"{y:.1}\" width=\"{width:.1}\" height=\"{height:.1}\" \
         fill=\"#47a\"><title>{start}: burn rate {rate:.2}, {total:.0} requests</title></rect>\n"
    )
}

fn height_of(rate: f64, scale: f64) -> f64 {
    PLOT_HEIGHT * (1.0 - (rate / scale).min(1.0))
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
