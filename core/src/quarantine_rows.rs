//! Serialises the map of a quarantine as a list of rows, which both JSON and binary codecs can represent.

use std::collections::BTreeMap;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::quarantine::{Crash, Evidence};
use crate::work::Fingerprint;

#[derive(Serialize, Deserialize)]
struct Row {
    /// Text, because a JSON number may lose digits.
    fingerprint: String,
    crashes: Vec<(Crash, u64)>,
    retracted: Vec<Crash>,
    answered_unix_ms: Option<u64>,
}

pub(crate) fn serialize<S: Serializer>(
    evidence: &BTreeMap<Fingerprint, Evidence>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let row = |(fingerprint, evidence): (&Fingerprint, &Evidence)| Row {
        fingerprint: fingerprint.to_string(),
        crashes: evidence.crashes.clone().into_iter().collect(),
        retracted: evidence.retracted.iter().cloned().collect(),
        answered_unix_ms: evidence.answered_unix_ms,
    };
    let rows: Vec<Row> = evidence.iter().map(row).collect();
    rows.serialize(serializer)
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<BTreeMap<Fingerprint, Evidence>, D::Error> {
    let rows = Vec::<Row>::deserialize(deserializer)?;
    let pair = |row: Row| {
        let fingerprint = row.fingerprint.parse::<Fingerprint>();
        let fingerprint = fingerprint.map_err(serde::de::Error::custom)?;
        let evidence = Evidence {
            crashes: row.crashes.into_iter().collect(),
            retracted: row.retracted.into_iter().collect(),
            answered_unix_ms: row.answered_unix_ms,
        };
        Ok((fingerprint, evidence))
    };
    rows.into_iter().map(pair).collect()
}
