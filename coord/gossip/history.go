package gossip

import "slices"

// historyLength is the number of recent changes for which the state of another store is recognised by its hash.
const historyLength = 32

// history holds the latest changes of a store, oldest first.
type history struct{ changes []change }

// change is one update of a value: its key, and the hash of the store before the update.
type change struct {
	before uint64
	key    Key
}

// record adds a change. If the history is full, it drops the oldest one.
func (h *history) record(before uint64, key Key) {
	if len(h.changes) == historyLength {
		h.changes = slices.Delete(h.changes, 0, 1)
	}
	h.changes = append(h.changes, change{before: before, key: key})
}

// since returns the keys that have changed since the store had the hash, each key once, and whether the history contains that hash. A
// store never returns to an older version, so no hash occurs twice.
func (h *history) since(hash uint64) (keys []Key, known bool) {
	at := slices.IndexFunc(h.changes, func(c change) bool { return c.before == hash })
	if at < 0 {
		return nil, false
	}
	for _, each := range h.changes[at:] {
		if !slices.Contains(keys, each.key) {
			keys = append(keys, each.key)
		}
	}
	return keys, true
}
