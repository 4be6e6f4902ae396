//! Models chosen by the value of a right answer, through a relay with and without the setting.

use std::sync::Arc;

use relay::{
    catalog::{Customer, Kind, Model, Route},
    settings::Ladder,
};

use crate::{
    caller,
    server::{Action, LAST_CHUNK, Server, event, header, stream_head},
    site::{KEY, Site, StoreContents, cascade_route, catalog, endpoint, route},
};

/// A request, and what decides about it.
struct Case {
    /// Values by rank; `None` without the setting.
    values: Option<&'static [f64]>,
    /// Rank of the team, if it has one. The route's is 1.
    team_rank: Option<u8>,
    /// Confidence of the first model that is asked.
    confidence: u32,
    /// Number of attempts that the route allows.
    attempts: u32,
}

const FIXED: Case = Case { values: None, team_rank: None, confidence: 0, attempts: 3 };

/// Values of a right answer: urgent requests are worth twenty runs of the largest model, and the
/// least urgent ones less than one.
const VALUES: Case = Case { values: Some(&[20.0, 5.0, 0.9]), ..FIXED };

/// Sends a request whose first answer has the confidence of the case, and returns the models that
/// were asked.
async fn asked_models(case: &Case, models: &[(&str, f64)]) -> Vec<String> {
    let stream = |confidence| stream_head(confidence) + &event(1) + LAST_CHUNK;
    let server = Server::start(vec![Action::Write(stream(case.confidence)), Action::Write(stream(100))]).await;
    let models = models.iter().map(|(name, cost)| Model { name: (*name).into(), cost: *cost }).collect();
    let kind = Kind::Stream { resumable: true };
    let mut catalog = catalog(1, vec![Route { models, attempts: case.attempts, ..route("/s/", kind) }]);
    let team = Arc::new(Customer { name: "club".into(), rank: case.team_rank });
    catalog.keys = Some([(KEY.to_owned(), team)].into());
    let endpoints = vec![endpoint("e0", server.address)];
    let contents = StoreContents { catalog: Some(catalog), endpoints, ..StoreContents::default() };
    let site = Site::start_with(contents, |settings| {
        if let Some(values) = case.values {
            settings.policies.ladder = Ladder::ExpectedValue { values: values.to_vec() };
        }
    })
    .await;
    let headers = "X-Model: *\r\nX-Tokens: 100,10\r\n";
    let response = caller::call(site.front(), "POST", "/s/x", headers, "prompt").await;
    assert!(response.complete, "{response:?}");
    server.requests().iter().map(|request| header(request, "x-model").unwrap()).collect()
}

const TWO: &[(&str, f64)] = &[("small", 0.1), ("large", 1.0)];
const THREE: &[(&str, f64)] = &[("small", 0.1), ("middle", 0.33), ("large", 1.0)];

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $case:expr, $models:expr => $asked:expr;)*) => {$(
        $(#[$doc])*
        #[tokio::test]
        async fn $name() {
            assert_eq!(asked_models(&$case, $models).await, $asked);
        }
    )*};
}

cases! {
    // Without the setting the fixed thresholds decide, whatever a request is worth.
    answer_below_the_fixed_threshold_is_dropped: Case { confidence: 59, ..FIXED }, TWO => ["small", "large"];
    answer_at_the_fixed_threshold_is_kept: Case { confidence: 60, ..FIXED }, TWO => ["small"];
    fixed_threshold_ignores_the_teams_rank: Case { confidence: 60, team_rank: Some(0), ..FIXED }, TWO => ["small"];
    fixed_threshold_skips_the_middle_model: Case { confidence: 57, ..FIXED }, THREE => ["small", "large"];
    single_attempt_starts_large_without_values: Case { attempts: 1, ..FIXED }, TWO => ["large"];
    // A request that is worth five runs of the largest model is escalated up to the confidence at
    // which a fifth of the answers is wrong.
    answer_below_the_break_even_is_dropped: Case { confidence: 61, ..VALUES }, TWO => ["small", "large"];
    answer_at_the_break_even_is_kept: Case { confidence: 62, ..VALUES }, TWO => ["small"];
    // The team's rank goes before the route's.
    urgent_teams_answer_is_dropped_at_a_higher_confidence:
        Case { confidence: 73, team_rank: Some(0), ..VALUES }, TWO => ["small", "large"];
    unsure_answer_of_a_cheap_rank_is_kept: Case { confidence: 0, team_rank: Some(2), ..VALUES }, TWO => ["small"];
    last_value_applies_to_further_ranks: Case { confidence: 0, team_rank: Some(9), ..VALUES }, TWO => ["small"];
    doubtful_answer_goes_to_the_middle_model: Case { confidence: 57, ..VALUES }, THREE => ["small", "middle"];
    wrong_answer_goes_to_the_largest_model: Case { confidence: 20, ..VALUES }, THREE => ["small", "large"];
    single_attempt_of_a_cheap_rank_starts_small:
        Case { attempts: 1, team_rank: Some(2), ..VALUES }, TWO => ["small"];
    single_attempt_of_a_valuable_request_starts_large: Case { attempts: 1, ..VALUES }, TWO => ["large"];
}

/// A caller that names its model gets that one, whatever its confidence.
#[tokio::test]
async fn model_that_the_caller_names_is_not_replaced() {
    let stream = stream_head(0) + &event(1) + LAST_CHUNK;
    let server = Server::start(vec![Action::Write(stream)]).await;
    let contents = StoreContents {
        catalog: Some(catalog(1, vec![cascade_route("/s/")])),
        endpoints: vec![endpoint("e0", server.address)],
        ..StoreContents::default()
    };
    let site = Site::start_with(contents, |settings| {
        settings.policies.ladder = Ladder::ExpectedValue { values: vec![1_000.0] };
    })
    .await;
    let headers = "X-Model: small\r\nX-Tokens: 100,10\r\n";
    let response = caller::call(site.front(), "POST", "/s/x", headers, "prompt").await;
    assert!(response.complete, "{response:?}");
    assert_eq!(server.requests().len(), 1);
}
