package chain_test

import (
	"fmt"
	"time"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// machine provides what a program needs around a Chain: a disk and a network. Here everything stored is on disk at once.
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

// work handles the received messages and reports to the chain that everything it stored is on disk.
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

// In a chain of two replicas an entry is committed once both have it on disk.
func Example() {
	head, tail := &machine{member: view.Member{ID: "head"}}, &machine{member: view.Member{ID: "tail"}}
	head.other, tail.other = tail, head
	head.chain = chain.New(chain.Config{Life: 1, KeepEntries: 100, KeepBytes: 1 << 20}, head, chain.Log{})
	tail.chain = chain.New(chain.Config{Life: 2, KeepEntries: 100, KeepBytes: 1 << 20}, tail, chain.Log{})
	now := time.Second
	head.chain.EnterView(now, chain.Role{Epoch: 1, Head: true, Downstream: &tail.member})
	tail.chain.EnterView(now, chain.Role{Epoch: 1, Upstream: head.member})

	head.chain.Append(now, [][]byte{[]byte("set x=1")})
	for head.chain.Committed() < 1 || tail.chain.Committed() < 1 {
		now += 10 * time.Millisecond
		head.work(now)
		tail.work(now)
		head.chain.Commit(now) // the caller holds the lease
	}
	// Output:
	// head 1 set x=1
	// tail 1 set x=1
}
