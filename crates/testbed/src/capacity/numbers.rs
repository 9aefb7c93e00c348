//! Numbers as the page shows them: rounded toward more, in full.

/// Rounded up to so many digits, toward more. What a number's binary form adds in the tenth digit is none of it.
pub fn round_up(is: f64, digits: i32) -> f64 {
    if is == 0.0 || !is.is_finite() {
        return is;
    }
    let places = digits - 1 - is.abs().log10().floor() as i32;
    let scaled = is * 10_f64.powi(places);
    let whole = (scaled - scaled.abs() * 1e-10).ceil();
    if places >= 0 { whole / 10_f64.powi(places) } else { whole * 10_f64.powi(-places) }
}

/// Rounded toward less.
pub fn round_down(is: f64, digits: i32) -> f64 {
    -round_up(-is, digits)
}

/// An error, up to the next thousandth.
pub fn round_up_to_thousandth(is: f64) -> f64 {
    ((is - 1e-9).max(0.0) * 1000.0).ceil() / 1000.0
}

/// In full, with commas between thousands.
pub fn format_number(is: f64) -> String {
    let plain = is.abs().to_string();
    let (whole, part) = plain.split_once('.').unwrap_or((&plain, ""));
    let mut told = String::new();
    for (place, digit) in whole.chars().enumerate() {
        if place > 0 && (whole.len() - place) % 3 == 0 {
            told.push(',');
        }
        told.push(digit);
    }
    let sign = if is < 0.0 { "−" } else { "" };
    if part.is_empty() { format!("{sign}{told}") } else { format!("{sign}{told}.{part}") }
}
