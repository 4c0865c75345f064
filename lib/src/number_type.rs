//! Macro that declares newtypes over numbers.

/// Declares a newtype over a number, with ordering, serialization and `Display`.
///
/// The text format may be given after `as`; the default is the plain number.
macro_rules! number_type {
    ($(#[$attribute:meta])* $name:ident($inner:ty)) => {
        number_type! { $(#[$attribute])* $name($inner) as "{}" }
    };
    ($(#[$attribute:meta])* $name:ident($inner:ty) as $format:literal) => {
        #[derive(
            Clone,
            Copy,
            Debug,
            derive_more::From,
            derive_more::Into,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            serde::Serialize,
            serde::Deserialize,
        )]
        $(#[$attribute])*
        pub struct $name(pub $inner);

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, $format, self.0)
            }
        }
    };
}

pub(crate) use number_type;
