package dataplane

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestClientWait(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	for _, each := range []struct {
		text string
		wait time.Duration
		ok   bool
	}{
		{"3000", 3 * time.Second, true},
		{"1500.5", 1500*time.Millisecond + 500*time.Microsecond, true},
		{"2s", 2 * time.Second, true},
		{"750ms", 750 * time.Millisecond, true},
		{strconv.FormatInt(now.UnixMilli()+1200, 10), 1200 * time.Millisecond, true},
		{strconv.FormatInt(now.UnixMilli()-1200, 10), 0, false},
		{"1e30", maxWait, true},
		{"99999999999", maxWait, true},
		{"0", 0, false},
		{"-5", 0, false},
		{"", 0, false},
		{"soon", 0, false},
		{"NaN", 0, false},
		{"-Inf", 0, false},
	} {
		wait, ok := clientWait(each.text, now)
		assert.Equal(t, each.ok, ok, each.text)
		if ok {
			assert.Equal(t, each.wait, wait, each.text)
		}
	}
}
