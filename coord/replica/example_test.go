package replica_test

import (
	"fmt"
	"time"

	"gaugeslip/coord/replica"
	"gaugeslip/coord/view"
)

// embedder is the program around a replica: a disk and a network. Here everything that is stored is safe at once.
type embedder struct {
	core *replica.Replica
	now  time.Duration
}

// carryOut does what the core asks for, and prints the committed entries.
func (e *embedder) carryOut(output replica.Output) {
	for _, entry := range output.Committed {
		if len(entry.Data) > 0 {
			fmt.Println(entry.Index, string(entry.Data))
		}
	}
	if len(output.Persist) > 0 { // append output.Persist to a log and sync it; then:
		e.carryOut(e.core.Step(e.now, replica.Synced{Token: output.Token}))
	}
}

// A cluster of one replica gets its lease and commits two entries.
func Example() {
	self := view.Member{ID: "a", Address: "10.0.0.1:7660"}
	genesis := view.View{Voters: []view.Member{self}, Chain: []view.Member{self}}
	config := replica.Config{Self: self, Genesis: &genesis, Seed: 1}
	e := &embedder{core: replica.New(config, replica.Persisted{}, time.Second), now: time.Second}
	for !e.core.IsHead(e.now) {
		e.now += 10 * time.Millisecond
		e.carryOut(e.core.Step(e.now, replica.Tick{}))
	}
	_, output, err := e.core.Propose(e.now, [][]byte{[]byte("first"), []byte("second")})
	e.carryOut(output)
	fmt.Println(err)
	// Output:
	// 1 first
	// 2 second
	// <nil>
}
