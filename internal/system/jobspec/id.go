package jobspec

// idDigits is how many hex digits an ID is written with.
const idDigits = 16

const hexDigits = "0123456789abcdef"

// ID names a job. Clients choose it.
type ID uint64

// ParseID reads 16 hex digits in lower case; ok is false for anything else. Capital letters are refused, since a task's name
// has to carry the ID as the client wrote it.
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

// String writes the 16 hex digits.
func (id ID) String() string {
	var digits [idDigits]byte
	return string(id.Append(digits[:0]))
}

// Append writes the 16 hex digits behind the text.
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
