//! Which numbers of one sender have been taken: a sliding window, as in RFC 4303, section 3.4.3.

const WORDS: usize = 4;
const SPAN: u64 = 64 * WORDS as u64;

/// Numbers may arrive out of order, but no more than 256 behind the highest.
pub struct Window {
    highest: u64,
    /// A bit for each of the last numbers, by number modulo the span.
    taken: [u64; WORDS],
}

impl Window {
    pub fn starting_at(number: u64) -> Self {
        let mut window = Self { highest: number, taken: [0; WORDS] };
        window.mark(number);
        window
    }

    /// Whether this number is new; it is then taken.
    pub fn take(&mut self, number: u64) -> bool {
        if number > self.highest {
            let cleared = (number - self.highest).min(SPAN);
            for passed in 0..cleared {
                let (word, bit) = place(number - passed);
                self.taken[word] &= !bit;
            }
            self.highest = number;
        } else if self.highest - number >= SPAN {
            return false;
        }
        let (word, bit) = place(number);
        let new = self.taken[word] & bit == 0;
        self.mark(number);
        new
    }

    fn mark(&mut self, number: u64) {
        let (word, bit) = place(number);
        self.taken[word] |= bit;
    }
}

fn place(number: u64) -> (usize, u64) {
    ((number / 64) as usize % WORDS, 1 << (number % 64))
}
