package jsonread

import (
	"testing"

	"github.com/mailru/easyjson/jlexer"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// pair is a value with two members. Its decoder works like the generated code.
type pair struct {
	left, right int
}

func (p *pair) UnmarshalEasyJSON(in *jlexer.Lexer) {
	in.Delim('{')
	for !in.IsDelim('}') {
		key := in.UnsafeFieldName(false)
		in.WantColon()
		switch key {
		case "left":
			p.left = in.Int()
		case "right":
			p.right = in.Int()
		default:
			in.SkipRecursive()
		}
		in.WantComma()
	}
	in.Delim('}')
	in.Consumed()
}

func TestAnObjectIsRead(t *testing.T) {
	var got pair
	found := Object([]byte(" \n{\"left\":1,\"other\":{\"x\":[null]},\"right\":2}\t"), &got)
	require.Empty(t, found)
	assert.Equal(t, pair{left: 1, right: 2}, got)
}

func TestEveryMemberOfAWrongTypeIsFound(t *testing.T) {
	var got pair
	found := Object([]byte(`{"left":"x","right":true}`), &got)
	require.Len(t, found, 2)
	assert.Equal(t, "byte 8", found[0].Place)
	assert.Equal(t, "byte 20", found[1].Place)
}

func TestNonObjectsAreReported(t *testing.T) {
	for _, body := range []string{"", "  ", "null", "[]", `"{}"`, "7", "{", `{"left":1`, `{"left":1}x`, `{"left":1} {}`, `{"left" 1}`} {
		var got pair
		assert.NotEmpty(t, Object([]byte(body), &got), "%q", body)
	}
}
