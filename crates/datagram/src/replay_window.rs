//! The sliding window of sequence numbers accepted from one sender, as in RFC 4303, section 3.4.3.

const WORDS: usize = 4;
/// The size of the window. Numbers may arrive out of order, but one that is this far behind the highest, or
/// further, is rejected as too old.
const WINDOW_NUMBERS: u64 = 64 * WORDS as u64;

pub struct ReplayWindow {
    highest: u64,
    /// A bit for each number in the window, set if it was accepted. The bit's index is the number modulo
    /// [`WINDOW_NUMBERS`].
    accepted: [u64; WORDS],
}

impl ReplayWindow {
    /// A window whose highest number is `number`, which counts as accepted.
    pub fn starting_at(number: u64) -> Self {
        let mut window = Self { highest: number, accepted: [0; WORDS] };
        window.mark(number);
        window
    }

    /// Whether this number is new. If so, it is marked as accepted.
    pub fn accept(&mut self, number: u64) -> bool {
        if number > self.highest {
            self.advance_to(number);
        } else if self.highest - number >= WINDOW_NUMBERS {
            return false;
        }
        let bit = Bit::of(number);
        let is_new = self.accepted[bit.word] & bit.mask == 0;
        self.mark(number);
        is_new
    }

    /// Slides the window so that `number` is its highest, and clears the bits of the numbers that enter it.
    fn advance_to(&mut self, number: u64) {
        let cleared = (number - self.highest).min(WINDOW_NUMBERS);
        for behind in 0..cleared {
            let bit = Bit::of(number - behind);
            self.accepted[bit.word] &= !bit.mask;
        }
        self.highest = number;
    }

    fn mark(&mut self, number: u64) {
        let bit = Bit::of(number);
        self.accepted[bit.word] |= bit.mask;
    }
}

/// The position of a number's bit in [`ReplayWindow::accepted`].
struct Bit {
    word: usize,
    mask: u64,
}

impl Bit {
    fn of(number: u64) -> Self {
        Self { word: (number / 64) as usize % WORDS, mask: 1 << (number % 64) }
    }
}
