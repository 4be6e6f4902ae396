//! What callers notice of admission control beside their shares.

use std::time::Duration;

use relay::settings::Admission;

use crate::fleet::{Fleet, Flow, INSTANCES};

/// Without the setting, an overload has to be treated as before: nothing is measured, nothing is
/// told to other instances, and full endpoints decide.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn without_the_setting_endpoints_decide() {
    let fleet = Fleet::start(Admission::Unordered).await;
    assert!(fleet.sites.iter().all(|site| site.relay.dispatcher().gate.is_none()));
    let large = Flow { team: "large", prefix: "/usual/", instances: (0..INSTANCES).collect(), load: |_| 2.5 };
    let small = Flow { team: "small", load: |_| 0.1, ..large.clone() };
    let report = fleet.play(&[large, small], Duration::from_secs(3)).await;
    report.print("without the setting");
    assert!(report.rejections > 0, "full endpoints reject requests");
}
