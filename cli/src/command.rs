//! The command line and its help.

use clap::builder::{PossibleValue, PossibleValuesParser, TypedValueParser};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clap_complete::Shell;
use mimosabay_core::resource::Kind;
use serde_json::Value;

use crate::output::CommandOutput;

const ABOUT: &str = "Writes and reads the resources of a mimosabay site.";

const LONG_ABOUT: &str = "\
Writes and reads the resources of a mimosabay site.

A site is configured by resources in the platform's store: organisations with their rates, keys,
adapters with their versions, backend servers, routes, objectives and the site itself. You write
the desired state (apply, delete, key, adapter); the instances validate it, put it in force and
report back (get, describe, status). An invalid change is never put in force: the last valid one
stays.";

const AFTER_HELP: &str = "\
Examples:
  export MIMOSABAY_PLATFORM=127.0.0.1:7000
  mimosabay apply -f resources.json --wait
  mimosabay get organisation
  mimosabay key create clinics front-desk
  mimosabay status

A resource file holds one resource or a list of them:
  {\"kind\": \"organisation\", \"name\": \"clinics\",
   \"spec\": {\"rate_tokens_per_s\": 2000, \"burst_tokens\": 20000}}

Exit codes:
  0  done
  1  failed for another reason, such as a file that cannot be read
  2  the command line is wrong
  3  conflict: someone else changed the resource since it was read; nothing was overwritten
  4  no such resource
  5  the platform does not answer, or it is not known whether a write took effect
  6  rejected: a resource or a settings file is not valid

Environment:
  MIMOSABAY_PLATFORM  IP address and port of the platform, if --platform is not given
  MIMOSABAY_OPERATOR  your name in the record of changes, if --as is not given";

/// Builds the command line parser.
pub fn command() -> Command {
    Command::new("mimosabay")
        .version(env!("CARGO_PKG_VERSION"))
        .about(ABOUT)
        .long_about(LONG_ABOUT)
        .after_help(AFTER_HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("platform")
                .long("platform")
                .value_name("ADDRESS")
                .global(true)
                .help("IP address and port of the platform"),
        )
        .arg(
            Arg::new("as")
                .long("as")
                .value_name("NAME")
                .global(true)
                .help("Your name in the record of changes"),
        )
        .subcommands([
            apply(),
            get(),
            describe(),
            delete(),
            watch(),
            status(),
            key(),
            adapter(),
            check_settings(),
            explain(),
            report(),
            completions_command(),
        ])
}

/// Generates the completion script of a shell.
pub(crate) fn completions(arguments: &ArgMatches) -> CommandOutput {
    let shell = *arguments
        .get_one::<Shell>("shell")
        .expect("the shell is required");
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut command(), "mimosabay", &mut script);
    CommandOutput::new(String::from_utf8_lossy(&script), Value::Null)
}

fn apply() -> Command {
    Command::new("apply")
        .about("Creates or changes resources from files")
        .long_about(
            "Creates or changes resources from files.\n\n\
             All resources of all files are checked before the first is written. A resource that \
             is unchanged is not written. With a `generation` in the file, as `get --output \
             json` prints it, the change is made only if the resource is still at that generation.",
        )
        .arg(
            Arg::new("file")
                .short('f')
                .long("file")
                .value_name("FILE")
                .action(ArgAction::Append)
                .required(true)
                .help("JSON file with one resource or a list; - for standard input"),
        )
        .args(wait_args())
        .arg(output_arg())
}

fn get() -> Command {
    Command::new("get")
        .about("Lists the resources of a kind, or one of them")
        .arg(kind_arg())
        .arg(name_arg().required(false))
        .arg(output_arg())
}

fn describe() -> Command {
    Command::new("describe")
        .about("Shows the details of a resource")
        .arg(kind_arg())
        .arg(name_arg())
        .arg(output_arg())
}

fn delete() -> Command {
    Command::new("delete")
        .about("Deletes a resource that nothing refers to")
        .arg(kind_arg())
        .arg(name_arg())
        .arg(
            Arg::new("generation")
                .long("generation")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .help("Delete only if the resource is at this generation"),
        )
        .args(wait_args())
        .arg(output_arg())
}

