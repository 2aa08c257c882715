//! `report burn`: burn rates and error budgets of the objectives.

use mimosabay_core::date::Date;
use mimosabay_core::name::Name;
use mimosabay_core::resource::{Indicator, Kind, Objective, Spec};
use mimosabay_operator::burn::{Alert, BurnReport, report};
use mimosabay_operator::slo::{SLO_KIND, SloRecord};
use mimosabay_operator::store;
use serde_json::json;

use crate::burn_html;
use crate::context::Context;
use crate::error::Error;
use crate::output::CommandOutput;
use crate::snapshot::Snapshot;
use crate::table::Table;
use crate::time;

const MS_PER_S: u64 = 1_000;

pub(crate) async fn run(context: &Context) -> Result<CommandOutput, Error> {
    let snapshot = Snapshot::load(&context.platform).await?;
    let objects = context.platform.list(SLO_KIND).await?.objects;
    let records: Result<Vec<SloRecord>, _> = objects
        .iter()
        .map(|object| store::read_record(object, "service-level record"))
        .collect();
    let report = report(
        &objectives(&snapshot),
        &records?,
        sunset_ms(&snapshot),
        time::unix_ms(),
    );
    let mut answer = CommandOutput::new(text(&report), json!(report));
    answer.html = Some(burn_html::render(&report));
    Ok(answer)
}

/// Returns a short description of an indicator.
pub(crate) fn describe_indicator(indicator: &Indicator) -> String {
    match indicator {
        Indicator::Availability => "availability".into(),
        Indicator::NotRefused => "not refused within rate".into(),
        Indicator::FirstToken { limit_ms } => format!("first token in {limit_ms} ms"),
        Indicator::BetweenTokens { limit_ms } => format!("between tokens {limit_ms} ms"),
    }
}

/// Returns the name of an alert as the report prints it.
pub(crate) const fn alert_name(alert: Alert) -> &'static str {
    match alert {
        Alert::None => "-",
        Alert::Ticket => "ticket",
        Alert::Page => "page",
    }
}

/// Formats a fraction as a percentage with two decimals.
pub(crate) fn percent(share: f64) -> String {
    format!("{:.2}%", share * 100.0)
}

/// Returns `name`, or `any` if the name is empty.
pub(crate) fn or_any<'a>(name: &'a Name, any: &'a str) -> &'a str {
    if name.is_empty() { any } else { name }
}

fn objectives(snapshot: &Snapshot) -> Vec<(Name, Objective)> {
    let of_kind = snapshot.table.of_kind(Kind::Objective);
    let objectives = of_kind.filter_map(|(name, spec)| match spec {
        Spec::Objective(objective) => Some((name.clone(), objective.clone())),
        _ => None,
    });
    objectives.collect()
}

fn sunset_ms(snapshot: &Snapshot) -> Option<u64> {
    let date = snapshot.table.site()?.sunset_date.as_ref()?;
    Some(Date::parse(date)?.unix_s() * MS_PER_S)
}

fn text(report: &BurnReport) -> String {
    if report.objectives.is_empty() {
        return "No objective, or no request counted for one yet.\n".into();
    }
    let mut table = Table::new([
        "OBJECTIVE",
        "ORGANISATION",
        "ROUTE",
        "INDICATOR",
        "TARGET",
        "5 MIN",
        "1 H",
        "6 H",
        "3 DAYS",
        "BUDGET LEFT",
        "SPENT AT",
        "ALERT",
    ]);
    for line in &report.objectives {
        let rate = |window: usize| format!("{:.2}", line.windows[window].burn_rate);
        table.row([
            line.objective.to_string(),
            or_any(&line.organisation, "(open)").into(),
            or_any(&line.route, "(all)").into(),
            describe_indicator(&line.indicator),
            percent(line.target),
            rate(0),
            rate(1),
            rate(2),
            rate(3),
            percent(line.budget.left_share),
            line.budget.spent_at_ms.map_or("-".into(), time::format_utc),
            alert_name(line.alert).into(),
        ]);
    }
    let until = match report.sunset_ms {
        Some(sunset_ms) => format!("until the sunset date, {}", time::format_utc(sunset_ms)),
        None => "of the last 30 days, because the site has no sunset date".into(),
    };
    let now = time::format_utc(report.now_ms);
    format!(
        "Burn rates at {now}; at 1.00 the budget lasts exactly as long as its period.\n\
         Budgets are those {until}.\n\n{}",
        table.render()
    )
}
