//! Checks of what engines logged against the promises.

use cactusnotch_standins::engine::Engine;

use crate::Failure;

/// Checks that no key started twice, over all engines.
///
/// # Errors
///
/// Fails and names a key that did.
pub fn runs(engines: &[Engine]) -> Result<(), Failure> {
    let mut keys: Vec<String> = engines
        .iter()
        .flat_map(Engine::runs)
        .filter(|run| run.started)
        .filter_map(|run| Some(run.key?.as_str().to_owned()))
        .collect();
    keys.sort();
    match keys.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => Err(Failure::new("runs", format!("{} started twice", pair[0]))),
        None => Ok(()),
    }
}
