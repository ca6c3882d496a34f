package invariant

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestViolationsAreCountedByName(t *testing.T) {
	var told []string
	s := NewSet(func(name Name, detail string) { told = append(told, string(name)+": "+detail) }, "b", "a")
	for i := range 5 {
		s.Violated("a", "time %d", i+1)
	}
	s.Violated("new", "once")
	assert.Equal(t, []Count{{"a", 5}, {"b", 0}, {"new", 1}}, s.Counts())
	assert.Equal(t, []string{"a: time 1", "a: time 2", "a: time 4", "new: once"}, told, "the first, and powers of two")
}

func TestWithoutASetAViolationPanics(t *testing.T) {
	var s *Set
	assert.PanicsWithValue(t, "invariant broken: a: it fell from 2 to 1", func() { s.Violated("a", "it fell from %d to %d", 2, 1) })
	assert.Empty(t, s.Counts())
}
