package settings

import (
	"strings"
	"testing"
	"time"

	"gaugeslip/policy"
)

func TestParse(t *testing.T) {
	s, err := Parse([]byte(`{"kinds":["k","l"],"localities":["y","z"],"locality":"z","unknown":1,
		"limits":{"conn-idle":30000.0,"most-held":9,"connect-timeout":0.25},"registry-mode":"ask",
		"family-info":{"class-stretch":[1.75,2],"class-kind":[1]},"report":{"how":"pull"},
		"profiles":[{"name":"a","effect":"fragile","on-time":1.5},{"name":"b","aim-stretch":3}]}`))
	if err != nil {
		t.Fatal(err)
	}
	c := s.Policy
	if s.MostHeld != 9 || s.ConnIdle != 30*time.Second || c.ConnectTimeout != 250*time.Microsecond || c.Zone != 1 ||
		!c.Ask || !c.ReportInProbes || c.ReportInAnswers || c.Kinds != 2 {
		t.Errorf("%+v", s)
	}
	a, b := c.Classes[0], c.Classes[1]
	if a.Effect != policy.Unsafe || a.OnTime != 1500*time.Microsecond || a.Stretch != 1.75 || a.Kind != 1 ||
		b.Stretch != 3 || b.Kind != -1 || s.Classes["b"] != 1 {
		t.Errorf("%+v", c.Classes)
	}
}

func TestParseNamesTheFaultyKey(t *testing.T) {
	for text, key := range map[string]string{
		`{"replicas-of-me":"x"}`:                          "replicas-of-me",
		`{"limits":{"most-held":-1}}`:                     "limits.most-held",
		`{"localities":["z"],"locality":"y"}`:             "locality",
		`{"profiles":[{"name":"a","effect":"often"}]}`:    "profiles.effect",
		`{"profiles":[{"name":"a","group":"everybody"}]}`: "profiles.group",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.HasPrefix(err.Error(), key) {
			t.Errorf("%s: %v, want it to begin with %s", text, err, key)
		}
	}
}

// HTTP and the simulator's protocol have different names for some values of a load report.
func TestSetLoad(t *testing.T) {
	for _, names := range [][]string{{"q", "rif", "x0", "busy", "lat_ms"},
		{"queue", "inflight", "x0", "util", "latency_ms"}} {
		s, l := &Settings{freeSlots: true}, NoLoad()
		for i, name := range append(names, "news") {
			s.SetLoad(&l, name, float64(i+1))
		}
		if l != (policy.Load{Queue: 1, InFlight: 2, FreeSlots: 3, Busy: 4, Latency: 5 * time.Millisecond}) {
			t.Errorf("%v: %+v", names, l)
		}
	}
	s, err := Parse([]byte(`{"family-info":{"report-x0":"free memory"}}`))
	if err != nil {
		t.Fatal(err)
	}
	l := NoLoad()
	if s.SetLoad(&l, "x0", 3); l != NoLoad() {
		t.Errorf("free memory taken for free slots: %+v", l)
	}
}
