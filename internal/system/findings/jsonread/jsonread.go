// Package jsonread decodes one JSON object with easyjson's generated code and reports everything that can't be decoded.
package jsonread

import (
	"fmt"

	"github.com/mailru/easyjson"
	"github.com/mailru/easyjson/jlexer"

	"gaugeslip/internal/system/findings"
)

// Object decodes body into value. The body must be one JSON object; only white space may surround it. Unknown members are skipped. A member
// of the wrong type is a finding, and decoding continues with the next member.
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
