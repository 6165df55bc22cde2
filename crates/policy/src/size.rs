//! Size classes of requests.

/// Number of size classes.
pub(crate) const CLASSES: usize = 5;

/// Upper bounds of all classes but the last, in seconds of engine time.
const BOUNDS: [f64; CLASSES - 1] = [0.025, 0.1, 0.4, 1.6];

/// Class of requests with similar expected engine time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct SizeClass(u8);

impl SizeClass {
    /// The class of a request that is expected to take `work` seconds of engine time.
    pub(crate) fn of(work: f64) -> Self {
        let index = BOUNDS.iter().position(|bound| work < *bound).unwrap_or(CLASSES - 1);
        Self(u8::try_from(index).unwrap_or(0))
    }

    /// Index of the class; 0 has the shortest requests.
    pub(crate) fn index(self) -> usize {
        usize::from(self.0)
    }
}
