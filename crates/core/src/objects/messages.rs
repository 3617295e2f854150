//! Errors in operators' objects.

use snafu::Snafu;

/// An error in a file of operators' objects.
#[derive(Debug, Snafu)]
#[snafu(display("{file}: {kind}"))]
pub struct ObjectError {
    /// The file that holds the error.
    pub file: String,
    /// What is wrong.
    pub kind: ObjectErrorKind,
}

/// What is wrong in a file of operators' objects.
#[derive(Debug, Snafu)]
#[non_exhaustive]
pub enum ObjectErrorKind {
    /// The file is not valid TOML or has an unknown or missing field.
    #[snafu(display("{message}; correct the field that is named"))]
    Syntax {
        /// The parser's message with line and column.
        message: String,
    },
    /// Two objects of one kind have the same name.
    #[snafu(display("{object} is defined twice; rename or remove one of the two"))]
    Duplicate {
        /// Kind and name of the object.
        object: String,
    },
}