fn watch() -> Command {
    Command::new("watch")
        .about("Prints changes of resources and their status as they occur")
        .arg(kind_arg().required(false))
        .arg(
            Arg::new("count")
                .long("count")
                .value_name("N")
                .value_parser(value_parser!(u64).range(1..))
                .help("Exit after this many changes"),
        )
        .arg(output_arg())
}

fn status() -> Command {
    Command::new("status")
        .about("Shows instances, servers, organisations and what is in force")
        .arg(output_arg())
}

fn key() -> Command {
    Command::new("key")
        .about("Creates and withdraws keys of organisations")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("create")
                .about("Creates a key and prints it once; only its hash is stored")
                .arg(text_arg("organisation", "ORG", "Organisation of the key"))
                .arg(name_arg())
                .args(wait_args())
                .arg(output_arg()),
        )
        .subcommand(
            Command::new("withdraw")
                .about("Withdraws a key permanently")
                .arg(name_arg())
                .args(wait_args())
                .arg(output_arg()),
        )
}

fn adapter() -> Command {
    Command::new("adapter")
        .about("Changes adapters")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("promote")
                .about("Makes a version the current one")
                .arg(name_arg())
                .arg(text_arg(
                    "version",
                    "VERSION",
                    "One of the adapter's versions",
                ))
                .args(wait_args())
                .arg(output_arg()),
        )
}

fn check_settings() -> Command {
    Command::new("check-settings")
        .about("Checks the settings file of an instance")
        .arg(text_arg("file", "FILE", "INI file"))
        .arg(output_arg())
}

fn explain() -> Command {
    Command::new("explain")
        .about("Explains from logs what happened to a request, and why")
        .arg(text_arg(
            "request",
            "REQUEST",
            "Request ID that the caller sent with the attempt",
        ))
        .arg(
            Arg::new("log")
                .value_name("LOG")
                .num_args(1..)
                .required(true)
                .help("Logs of the instances; - for standard input"),
        )
        .arg(output_arg())
}

fn report() -> Command {
    let output = output_arg().value_parser(["text", "json", "html"]);
    Command::new("report")
        .about("Reports on past requests")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("burn")
                .about("Burn rates and error budgets of the objectives")
                .arg(output.default_value("text")),
        )
}

fn completions_command() -> Command {
    Command::new("completions")
        .about("Prints the completion script of a shell")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .value_parser(value_parser!(Shell))
                .required(true)
                .help("Shell to complete in"),
        )
}

fn kind_arg() -> Arg {
    let kinds = Kind::ALL.map(|kind| {
        let name = kind.as_str();
        let plural = format!("{name}s");
        PossibleValue::new(name)
            .alias(name.replace('_', "-"))
            .alias(plural.replace('_', "-"))
            .alias(plural)
    });
    let parser = PossibleValuesParser::new(kinds)
        .map(|name| Kind::parse(&name).expect("the names of the kinds are the possible values"));
    Arg::new("kind")
        .value_name("KIND")
        .required(true)
        .value_parser(parser)
        .help("Kind of the resource")
}

fn name_arg() -> Arg {
    text_arg("name", "NAME", "Name of the resource")
}

fn text_arg(id: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(id).value_name(value).required(true).help(help)
}

fn wait_args() -> [Arg; 2] {
    [
        Arg::new("wait")
            .long("wait")
            .action(ArgAction::SetTrue)
            .help("Wait until the change is in force on every instance"),
        Arg::new("timeout-ms")
            .long("timeout-ms")
            .value_name("MS")
            .value_parser(value_parser!(u64))
            .default_value("15000")
            .help("Longest time to wait, in milliseconds"),
    ]
}

fn output_arg() -> Arg {
    Arg::new("output")
        .long("output")
        .short('o')
        .value_name("FORM")
        .value_parser(["table", "json"])
        .default_value("table")
        .help("Output format")
}
