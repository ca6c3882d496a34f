package jobspec

// idDigits is the number of hex digits of an encoded ID.
const idDigits = 16

const hexDigits = "0123456789abcdef"

// ID identifies a job. Clients choose it.
type ID uint64

// ParseID parses 16 lower-case hex digits; ok is false for anything else. Upper-case letters are refused, since task names must contain
// the ID exactly as the client wrote it.
func ParseID(text string) (id ID, ok bool) {
	if len(text) != idDigits {
		return 0, false
	}
	for position := range idDigits {
		digit, isHex := hexDigit(text[position])
		if !isHex {
			return 0, false
		}
		id = id<<4 | ID(digit)
	}
	return id, true
}

// String returns the ID as 16 hex digits.
func (id ID) String() string {
	var digits [idDigits]byte
	return string(id.Append(digits[:0]))
}

// Append appends the 16 hex digits to text.
func (id ID) Append(text []byte) []byte {
	for shift := 4 * (idDigits - 1); shift >= 0; shift -= 4 {
		text = append(text, hexDigits[id>>shift&0xf])
	}
	return text
}

func hexDigit(char byte) (digit byte, ok bool) {
	switch {
	case char >= '0' && char <= '9':
		return char - '0', true
	case char >= 'a' && char <= 'f':
		return char - 'a' + 10, true
	}
	return 0, false
}
