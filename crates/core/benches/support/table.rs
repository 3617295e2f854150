//! The result table of all benches.

/// One table with name, value, bound, verdict and seed.
#[derive(Debug, Default)]
pub struct BoundTable {
    broken: usize,
}

impl BoundTable {
    /// Prints what the values mean and the head of the table.
    pub fn start(notes: &[&str]) -> Self {
        for note in notes {
            println!("{note}");
        }
        println!();
        println!("| name | value | bound | verdict | seed |");
        println!("|---|---|---|---|---|");
        Self::default()
    }

    /// Prints a value without a bound.
    #[allow(clippy::unused_self, reason = "rows belong to a started table")]
    pub fn note(&self, name: &str, value: &str, seed: u64) {
        println!("| {name} | {value} | | info | {seed} |");
    }

    /// Prints a value that must not exceed its bound.
    pub fn at_most(&mut self, name: &str, value: f64, bound: f64, seed: u64) {
        let verdict = if value <= bound { "ok" } else { "BROKEN" };
        self.broken += usize::from(value > bound);
        println!("| {name} | {value:.3} | <= {bound} | {verdict} | {seed} |");
    }

    /// Prints a value that must reach its bound.
    pub fn at_least(&mut self, name: &str, value: f64, bound: f64, seed: u64) {
        let verdict = if value >= bound { "ok" } else { "BROKEN" };
        self.broken += usize::from(value < bound);
        println!("| {name} | {value:.3} | >= {bound} | {verdict} | {seed} |");
    }

    /// Ends the process with a failure if a bound was broken.
    pub fn finish(self) {
        if self.broken > 0 {
            eprintln!("{} bounds are broken", self.broken);
            std::process::exit(1);
        }
    }
}
