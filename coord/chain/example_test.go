package chain_test

import (
	"fmt"
	"time"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// machine is what a program has round a chain: a disk and a network; here all that is stored is safe at once.
type machine struct {
	member view.Member
	chain  *chain.Chain
	other  *machine
	token  uint64
	inbox  []*chain.Body
}

func (m *machine) Send(_ view.Member, body *chain.Body) { m.other.inbox = append(m.other.inbox, body) }
func (m *machine) Store([]chain.Entry)                  {}
func (m *machine) StoreTruncate(uint64)                 {}
func (m *machine) StoreSnapshot(chain.Snapshot)         {}
func (m *machine) Install(chain.Snapshot)               {}
func (m *machine) Fail(err error)                       { fmt.Println(err) }

func (m *machine) Deliver(entries []chain.Entry) {
	for _, entry := range entries {
		fmt.Println(m.member.ID, entry.Index, string(entry.Data))
	}
}

// work takes in what came and tells the chain that all it stored is on disk.
func (m *machine) work(now time.Duration) {
	inbox := m.inbox
	m.inbox = nil
	for _, body := range inbox {
		m.chain.Receive(now, m.other.member, body)
	}
	m.token++
	m.chain.AssignSyncToken(m.token)
	m.chain.SyncedTo(now, m.token)
	m.chain.Tick(now)
}

// A chain of two: an entry is committed once both have it on disk.
func Example() {
	head, tail := &machine{member: view.Member{ID: "head"}}, &machine{member: view.Member{ID: "tail"}}
	head.other, tail.other = tail, head
	head.chain = chain.New(chain.Config{Life: 1, KeepEntries: 100, KeepBytes: 1 << 20}, head, chain.Log{})
	tail.chain = chain.New(chain.Config{Life: 2, KeepEntries: 100, KeepBytes: 1 << 20}, tail, chain.Log{})
	now := time.Second
	head.chain.EnterView(now, chain.Role{Epoch: 1, Head: true, Downstream: &tail.member})
	tail.chain.EnterView(now, chain.Role{Epoch: 1, Upstream: head.member})

	head.chain.Append(now, [][]byte{[]byte("plough")})
	for head.chain.Committed() < 1 || tail.chain.Committed() < 1 {
		now += 10 * time.Millisecond
		head.work(now)
		tail.work(now)
		head.chain.Commit(now) // the caller holds the lease
	}
	// Output:
	// head 1 plough
	// tail 1 plough
}
