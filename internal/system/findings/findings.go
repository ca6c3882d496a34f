// Package findings collects the errors in a document, each with its place, so that all of them can be reported together.
package findings

import (
	"fmt"
	"strconv"
	"strings"
)

// maxShown is the number of findings that an error text lists. It only counts the others.
const maxShown = 20

// Finding is one error in a document.
type Finding struct {
	// Place locates it, such as `routes[2].backend` or `line 3, column 5`.
	Place string
	// Text describes the error.
	Text string
}

// String returns the place and the text.
func (f Finding) String() string {
	if f.Place == "" {
		return f.Text
	}
	return f.Place + ": " + f.Text
}

// Findings holds all errors in one document in the order in which they were found. It is the error type of the packages that read
// documents; errors.As extracts it from the errors that they return.
type Findings []Finding

// Add appends a finding. The text is formatted as by fmt.Sprintf.
func (f *Findings) Add(place, format string, args ...any) {
	*f = append(*f, Finding{Place: place, Text: fmt.Sprintf(format, args...)})
}

// Err returns the findings as an error, or nil if there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Error lists the first findings and counts the others.
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

// Item returns the place of a field of a list item, `list[index].field`, or of the item itself if field is empty.
func Item(list string, index int, field string) string {
	item := list + "[" + strconv.Itoa(index) + "]"
	if field == "" {
		return item
	}
	return item + "." + field
}
