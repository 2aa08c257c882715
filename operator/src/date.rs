//! Calendar days, for sunset dates.

const DAYS_IN_MONTH: [u32; 12] = [31, 28, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31];
const MS_PER_DAY: u64 = 86_400_000;

/// Days from 1970-01-01 to a day written as `YYYY-MM-DD`, in the Gregorian calendar.
pub fn parse_day(text: &str) -> Option<u64> {
    let (year, month, day) = split(text)?;
    if !(1970..=9999).contains(&year) || !(1..=12).contains(&month) {
        return None;
    }
    if day == 0 || day > days_in_month(year, month) {
        return None;
    }
    let years: u64 = (1970..year).map(days_in_year).sum();
    let months: u64 = (1..month)
        .map(|month| u64::from(days_in_month(year, month)))
        .sum();
    Some(years + months + u64::from(day) - 1)
}

/// Unix time in milliseconds at which a day written as `YYYY-MM-DD` ends in UTC.
pub fn end_of_day_ms(text: &str) -> Option<u64> {
    Some((parse_day(text)? + 1) * MS_PER_DAY)
}

fn split(text: &str) -> Option<(u32, u32, u32)> {
    let mut parts = text.split('-');
    let year = digits(parts.next()?, 4)?;
    let month = digits(parts.next()?, 2)?;
    let day = digits(parts.next()?, 2)?;
    parts.next().is_none().then_some((year, month, day))
}

fn digits(text: &str, count: usize) -> Option<u32> {
    let all_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    (text.len() == count && all_digits).then(|| text.parse().ok())?
}

fn is_leap(year: u32) -> bool {
    year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400))
}

fn days_in_year(year: u32) -> u64 {
    if is_leap(year) { 366 } else { 365 }
}

fn days_in_month(year: u32, month: u32) -> u32 {
    match month {
        2 if is_leap(year) => 29,
        _ => DAYS_IN_MONTH[month as usize - 1],
    }
}
