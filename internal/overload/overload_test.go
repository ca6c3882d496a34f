package overload

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"gaugeslip/policy"
)

func TestCheck(t *testing.T) {
	d := Defaults()
	assert.NoError(t, d.Check())
	for key, change := range map[string]func(*Limits){
		"questions: ": func(l *Limits) { l.Questions = math.NaN() },
		"enter: ":     func(l *Limits) { l.Enter = 1.5 },
		"leave: ":     func(l *Limits) { l.Leave = l.Enter },
		"margin: ":    func(l *Limits) { l.Margin = -1 },
		"repeats: ":   func(l *Limits) { l.Repeats = math.Inf(1) },
		"floor: ":     func(l *Limits) { l.Floor = 0 },
	} {
		l := Defaults()
		change(&l)
		if err := l.Check(); assert.Error(t, err, key) {
			assert.True(t, strings.HasPrefix(err.Error(), key), err)
		}
	}
	var c policy.Config
	d.Apply(&c)
	assert.Equal(t, policy.Config{Questions: 2, KeepLanes: true, Margin: 4, Repeats: 0.2}, c)
}

// Load that wavers between the two marks turns the level once at most, whatever its order; beyond them it follows.
func TestLevelDoesNotFlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, now := NewLevel(Defaults()), time.Duration(0)
		feed := func(n int, share float64) {
			owed := 0.0
			for range n {
				now += 10 * time.Millisecond
				if owed += share; owed >= 1 {
					owed--
					v.RecordAnswer(now, true)
				} else {
					v.RecordAnswer(now, false)
				}
			}
		}
		feed(1000, 0)
		for range rapid.IntRange(1, 20).Draw(t, "waves") {
			feed(rapid.IntRange(100, 500).Draw(t, "answers"), rapid.Float64Range(0.08, 0.17).Draw(t, "share"))
		}
		if v.Changes() > 0 {
			t.Fatalf("%d turns between the marks", v.Changes())
		}
		feed(1000, 0.5)
		if on, _ := v.Current(now); !on || v.Changes() != 1 {
			t.Fatalf("overloaded %v after %d turns", on, v.Changes())
		}
		feed(1000, rapid.Float64Range(0.08, 1).Draw(t, "share"))
		if v.Changes() != 1 {
			t.Fatalf("%d turns above the lower mark", v.Changes())
		}
		feed(1500, 0)
		if on, share := v.Current(now); on || share > 0.01 || v.Changes() != 2 {
			t.Fatalf("overloaded %v, %v, after %d turns", on, share, v.Changes())
		}
	})
}

// A few refusals of a quiet dispatcher say nothing.
func TestLevelNeedsAnswers(t *testing.T) {
	v := NewLevel(Defaults())
	for i := range 20 {
		v.RecordAnswer(time.Duration(i)*5*time.Second, true)
	}
	on, share := v.Current(100 * time.Second)
	assert.False(t, on)
	assert.InDelta(t, 1, share, 0.01)
}
