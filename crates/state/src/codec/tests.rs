use super::*;
use crate::mutation::TasksStarted;

fn started(job: &str, attempt: u64, tasks: Vec<u32>) -> Mutation {
    Mutation::Started(TasksStarted {
        job: job.into(),
        attempt,
        started_ms: 1000,
        tasks,
    })
}

#[test]
fn mutations_are_packed_into_few_values_of_the_allowed_size() {
    let mutations: Vec<Mutation> = (0..1000)
        .map(|n| started(&format!("j-{n:06}"), n, (0..20).collect()))
        .collect();
    let packed = pack(&mutations, 16_000).unwrap();
    assert!(packed.iter().all(|p| p.len() <= 16_000));
    assert!(packed.len() <= 7, "{}", packed.len());
    let total: usize = packed
        .iter()
        .map(|text| unframe(&frame(3, text).unwrap()).unwrap().mutations.len())
        .sum();
    assert_eq!(total, 1000);
}

#[test]
fn the_json_of_a_mutation_is_compact() {
    let mutation = started("j-000412", 4711, vec![0, 1, 7]);
    let text = serde_json::to_string(&mutation).unwrap();
    assert_eq!(text, r#"{"r":["j-000412",4711,1000,[0,1,7]]}"#);
    assert_eq!(serde_json::from_str::<Mutation>(&text).unwrap(), mutation);
}
