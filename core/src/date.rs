//! Calendar dates, for the sunset date of the service.

/// Length of a day, in seconds.
const DAY_S: u64 = 86_400;
const WEEKDAYS: [&str; 7] = ["Thu", "Fri", "Sat", "Sun", "Mon", "Tue", "Wed"];
const MONTHS: [&str; 12] = [
    "Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec",
];

/// Day of the Gregorian calendar from 1970 on, in UTC.
///
/// ```
/// use mimosabay_core::date::Date;
///
/// let day = Date::parse("2027-03-01").unwrap();
/// assert_eq!(day.to_http_date(), "Mon, 01 Mar 2027 00:00:00 GMT");
/// assert!(Date::parse("2027-02-29").is_none());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Date {
    year: u64,
    month: u64,
    day: u64,
}

impl Date {
    /// Parses `YYYY-MM-DD`. Returns `None` if the format is wrong or the day does not exist.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.splitn(3, '-');
        let year = parse_digits(parts.next()?, 4)?;
        let month = parse_digits(parts.next()?, 2)?;
        let day = parse_digits(parts.next()?, 2)?;
        let is_valid = year >= 1970
            && (1..=12).contains(&month)
            && (1..=days_in_month(year, month)).contains(&day);
        is_valid.then_some(Self { year, month, day })
    }

    /// Returns the Unix time of the start of this day, in seconds.
    pub fn unix_s(self) -> u64 {
        let years: u64 = (1970..self.year).map(days_in_year).sum();
        let months: u64 = (1..self.month)
            .map(|month| days_in_month(self.year, month))
            .sum();
        (years + months + self.day - 1) * DAY_S
    }

    /// Formats the start of this day as an HTTP date (RFC 9110, section 5.6.7).
    pub fn to_http_date(self) -> String {
        let weekday = WEEKDAYS[usize::try_from(self.unix_s() / DAY_S % 7).unwrap_or_default()];
        let month = MONTHS[usize::try_from(self.month - 1).unwrap_or_default()];
        format!(
            "{weekday}, {:02} {month} {} 00:00:00 GMT",
            self.day, self.year
        )
    }
}

fn parse_digits(text: &str, count: usize) -> Option<u64> {
    let is_valid = text.len() == count && text.bytes().all(|byte| byte.is_ascii_digit());
    if is_valid { text.parse().ok() } else { None }
}

fn is_leap(year: u64) -> bool {
    year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400))
}

fn days_in_year(year: u64) -> u64 {
    if is_leap(year) { 366 } else { 365 }
}

fn days_in_month(year: u64, month: u64) -> u64 {
    match month {
        2 if is_leap(year) => 29,
        2 => 28,
        4 | 6 | 9 | 11 => 30,
        _ => 31,
    }
}
