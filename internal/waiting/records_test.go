package waiting

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fact is what an observer knows once a number of records are stored.
type fact struct {
	kept int
	name string
	end  State // the final state; or 0
	sent bool  // it must not run twice, and may run from here on
	back bool  // it provably did not run
}

// history runs a recording queue with random events. It returns the records, and what was observed at which record.
func history(t *testing.T, seed uint64) (records []Record, facts []fact, now time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 3))
	b := newHarness(t, nil)
	b.queue.Record()
	names, classes, out := map[uint64]string{}, map[uint64]int{}, []uint64(nil)
	accepted := map[uint64]bool{}
	look := func() {
		records = append(records, b.queue.Records()...)
		for _, a := range b.queue.Actions() {
			n := a.Job.Number
			switch a.Kind {
			case Accept:
				accepted[n] = true
				facts = append(facts, fact{kept: len(records), name: names[n]})
			case Release:
				out = append(out, n)
			case Answer:
				if !accepted[n] { // it was not accepted
					continue
				}
				for s := Served; s <= Cancelled; s++ {
					if want := map[State]int{Refused: 429, Failed: 424, Cancelled: 410}[s]; want == a.Status {
						facts = append(facts, fact{kept: len(records), name: names[n], end: s})
					}
				}
			}
		}
	}
	for range 150 {
		switch rng.IntN(4) {
		case 0, 1:
			b.next++
			j := Job{Number: b.next, Name: fmt.Sprint("j", b.next), Client: "c", Class: rng.IntN(2), Arrived: b.now,
				NotBefore: b.now + time.Duration(rng.IntN(3000))*ms}
			if b.next > 3 && rng.IntN(2) == 0 {
				j.After = []string{fmt.Sprint("j", 1+rng.IntN(int(b.next)-1))}
			}
			names[j.Number], classes[j.Number] = j.Name, j.Class
			b.queue.Submit(b.now, &j)
		case 2:
			b.now += time.Duration(rng.IntN(1500)) * ms
			b.queue.Tick(b.now)
		case 3:
			if len(out) == 0 {
				continue
			}
			k := rng.IntN(len(out))
			n := out[k]
			out = append(out[:k], out[k+1:]...)
			if b.queue.active[n] == 0 {
				continue
			}
			b.queue.JobSent(b.now, n)
			look()
			facts = append(facts, fact{kept: len(records), name: names[n], sent: classes[n] == 1})
			switch rng.IntN(3) {
			case 0:
				b.queue.SendEnded(b.now, n, OK, []byte("r"))
				look()
				facts = append(facts, fact{kept: len(records), name: names[n], end: Served})
			case 1:
				b.queue.SendEnded(b.now, n, NeverRan, nil)
				look()
				facts = append(facts, fact{kept: len(records), name: names[n], back: true})
				b.queue.JobRefused(b.now, n)
			case 2:
				b.queue.SendEnded(b.now, n, MayHaveRun, nil)
				if !b.queue.repeatable(b.queue.entries.at(b.queue.active[n])) {
					b.queue.JobFailed(b.now, n)
				}
			}
		}
		look()
	}
	return records, facts, b.now
}

// A crash after any record: every accepted job is known afterwards, final states are unchanged, a job that must not run
// twice and may have run has failed and gets no turn, and all others get their turn.
func TestRestoreAfterEveryRecord(t *testing.T) {
	points := 0
	for seed := range uint64(10) {
		records, facts, now := history(t, seed+1)
		for k := range len(records) + 1 {
			points++
			b := newHarness(t, nil)
			b.queue.Record()
			next := uint64(1 << 32)
			live, err := b.queue.Restore(now, func() uint64 { next++; return next }, func(each func(Record) error) error {
				for _, x := range records[:k] {
					if err := each(x); err != nil {
						return err
					}
				}
				return nil
			})
			if err != nil {
				t.Fatalf("seed %d, record %d: %v", seed+1, k, err)
			}
			unsafe, ends := map[string]bool{}, map[string]State{}
			for _, f := range facts {
				if f.kept > k {
					break
				}
				if b.queue.byName[f.name] == 0 {
					t.Fatalf("seed %d, record %d: %s is lost", seed+1, k, f.name)
				}
				if unsafe[f.name] = (unsafe[f.name] || f.sent) && !f.back; f.end != 0 {
					ends[f.name] = f.end
				}
			}
			for name, s := range ends {
				if got := b.queue.entries.at(b.queue.byName[name]).state; got != s {
					t.Fatalf("seed %d, record %d: %s was reported as %v and is %v", seed+1, k, name, s, got)
				}
			}
			b.now = now
			b.tick(4 * second)
			for range 200 { // every job that has a turn is served
				for _, n := range b.turns {
					e := b.queue.entries.at(b.queue.active[n])
					if b.queue.active[n] != 0 && unsafe[e.name] {
						t.Fatalf("seed %d, record %d: %s may have run and has another turn", seed+1, k, e.name)
					}
					b.queue.JobSent(b.now, n)
					b.queue.SendEnded(b.now, n, OK, nil)
				}
				b.turns = b.turns[:0]
				b.tick(50 * ms)
			}
			if b.queue.Held() != 0 {
				t.Fatalf("seed %d, record %d: %d of %d restored jobs did not end", seed+1, k, b.queue.Held(), len(live))
			}
		}
	}
	t.Logf("%d crash points", points)
}

// Invalid records are refused, and a queue that is in use cannot be restored.
func TestRestoreRefuses(t *testing.T) {
	load := func(x ...Record) func(func(Record) error) error {
		return func(each func(Record) error) error {
			for _, r := range x {
				if err := each(r); err != nil {
					return err
				}
			}
			return nil
		}
	}
	for name, x := range map[string]Record{"no promise": {Kind: Finished, Name: "a"}, "kind": {Kind: 99, Name: "a"}} {
		b := newHarness(t, nil)
		if _, err := b.queue.Restore(epoch, nil, load(x)); err == nil {
			t.Error(name)
		}
	}
	b := newHarness(t, nil)
	b.submit("a", nil)
	if _, err := b.queue.Restore(epoch, nil, load()); err == nil {
		t.Error("a room in use")
	}
}
