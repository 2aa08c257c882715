//! Test site: the stand-in platform in this process, and the tool as a child process.

use std::process::Stdio;
use std::time::{SystemTime, UNIX_EPOCH};

use mimosabay_core::config::ConfigTable;
use mimosabay_core::resource::Kind;
use mimosabay_http::{Call, Client};
use mimosabay_operator::acceptance::decide;
use mimosabay_operator::slo::{Outcome as RequestOutcome, SLO_KIND};
use mimosabay_operator::store::{self, ACCEPTED_KIND, STATUS_KIND};
use mimosabay_operator::{Acceptance, SloRecorder, StatusRecord};
use mimosabay_platform::{Object, Platform, Precondition};
use mimosabay_standin::platform::{self, Options};
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::process::Command;

const INSTANCES: u32 = 3;

/// A stand-in platform and a client of it.
pub(crate) struct Site {
    address: String,
    pub(crate) platform: Platform,
}

/// Exit code and output of the tool.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) code: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

impl Site {
    pub(crate) async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound port").to_string();
        tokio::spawn(platform::serve(listener, Options::default()));
        let platform = Platform::new(&address);
        Self { address, platform }
    }

    /// Runs the tool as `operator`, with `input` on its standard input.
    pub(crate) async fn run_as(&self, operator: &str, args: &[&str], input: &Value) -> Outcome {
        let site = ["--platform", &self.address, "--as", operator];
        run(&[args, &site].concat(), &input.to_string()).await
    }

    pub(crate) async fn run(&self, args: &[&str]) -> Outcome {
        self.run_as("ann", args, &Value::Null).await
    }

    pub(crate) async fn apply(&self, resources: &Value) -> Outcome {
        self.run_as("ann", &["apply", "-f", "-"], resources).await
    }

    /// Runs the tool for JSON output and parses it.
    pub(crate) async fn json(&self, args: &[&str]) -> Value {
        let outcome = self.run(&[args, &["--output", "json"]].concat()).await;
        assert_eq!(outcome.code, 0, "{}", outcome.stderr);
        serde_json::from_str(&outcome.stdout).expect("the answer is JSON")
    }

    /// Injects faults into the platform.
    pub(crate) async fn set_faults(&self, faults: &Value) {
        let url = format!("http://{}/control/faults", self.address);
        let call = Call::put(url).json(faults).expect("faults are JSON");
        let answer = Client::new().call(call).await.expect("control answers");
        assert!(answer.status.is_success());
    }

    /// Decides on every specification once, as the acceptor does, starting from an empty table.
    pub(crate) async fn accept_all(&self) {
        let mut table = ConfigTable::default();
        for kind in Kind::ALL {
            let list = self.platform.list(&store::spec_kind(kind)).await;
            for object in list.expect("the platform answers").objects {
                self.accept(kind, &object, &mut table).await;
            }
        }
    }

    /// Stores service-level counters of an instance that are one minute old.
    pub(crate) async fn store_outcomes(&self, instance: &str, answered: u64, failed: u64) {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("after 1970");
        let at_ms = u64::try_from(now.as_millis()).expect("a time") - 60_000;
        let mut recorder = SloRecorder::new(1);
        let answer = RequestOutcome::Answered {
            first_token_ms: Some(100),
            between_tokens_ms: None,
        };
        for _ in 0..answered {
            recorder.count("clinics", "notes", answer, at_ms);
        }
        for _ in 0..failed {
            recorder.count("clinics", "notes", RequestOutcome::Failed, at_ms);
        }
        let record = recorder
            .merge(None, at_ms)
            .expect("there is something to store");
        self.write(SLO_KIND, instance, &store::to_value(&record))
            .await;
    }

    async fn accept(&self, kind: Kind, object: &Object, table: &mut ConfigTable) {
        let name = store::qualified_name(kind, &object.name);
        let present = self.platform.get(ACCEPTED_KIND, &name).await.ok();
        if let Some(entry) = present.as_ref().and_then(store::accepted_entry) {
            table.apply(entry);
        }
        let known = present
            .as_ref()
            .and_then(|object| store::read_record(object, ACCEPTED_KIND).ok());
        let status = match decide(kind, object, known.as_ref(), table) {
            Acceptance::UpToDate => return,
            Acceptance::Reject(status) => status,
            Acceptance::Accept(record) => {
                let value = store::to_value(&record);
                let written = self.write(ACCEPTED_KIND, &name, &value).await;
                table.apply(store::accepted_entry(&written).expect("it is valid"));
                in_force(record.generation)
            }
        };
        self.write(STATUS_KIND, &name, &store::to_value(&status))
            .await;
    }

    async fn write(&self, kind: &str, name: &str, value: &Value) -> Object {
        let present = self.platform.get(kind, name).await;
        let precondition = present.map_or(Precondition::Absent, |object| {
            Precondition::Version(object.version)
        });
        let written = self.platform.put(kind, name, value, precondition).await;
        written.expect("no one else writes it")
    }
}

/// Runs the tool.
pub(crate) async fn run(args: &[&str], input: &str) -> Outcome {
    let mut child = Command::new(env!("CARGO_BIN_EXE_mimosabay"))
        .args(args)
        .env_remove("MIMOSABAY_PLATFORM")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("the tool starts");
    let mut stdin = child.stdin.take().expect("standard input is a pipe");
    // Ignores the error, because the tool may exit before it reads its input.
    let _ = stdin.write_all(input.as_bytes()).await;
    drop(stdin);
    let output = child.wait_with_output().await.expect("the tool ends");
    Outcome {
        code: output.status.code().expect("the tool exits"),
        stdout: String::from_utf8(output.stdout).expect("text"),
        stderr: String::from_utf8(output.stderr).expect("text"),
    }
}

pub(crate) fn organisation(name: &str, rate: u64) -> Value {
    json!({"kind": "organisation", "name": name,
           "spec": {"rate_tokens_per_s": rate, "burst_tokens": 100}})
}

pub(crate) fn adapter(name: &str, current: &str) -> Value {
    let versions = json!([{"version": "v1", "source": "a"}, {"version": "v2", "source": "b"}]);
    json!({"kind": "adapter", "name": name,
           "spec": {"base_model": "base", "pool": "chat", "versions": versions,
                    "current_version": current}})
}

fn in_force(generation: u64) -> StatusRecord {
    StatusRecord {
        observed_generation: generation,
        accepted: true,
        reason: "".into(),
        in_force: INSTANCES,
        instances: INSTANCES,
    }
}
