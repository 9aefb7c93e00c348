//! Which sequence numbers of one sender have been taken: a sliding window, as in RFC 4303, section 3.4.3.

const WORDS: usize = 4;
/// Numbers may arrive out of order, but no more than so many behind the highest.
const WINDOW_NUMBERS: u64 = 64 * WORDS as u64;

pub struct ReplayWindow {
    highest: u64,
    /// A bit for each of the last numbers, by number modulo [`WINDOW_NUMBERS`].
    taken: [u64; WORDS],
}

impl ReplayWindow {
    /// A window in which this number is taken.
    pub fn starting_at(number: u64) -> Self {
        let mut window = Self { highest: number, taken: [0; WORDS] };
        window.mark(number);
        window
    }

    /// Whether this number is new; it is then taken.
    pub fn accept(&mut self, number: u64) -> bool {
        if number > self.highest {
            self.advance_to(number);
        } else if self.highest - number >= WINDOW_NUMBERS {
            return false;
        }
        let bit = Bit::of(number);
        let is_new = self.taken[bit.word] & bit.mask == 0;
        self.mark(number);
        is_new
    }

    fn advance_to(&mut self, number: u64) {
        let cleared = (number - self.highest).min(WINDOW_NUMBERS);
        for behind in 0..cleared {
            let bit = Bit::of(number - behind);
            self.taken[bit.word] &= !bit.mask;
        }
        self.highest = number;
    }

    fn mark(&mut self, number: u64) {
        let bit = Bit::of(number);
        self.taken[bit.word] |= bit.mask;
    }
}

/// Where a number's bit stands.
struct Bit {
    word: usize,
    mask: u64,
}

impl Bit {
    fn of(number: u64) -> Self {
        Self { word: (number / 64) as usize % WORDS, mask: 1 << (number % 64) }
    }
}
