//! `status`: shows the state of the site.

use std::fmt::Write;

use mimosabay_core::config::ObjectKey;
use mimosabay_core::date::Date;
use mimosabay_core::name::Name;
use mimosabay_core::resource::{BackendServer, Kind, Organisation, ServerKind, Spec};
use mimosabay_operator::StatusRecord;
use mimosabay_platform::{Instance, InstanceState};
use serde_json::{Value, json};

use crate::context::Context;
use crate::conversion::display;
use crate::error::Error;
use crate::output::CommandOutput;
use crate::snapshot::Snapshot;
use crate::table::Table;
use crate::time;

const MS_PER_DAY: u64 = 86_400_000;

/// Summary of where the resources are in force.
#[derive(Debug)]
struct Rollout {
    /// Minimum, over the accepted resources, of the number of instances that have it in force.
    in_force: u32,
    instances: u32,
    resources: usize,
    /// Resources that are not in force on every instance, with the reason.
    exceptions: Vec<(String, String)>,
}

pub(crate) async fn run(context: &Context) -> Result<CommandOutput, Error> {
    let snapshot = Snapshot::load(&context.platform).await?;
    let instances = context.platform.list_instances().await?.instances;
    let rollout = Rollout::of(&snapshot);
    let text = [
        site_text(&snapshot),
        rollout.text(),
        instances_text(&instances),
        servers_text(&snapshot),
        organisations_text(&snapshot),
    ];
    let json = json!({
        "sunset_date": sunset(&snapshot).map(|(date, _)| date),
        "days_left": sunset(&snapshot).map(|(_, days)| days),
        "configuration": rollout.json(),
        "instances": instances,
        "servers": named(servers(&snapshot)),
        "organisations": named(organisations(&snapshot)),
    });
    Ok(CommandOutput::new(text.join("\n"), json))
}

impl Rollout {
    fn of(snapshot: &Snapshot) -> Self {
        let mut rollout = Rollout {
            in_force: u32::MAX,
            instances: 0,
            resources: snapshot.specs.len(),
            exceptions: Vec::new(),
        };
        for (key, object) in &snapshot.specs {
            rollout.add(key, object.version, snapshot.statuses.get(key));
        }
        rollout.in_force = rollout.in_force.min(rollout.instances);
        rollout
    }

    fn add(&mut self, key: &ObjectKey, generation: u64, status: Option<&StatusRecord>) {
        let observed = status.filter(|status| status.observed_generation >= generation);
        let reason = match observed {
            None => "not judged yet".to_owned(),
            Some(status) if !status.accepted => format!("rejected: {}", status.reason),
            Some(status) => {
                self.in_force = self.in_force.min(status.in_force);
                self.instances = self.instances.max(status.instances);
                if status.in_force >= status.instances && status.instances > 0 {
                    return;
                }
                format!("in force on {} of {}", status.in_force, status.instances)
            }
        };
        self.exceptions.push((display(key), reason));
    }

    fn text(&self) -> String {
        let mut text = format!(
            "Configuration: {} resources, in force on {} of {} instances, {} not in force \
             everywhere\n",
            self.resources,
            self.in_force,
            self.instances,
            self.exceptions.len()
        );
        for (resource, reason) in &self.exceptions {
            writeln!(text, "  {resource}: {reason}").expect("writing to a string succeeds");
        }
        text
    }

    fn json(&self) -> Value {
        let exceptions = self.exceptions.iter();
        let exceptions =
            exceptions.map(|(resource, reason)| json!({ "resource": resource, "reason": reason }));
        json!({
            "resources": self.resources,
            "in_force": self.in_force,
            "instances": self.instances,
            "exceptions": exceptions.collect::<Vec<_>>(),
        })
    }
}

/// Returns the site's sunset date and the number of days until then.
fn sunset(snapshot: &Snapshot) -> Option<(Name, u64)> {
    let text = snapshot.table.site()?.sunset_date.clone()?;
    let end_ms = Date::parse(&text)?.unix_s() * 1_000;
    let left_ms = end_ms.saturating_sub(time::unix_ms());
    Some((text, left_ms / MS_PER_DAY))
}

