package replica

import (
	"time"

	"gaugeslip/coord/chain"
	"gaugeslip/coord/view"
)

// environment is a Replica as its chain sees it.
type environment Replica

func (e *environment) Send(to view.Member, body *chain.Body) {
	(*Replica)(e).send(to, &Message{Chain: body})
}

func (e *environment) Store(entries []chain.Entry) {
	for _, entry := range entries {
		(*Replica)(e).store(encodeEntry(entry))
	}
}

func (e *environment) StoreTruncate(index uint64) { (*Replica)(e).store(encodeTruncate(index)) }

func (e *environment) StoreSnapshot(snapshot chain.Snapshot) {
	for _, record := range encodeSnapshot(snapshot) {
		(*Replica)(e).store(record)
	}
}

func (e *environment) Deliver(entries []chain.Entry) {
	if e.out.Committed == nil {
		e.out.Committed = entries
		return
	}
	e.out.Committed = append(e.out.Committed, entries...)
}

func (e *environment) Install(snapshot chain.Snapshot) {
	e.out.Install = &snapshot
	e.out.Committed = nil
}

func (e *environment) Fail(err error) { (*Replica)(e).fail(err) }

func (r *Replica) fail(err error) {
	if r.out.Fault == nil {
		r.out.Fault = err
	}
}

func (r *Replica) store(record Record) {
	if !r.diskFailed {
		r.out.Persist = append(r.out.Persist, record)
	}
}

// storeCommitted adds the committed index to the records that are on their way to disk, so that the next incarnation can apply the
// entries up to it before it contacts another replica. It is not worth a write of its own: what the last records lack is learned from the
// head.
func (r *Replica) storeCommitted() {
	if committed := r.chain.Committed(); len(r.out.Persist) > 0 && committed > r.storedCommitted {
		r.storedCommitted = committed
		r.store(encodeCommitted(committed))
	}
}

// pendingToken returns the token with which everything stored so far will be on disk.
func (r *Replica) pendingToken() uint64 {
	if len(r.out.Persist) > 0 {
		return r.lastToken + 1
	}
	return r.lastToken
}

// send sends a message at once.
func (r *Replica) send(to view.Member, m *Message) {
	m.From = r.self
	m.To = to.ID
	m.Epoch = r.view.Epoch
	m.Viewless = !r.view.Known()
	r.post(to, m)
}

func (r *Replica) post(to view.Member, m *Message) {
	if to.ID == r.self.ID {
		r.localMessages = append(r.localMessages, m)
		return
	}
	r.out.Send = append(r.out.Send, Envelope{To: to.Address, Message: m})
}

// sendAfterSync sends a message once everything stored so far is on disk. With a failed disk it sends nothing.
func (r *Replica) sendAfterSync(to view.Member, m *Message) {
	token := r.pendingToken()
	if r.diskFailed {
		return
	}
	if r.syncedToken >= token {
		r.send(to, m)
		return
	}
	m.From, m.To, m.Epoch = r.self, to.ID, r.view.Epoch
	r.heldMessages = append(r.heldMessages, heldMessage{token, to, m})
}

func (r *Replica) onSynced(now time.Duration, token uint64) {
	if r.diskFailed || token <= r.syncedToken {
		return
	}
	r.slowestSync.record(now, r.diskIdle(now))
	r.syncedToken, r.lastSyncAt = token, now
	r.releaseWrites(token)
	r.releaseHeld(token)
	r.chain.SyncedTo(now, token)
	if !r.entered && r.view.Known() && r.enterToken <= token {
		r.enterView(now)
	}
}

func (r *Replica) releaseWrites(token uint64) {
	done := 0
	for done < len(r.pendingWrites) && r.pendingWrites[done].token <= token {
		done++
	}
	r.pendingWrites = append(r.pendingWrites[:0], r.pendingWrites[done:]...)
}

func (r *Replica) releaseHeld(token uint64) {
	done := 0
	for done < len(r.heldMessages) && r.heldMessages[done].token <= token {
		r.post(r.heldMessages[done].to, r.heldMessages[done].message)
		done++
	}
	r.heldMessages = append(r.heldMessages[:0], r.heldMessages[done:]...)
}

// Compact returns the records that replace all that were handed out so far, where snapshot is the state after all delivered entries up to
// index. Once they are on disk, Synced may be reported with the last token. It returns nil if the log does not hold the index, or the
// index is not committed.
func (r *Replica) Compact(snapshot []byte, index uint64) []Record {
	log := r.chain.Log()
	epoch, ok := log.EpochAt(index)
	if !ok || index > r.chain.Committed() {
		return nil
	}
	records := []Record{encodeIdentity(r.self.ID)}
	if r.view.Known() {
		records = append(records, encodeView(r.view), encodeAcceptor(r.acceptor))
	}
	records = append(records, encodeSnapshot(chain.Snapshot{Index: index, Epoch: epoch, Data: snapshot})...)
	rest, _ := log.Slice(index+1, int(^uint(0)>>1))
	for _, entry := range rest {
		records = append(records, encodeEntry(entry))
	}
	return append(records, encodeCommitted(r.chain.Committed()))
}
