// Package jsonread reads one JSON object into a value with generated code, and reports everything that can't be read in it.
package jsonread

import (
	"fmt"

	"github.com/mailru/easyjson"
	"github.com/mailru/easyjson/jlexer"

	"gaugeslip/internal/system/findings"
)

// Object reads the body, which has to be one JSON object with nothing but white space round it. Members that the value
// doesn't name are skipped. A member of a wrong type is a finding and doesn't hide the next one.
func Object(body []byte, value easyjson.Unmarshaler) findings.Findings {
	var found findings.Findings
	if !startsObject(body) {
		found.Add("", "is not a JSON object")
		return found
	}
	lexer := jlexer.Lexer{Data: body, UseMultipleErrors: true}
	value.UnmarshalEasyJSON(&lexer)
	for _, failure := range lexer.GetNonFatalErrors() {
		found.Add(place(failure.Offset), "%s", failure.Reason)
	}
	addFatal(&found, lexer.Error())
	return found
}

func addFatal(found *findings.Findings, err error) {
	if err == nil {
		return
	}
	if failure, ok := err.(*jlexer.LexerError); ok {
		found.Add(place(failure.Offset), "%s", failure.Reason)
		return
	}
	found.Add("", "can't be read: %v", err)
}

func place(offset int) string {
	return fmt.Sprintf("byte %d", offset)
}

func startsObject(body []byte) bool {
	for _, char := range body {
		switch char {
		case ' ', '\t', '\r', '\n':
			continue
		}
		return char == '{'
	}
	return false
}