fn site_text(snapshot: &Snapshot) -> String {
    match sunset(snapshot) {
        Some((date, days)) => format!("Sunset: {date}, {days} days left\n"),
        None => "Sunset: no date\n".into(),
    }
}

fn instances_text(instances: &[Instance]) -> String {
    let mut table = Table::new(["INSTANCE", "ZONE", "STATE", "CALLERS", "PEERS"]);
    for instance in instances {
        let state = match instance.state {
            InstanceState::Live => "live",
            InstanceState::Leaving => "leaving",
        };
        table.row([
            instance.name.to_string(),
            instance.zone.to_string(),
            state.into(),
            instance.caller_address.to_string(),
            instance.peer_address.to_string(),
        ]);
    }
    table.render()
}

fn servers_text(snapshot: &Snapshot) -> String {
    let mut table = Table::new(["SERVER", "ZONE", "KIND", "POOL", "FENCING", "STATE"]);
    for (name, server) in servers(snapshot) {
        let kind = match server.kind {
            ServerKind::Engine => format!("engine, {} slots", server.slots),
            ServerKind::Plain => "plain".into(),
        };
        let fencing = match (server.kind, server.checks_fencing) {
            (ServerKind::Plain, _) => "-",
            (ServerKind::Engine, true) => "checked",
            (ServerKind::Engine, false) => "ignored",
        };
        let state = if server.leaving { "leaving" } else { "serving" };
        table.row([
            name.to_string(),
            server.zone.to_string(),
            kind,
            server.pool.to_string(),
            fencing.into(),
            state.into(),
        ]);
    }
    table.render()
}

fn organisations_text(snapshot: &Snapshot) -> String {
    let head = [
        "ORGANISATION",
        "RATE TOKENS/S",
        "BURST TOKENS",
        "WEIGHT",
        "KEYS",
        "WITHDRAWN",
    ];
    let mut table = Table::new(head);
    for (name, organisation) in organisations(snapshot) {
        table.row([
            name.to_string(),
            organisation.rate_tokens_per_s.to_string(),
            organisation.burst_tokens.to_string(),
            organisation.weight.to_string(),
            keys(snapshot, name, false).to_string(),
            keys(snapshot, name, true).to_string(),
        ]);
    }
    table.render()
}

fn keys(snapshot: &Snapshot, organisation: &Name, withdrawn: bool) -> usize {
    let is_counted = |spec: &Spec| {
        matches!(spec, Spec::Key(key)
            if key.organisation == *organisation && key.withdrawn == withdrawn)
    };
    let of_kind = snapshot.table.of_kind(Kind::Key);
    of_kind.filter(|(_, spec)| is_counted(spec)).count()
}

fn servers(snapshot: &Snapshot) -> Vec<(&Name, &BackendServer)> {
    sorted(snapshot, Kind::BackendServer, |spec| match spec {
        Spec::BackendServer(server) => Some(server),
        _ => None,
    })
}

fn organisations(snapshot: &Snapshot) -> Vec<(&Name, &Organisation)> {
    sorted(snapshot, Kind::Organisation, |spec| match spec {
        Spec::Organisation(organisation) => Some(organisation),
        _ => None,
    })
}

fn sorted<'a, T>(
    snapshot: &'a Snapshot,
    kind: Kind,
    pick: impl Fn(&'a Spec) -> Option<&'a T>,
) -> Vec<(&'a Name, &'a T)> {
    let of_kind = snapshot.table.of_kind(kind);
    let mut found: Vec<_> = of_kind
        .filter_map(|(name, spec)| Some((name, pick(spec)?)))
        .collect();
    found.sort_by_key(|(name, _)| *name);
    found
}

fn named<T: serde::Serialize>(resources: Vec<(&Name, &T)>) -> Vec<Value> {
    let entry = |(name, spec): (&Name, &T)| json!({ "name": name, "spec": spec });
    resources.into_iter().map(entry).collect()
}
