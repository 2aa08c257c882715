//! What came of a request to the placer.

/// What came of a request to the placer.
pub(super) enum PlacerAnswer<T> {
    /// Its answer.
    Answered(T),
    /// There is no placer, or it cannot have received the request.
    NotAsked,
    /// It may have received the request, but has not answered.
    Unanswered,
}

impl<T> PlacerAnswer<T> {
    /// Returns the answer, if there is one.
    pub(super) fn answered(self) -> Option<T> {
        match self {
            Self::Answered(answer) => Some(answer),
            Self::NotAsked | Self::Unanswered => None,
        }
    }

    /// Converts the answer, if there is one.
    pub(super) fn and_then<U>(self, convert: impl FnOnce(T) -> PlacerAnswer<U>) -> PlacerAnswer<U> {
        match self {
            Self::Answered(answer) => convert(answer),
            Self::NotAsked => PlacerAnswer::NotAsked,
            Self::Unanswered => PlacerAnswer::Unanswered,
        }
    }
}
