//! Macros that remove repetition from data types and tests.

/// Derives the common set of traits for a type that is stored or sent.
///
/// The set is `Clone`, `Debug`, `PartialEq`, `Serialize` and `Deserialize`.
/// The calling crate needs `serde` with its `derive` feature.
///
/// ```
/// mimosabay_core::record! {
///     /// Point in a floor plan.
///     pub struct Point {
///         /// Distance from the left edge in metres.
///         pub x_m: u32,
///     }
/// }
/// assert_eq!(Point { x_m: 1 }.clone(), Point { x_m: 1 });
/// ```
#[macro_export]
macro_rules! record {
    ($($item:item)+) => {
        $(
            #[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )+
    };
}

/// Derives the common set of traits for a small value that is compared or used as a map key.
///
/// Adds `Eq`, `PartialOrd`, `Ord` and `Hash` to the set of [`record!`](crate::record).
#[macro_export]
macro_rules! key_record {
    ($($item:item)+) => {
        $(
            #[derive(
                Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            $item
        )+
    };
}

/// Declares one `#[test]` function for each named case of a table.
///
/// The first argument is a function that receives the case; each case has a name and the
/// arguments of that function.
///
/// ```
/// fn doubles(input: u32, expected: u32) {
///     assert_eq!(input * 2, expected);
/// }
/// mimosabay_core::cases! {
///     doubles;
///     zero: (0, 0);
///     seven: (7, 14);
/// }
/// # fn main() {}
/// ```
#[macro_export]
macro_rules! cases {
    ($check:path; $($name:ident: ($($arg:expr),* $(,)?);)+) => {
        $(
            #[test]
            fn $name() {
                $check($($arg),*);
            }
        )+
    };
}

/// Implements `Display`, `Debug` and `Error` for an opaque error.
///
/// The error has a field `inner` with a `category` and a `message`.
///
/// ```
/// struct Inner {
///     category: u8,
///     message: String,
/// }
/// struct Failure {
///     inner: Box<Inner>,
/// }
/// mimosabay_core::opaque_error!(Failure);
/// let inner = Inner { category: 1, message: "no answer".into() };
/// let failure = Failure { inner: Box::new(inner) };
/// assert_eq!(failure.to_string(), "no answer");
/// assert_eq!(format!("{failure:?}"), "Failure(1, \"no answer\")");
/// ```
#[macro_export]
macro_rules! opaque_error {
    ($error:ident) => {
        impl ::std::fmt::Display for $error {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                f.write_str(&self.inner.message)
            }
        }

        impl ::std::fmt::Debug for $error {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                f.write_str(stringify!($error))?;
                let (category, message) = (&self.inner.category, &self.inner.message);
                write!(f, "({category:?}, {message:?})")
            }
        }

        impl ::std::error::Error for $error {}
    };
}
