//! Random request arrivals for the load simulations.

use agatestair_policy::Moment;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Draws Poisson arrivals of several kinds of requests, with `rates` in requests per second.
///
/// Returns the arrival time in milliseconds and the index of the kind for each request, in order of
/// time.
pub fn draw_arrivals(rates: &[f64], seconds: f64, rng: &mut ChaCha8Rng) -> Vec<(f64, usize)> {
    let mut arrivals: Vec<(f64, usize)> = Vec::new();
    for (index, rate) in rates.iter().enumerate() {
        let mut at = 0.0;
        while at < seconds * 1000.0 {
            at += -(1.0 - rng.random::<f64>()).ln() * 1000.0 / rate;
            arrivals.push((at, index));
        }
    }
    arrivals.sort_by(|a, b| a.0.total_cmp(&b.0));
    arrivals
}

/// Converts milliseconds since the start of a simulation to a [`Moment`].
pub fn moment(ms: f64) -> Moment {
    Moment((ms * 1000.0) as u64 + 1)
}
