//! Rounding and formatting of the numbers on the page: rounded up, and written out without an exponent.

/// Rounds up to this many significant digits. An excess in the tenth digit is a rounding error of
/// floating-point numbers and is ignored.
pub fn round_up(value: f64, digits: i32) -> f64 {
    if value == 0.0 || !value.is_finite() {
        return value;
    }
    let decimals = digits - 1 - value.abs().log10().floor() as i32;
    let scaled = value * 10_f64.powi(decimals);
    let whole = (scaled - scaled.abs() * 1e-10).ceil();
    if decimals >= 0 { whole / 10_f64.powi(decimals) } else { whole * 10_f64.powi(-decimals) }
}

/// Rounds down to this many significant digits.
pub fn round_down(value: f64, digits: i32) -> f64 {
    -round_up(-value, digits)
}

/// Rounds a relative error up to the next thousandth.
pub fn round_up_to_thousandth(value: f64) -> f64 {
    ((value - 1e-9).max(0.0) * 1000.0).ceil() / 1000.0
}

/// Formats a number without an exponent, with commas between thousands.
pub fn format_number(value: f64) -> String {
    let digits = value.abs().to_string();
    let (whole, fraction) = digits.split_once('.').unwrap_or((&digits, ""));
    let mut grouped = String::new();
    for (index, digit) in whole.chars().enumerate() {
        if index > 0 && (whole.len() - index) % 3 == 0 {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    let sign = if value < 0.0 { "−" } else { "" };
    if fraction.is_empty() { format!("{sign}{grouped}") } else { format!("{sign}{grouped}.{fraction}") }
}
