//! What operators see of real processes: how far a change is in force, and service levels.

use mimosabay_core::resource::Kind;
use mimosabay_operator::StatusRecord;
use mimosabay_operator::slo::{SLO_KIND, SloRecord};
use mimosabay_operator::store::{self, STATUS_KIND};
use mimosabay_standin::harness::{CLINICS_KEY, Site, SiteOptions, block_on, wait_for};
use serde_json::{Value, json};

fn organisation(rate: u64) -> Value {
    json!({"rate_tokens_per_s": rate, "burst_tokens": 1000})
}

async fn status(site: &Site, kind: Kind, name: &str) -> Option<StatusRecord> {
    let name = store::qualified_name(kind, name);
    let object = site.platform.get(STATUS_KIND, &name).await.ok()?;
    store::read_record(&object, STATUS_KIND).ok()
}

#[test]
fn status_tells_on_how_many_instances_a_change_is_in_force() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        let instances = u32::try_from(site.instances.len()).unwrap();
        for rate in 1..=5 {
            let spec = organisation(rate);
            let generation = site.write(Kind::Organisation, "wards", &spec).await;
            let status = wait_for("the change in force everywhere", async || {
                let status = status(&site, Kind::Organisation, "wards").await?;
                let is_done = status.observed_generation == generation
                    && status.instances > 0
                    && status.in_force == status.instances;
                is_done.then_some(status)
            });
            assert_eq!(status.await.instances, instances);
        }
    });
}

#[test]
fn a_rejected_change_keeps_its_reason_while_another_is_put_in_force() {
    block_on(async {
        let site = Site::start(SiteOptions::default()).await;
        site.write(Kind::Organisation, "wards", &organisation(1))
            .await;
        let generation = site
            .write(Kind::Organisation, "wards", &organisation(0))
            .await;
        let status = wait_for("the rejection", async || {
            let status = status(&site, Kind::Organisation, "wards").await?;
            (status.observed_generation == generation).then_some(status)
        });
        let status = status.await;
        assert!(
            !status.accepted && status.reason.contains("rate_tokens_per_s"),
            "{status:?}"
        );
    });
}

#[test]
fn service_levels_are_stored_on_a_planned_stop() {
    block_on(async {
        let mut site = Site::start(SiteOptions::default()).await;
        let reply = site
            .caller(0)
            .key(CLINICS_KEY)
            .complete("drafting", "soap", 5)
            .await
            .unwrap();
        assert_eq!(reply.status, 200, "{}", reply.body);
        let unknown = site
            .caller(0)
            .key(CLINICS_KEY)
            .complete("nothing", "soap", 5)
            .await;
        assert_eq!(unknown.unwrap().status, 404);
        let name = site.instances[0].name().to_owned();
        site.instances[0].process.terminate();
        site.instances[0].process.wait_ended().await;
        let object = site.platform.get(SLO_KIND, &name).await.unwrap();
        let record: SloRecord = store::read_record(&object, SLO_KIND).unwrap();
        assert_eq!(record.series.len(), 1, "{record:?}");
        let series = &record.series[0];
        assert_eq!(
            (&*series.organisation, &*series.route),
            ("clinics", "drafting")
        );
        let counts = &series.windows[0].counts;
        assert_eq!(
            (counts.answered, counts.first_token.iter().sum::<u64>()),
            (1, 1)
        );
        assert_eq!((counts.failed, counts.refused_within_rate), (0, 0));
    });
}
