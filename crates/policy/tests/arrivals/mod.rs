//! When requests arrive in the loads that are played.

use agatestair_policy::Moment;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Times in milliseconds and kinds of requests that arrive independently, each kind at its rate a
/// second.
pub fn draw_arrivals(rates: &[f64], seconds: f64, random: &mut ChaCha8Rng) -> Vec<(f64, usize)> {
    let mut arrivals: Vec<(f64, usize)> = Vec::new();
    for (index, rate) in rates.iter().enumerate() {
        let mut at = 0.0;
        while at < seconds * 1000.0 {
            at += -(1.0 - random.random::<f64>()).ln() * 1000.0 / rate;
            arrivals.push((at, index));
        }
    }
    arrivals.sort_by(|a, b| a.0.total_cmp(&b.0));
    arrivals
}

/// The moment some milliseconds after the start of a play.
pub fn moment(ms: f64) -> Moment {
    Moment((ms * 1000.0) as u64 + 1)
}
