package wire

import (
	"bytes"
	"strings"
	"testing"

	"gaugeslip/policy"
)

const testEnv = `{"family-info":{"class-stretch":[2.0],"tells-start":true,"report-x0":"free slots"},"kinds":["k"],` +
	`"limits":{"cancel":true,"max-attempts":3,"max-retry-after":2000.0},"localities":["z"],"locality":"z",` +
	`"ordinal":0,"replicas-of-me":1,"new-key":{"a":1},"profiles":[{"credit":2.0,"deadline":5000.0,` +
	`"effect":"retryable","name":"c","on-time":150.0}],"registry-mode":"push","report":{"fields":["x0"],` +
	`"how":"piggyback"},"value-by":"work"}`

const opening = "SYNC\t1000.0\nABOUT\t3\nINIT\t42\t" + testEnv + "\nMANIFEST\t0\t1\n" +
	"ITEM\t-\tz\t77\tReady\t0\t1\tk\nMEMBERS\t1\t0\twarm_copy\nOVER_TO_YOU\n"

func play(t *testing.T, in string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := NewHost(strings.NewReader(in), &out).Run()
	return out.String(), err
}

func TestGolden(t *testing.T) {
	in := "SYNC\t900.0\nOVER_TO_YOU\n" + opening +
		"SYNC\t1004.0\nABOUT\t3\nSUBMIT\t9\tc\t-\t91f03b7c55d20a64\t5000.0\t100.0\t1\t-\t0\t0\t0\nOVER_TO_YOU\n" +
		"SYNC\t1006.5\nABOUT\t3\nNOTICE\t9\t0\t77\t1\t0\nOVER_TO_YOU\n" +
		"SYNC\t1100.0\nABOUT\t3\nREPLY\t9\t-\t0\t1\tdelivered\t96.0\t77\t2\nOVER_TO_YOU\n" +
		// too late to be on time: 150 + 2 x 100, and 4000 of its 5000 ms have passed
		"SYNC\t1200.0\nABOUT\t3\nSUBMIT\t10\tc\t-\t-\t1000.0\t100.0\t1\t-\t1\t0\t0\nOVER_TO_YOU\n"
	out, err := play(t, in)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"NEXT\n", "NEXT\n", "AT\t3\nTRY\t9\t0\t77\n", "NEXT\n", "AT\t3\nTURN_AWAY\t10\t2000\n"}
	rest := out
	for _, w := range want {
		i := strings.Index(rest, w)
		if i < 0 {
			t.Fatalf("no %q in order in:\n%s", w, out)
		}
		rest = rest[i+len(w):]
	}
	if strings.Count(out, "NEXT\n") != 6 {
		t.Fatalf("six batches need six replies:\n%s", out)
	}
}

func TestBadInput(t *testing.T) {
	for _, c := range []struct{ in, say string }{
		{"SYNC\tabc\n", `SYNC: clock: bad value "abc"`},
		{"SYNC\t1\nHELLO\n", `unknown message "HELLO"`},
		{"OVER_TO_YOU\n", "not in its place"},
		{"SYNC\t1\nABOUT\t1\nALARM\t3\n", "instance 1 has not been started"},
		{"SYNC\t1\nALARM\t3\n", "no instance named"},
		{"SYNC\t1\nABOUT\t1\nINIT\t1\t{\"replicas-of-me\":\"x\"}\n", "replicas-of-me"},
		{"SYNC\t1\nABOUT\t1\nINIT\t1\t{}\n", "no classes"},
		{opening + "SYNC\t2\nABOUT\t3\nSUBMIT\t9\tnone\t-\t-\t1\t1\t1\t-\t0\t0\t0\n", `SUBMIT: qos: bad value "none"`},
		{opening + "SYNC\t2\nABOUT\t3\nSUBMIT\t9\tc\t-\n", "3 values where 11 belong"},
		{opening + "SYNC\t2\nABOUT\t3\nREPLY\t9\t-\t0\t1\tgood\t1\t77\t-\n", `REPLY: outcome: bad value "good"`},
		{opening + "SYNC\t2\nABOUT\t3\nMEMBERS\t1\t5\ttotal\n", "MEMBERS: set-id"},
		{opening + "SYNC\t2\nMANIFEST\t0\t2\nOVER_TO_YOU\n", "list entries are missing"},
		{opening + "SYNC\t2\nABOUT\t3", "input ends within a batch"},
	} {
		_, err := play(t, c.in)
		if err == nil || !strings.Contains(err.Error(), c.say) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.60q: error %v, want one line with %q", c.in, err, c.say)
		}
	}
}

// Two instances in one process behave as each would alone.
func TestIsolation(t *testing.T) {
	one, err := play(t, opening+"SYNC\t1004\nABOUT\t3\nSUBMIT\t9\tc\t-\t-\t5000\t100\t1\t-\t0\t0\t0\nOVER_TO_YOU\n")
	if err != nil {
		t.Fatal(err)
	}
	second := strings.ReplaceAll(opening, "ABOUT\t3", "ABOUT\t4")
	both, err := play(t, opening+second+"SYNC\t1004\nABOUT\t4\nSUBMIT\t8\tc\t-\t-\t5000\t100\t1\t-\t0\t0\t0\n"+
		"ABOUT\t3\nSUBMIT\t9\tc\t-\t-\t5000\t100\t1\t-\t0\t0\t0\nOVER_TO_YOU\n")
	if err != nil {
		t.Fatal(err)
	}
	mine := both[strings.LastIndex(both, "AT\t3\n"):]
	if alone := one[strings.LastIndex(one, "AT\t3\n"):]; mine != alone {
		t.Fatalf("with another instance %q, alone %q", mine, alone)
	}
}

func FuzzHost(f *testing.F) {
	f.Add(opening)
	f.Add(opening + "SYNC\t1004.0\nABOUT\t3\nREPLY\t9\t-\t0\t1\tdelivered\t96.0\t77\t2\nSHUTDOWN\nOVER_TO_YOU\n")
	f.Add("SYNC\t1\nABOUT\t1\nINIT\t1\t{\"profiles\":[{}]}\nOVER_TO_YOU\n")
	f.Fuzz(func(t *testing.T, in string) {
		var out bytes.Buffer
		err := NewHost(strings.NewReader(in), &out).Run()
		if s := out.String(); s != "" && !strings.HasSuffix(s, "NEXT\n") {
			t.Fatalf("partial reply %q, error %v", s, err)
		}
		if strings.Contains(out.String(), "EXCEPTION") {
			t.Fatalf("the module panicked: %q", out.String())
		}
	})
}

// A panic in the decision code is reported as EXCEPTION for that instance, and the reply stays complete.
func TestPanicBecomesException(t *testing.T) {
	var out bytes.Buffer
	h := NewHost(strings.NewReader(""), &out)
	broken := &instance{id: 5, d: &policy.Dispatcher{}, events: []policy.Event{{Kind: policy.JobArrived}}}
	h.batch = append(h.batch, broken)
	if err := h.reply(); err != nil {
		t.Fatal(err)
	}
	if s := out.String(); !strings.HasPrefix(s, "AT\t5\nEXCEPTION\t") || !strings.HasSuffix(s, "\nNEXT\n") ||
		strings.Count(s, "\n") != 3 {
		t.Fatalf("%q", s)
	}
}
