/*!
What the open connections of a listener hold in memory, within a budget.

Load pattern: many connections at once send heads or bodies that are legal by themselves and stop
short of their ends. [`IntakeTable`] counts the bytes that each holds. When the budget is used up, it
sheds the connections that have cost the most, and never one whose request may be stored.

`docs/design/intake.md` has the charges and the alternatives.
*/

mod state;
#[cfg(test)]
mod tests;

pub use state::{ConnectionNumber, IntakeLimits, IntakeRefusal, IntakeTable};
