// Package findings collects what is wrong with a document, each with its place, so that all of it is reported at once.
package findings

import (
	"fmt"
	"strconv"
	"strings"
)

// maxShown bounds the findings that the text of an error names; the rest are counted.
const maxShown = 20

// Finding is one thing that is wrong with a document.
type Finding struct {
	// Place is where it stands, such as `routes[2].backend` or `line 3, column 5`.
	Place string
	// Text says what is wrong there.
	Text string
}

// String puts the place before the text.
func (f Finding) String() string {
	if f.Place == "" {
		return f.Text
	}
	return f.Place + ": " + f.Text
}

// Findings is everything that is wrong with one document, in the order in which it was found. It is the error of the
// packages that read documents: errors.As finds it in what they return.
type Findings []Finding

// Add takes note of one finding; the text is formatted as by fmt.Sprintf.
func (f *Findings) Add(place, format string, args ...any) {
	*f = append(*f, Finding{Place: place, Text: fmt.Sprintf(format, args...)})
}

// Err is nil when nothing was found, and the findings otherwise.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Error names the first findings and counts the rest.
func (f Findings) Error() string {
	if len(f) == 1 {
		return f[0].String()
	}
	shown := f[:min(len(f), maxShown)]
	var text strings.Builder
	fmt.Fprintf(&text, "%d findings", len(f))
	separator := ": "
	for _, finding := range shown {
		text.WriteString(separator)
		text.WriteString(finding.String())
		separator = "; "
	}
	if rest := len(f) - len(shown); rest > 0 {
		fmt.Fprintf(&text, "; and %d more", rest)
	}
	return text.String()
}

// Item is the place of a field of an item of a list: `list[index].field`, or the item itself when field is empty.
func Item(list string, index int, field string) string {
	item := list + "[" + strconv.Itoa(index) + "]"
	if field == "" {
		return item
	}
	return item + "." + field
}
