package settings

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"
	"time"

	"gaugeslip/policy"
)

// allKeys are settings with every key that is read, with unusual but valid names among them.
const allKeys = `{"accounts":[{"name":"Süd, & Co.","quota-per-s":3.5}],"clients":{"marks-retry":true},
"family-info":{"class-kind":[-1,1],"class-stretch":[1.5,2.5],"progress":500.0,"report-x0":"free slots","tells-start":true},
"kinds":["a b","c/d"],"limits":{"cancel":true,"conn-idle":6000.0,"connect-timeout":150.0,"max-attempts":3,
"max-retry-after":800.0,"most-held":50,"probes":true,"retry-after":true,"second-copies":false},
"localities":["x","y"],"locality":"y","ordinal":1,"replicas-of-me":3,"over-share-worth":0.1,
"prices":{"cross-zone":0.01,"probe":0.004,"waste":0.04},
"profiles":[{"aim-stretch":1.0,"credit":4.0,"deadline":900.0,"effect":"fragile","group":"all","key-ttl":100.0,
"name":"a.b~c","on-time":200.0},{"credit":40.0,"deadline":60000.0,"effect":"dedup","group":"zone","key-ttl":5000.0,
"name":"jobs","on-time":5000.0}],"registry-mode":"ask","report":{"fields":["q","x0"],"how":"piggyback"},
"rules":{"grace-to-answer":8.0,"ask-within":4000.0,"cold-from":0.3,"warm-up":6000.0,"drain-grace":500.0,
"tip-multiple":5.0,"overload-for":1000.0},"tick":2.0,"value-by":"request"}`

// Each key may be missing: a dispatcher starts, or reports which key it needs. A job of each class is then sent, refused, or probed
// for, and has its answer by its deadline.
func TestAnyKeyMayBeMissing(t *testing.T) {
	var all map[string]any
	if err := json.Unmarshal([]byte(allKeys), &all); err != nil {
		t.Fatal(err)
	}
	tried := 0
	var each func(at map[string]any, path string)
	try := func(path string) {
		tried++
		text, _ := json.Marshal(all)
		s, err := Parse(text)
		if err != nil {
			t.Errorf("without %s: %v", path, err)
			return
		}
		d, err := policy.New(s.Policy, 1)
		if err != nil {
			if path != "profiles" && path != "replicas-of-me" && path != "kinds" { // a number without its count
				t.Errorf("without %s: %v", path, err)
			}
			return
		}
		for class := range s.Policy.Classes {
			job, done := uint64(class+1), false
			in := []policy.Event{{Kind: policy.WorkerList, Whole: true, Workers: []policy.Worker{{ID: 1, Scale: 1, Kind: 0}, {ID: 2, Scale: 1, Kind: 1}}},
				{Kind: policy.JobArrived, Job: job, Class: class, Tenant: -1, Budget: 10 * time.Second, Slots: 1}}
			attempts := 0
			for now := time.Hour; now < time.Hour+12*time.Second && !done; now += 10 * time.Millisecond {
				out := d.Step(now, in, nil)
				in = in[:0]
				for _, a := range out {
					switch a.Kind {
					case policy.Send:
						in = append(in, policy.Event{Kind: policy.AttemptEnded, Job: job, Attempt: attempts, Worker: a.Worker, Result: policy.OK, Finished: true})
						attempts, done = attempts+1, true
					case policy.Refuse, policy.Fail:
						done = true
					case policy.Probe:
						in = append(in, policy.Event{Kind: policy.ProbeEnded, Worker: a.Worker, Result: policy.OK})
					}
				}
				in = append(in, policy.Event{Kind: policy.TimerFired})
			}
			if !done {
				t.Errorf("without %s: class %d has no answer", path, class)
			}
		}
	}
	each = func(at map[string]any, path string) {
		for _, key := range slices.Sorted(maps.Keys(at)) {
			v := at[key]
			delete(at, key)
			try(path + key)
			at[key] = v
			switch v := v.(type) {
			case map[string]any:
				each(v, path+key+".")
			case []any:
				for _, x := range v {
					if m, ok := x.(map[string]any); ok {
						each(m, path+key+".")
					}
				}
			}
		}
	}
	try("nothing")
	each(all, "")
	if tried < 60 {
		t.Errorf("only %d keys tried", tried)
	}
}
