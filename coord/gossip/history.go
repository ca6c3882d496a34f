package gossip

import "slices"

// historyLength is how many changes back another's state is recognised by its hash.
const historyLength = 32

// history is the last changes of a store, the oldest first.
type history struct{ changes []change }

// change is one newer value: its key, and the hash of the store before it.
type change struct {
	before uint64
	key    Key
}

func (h *history) record(before uint64, key Key) {
	if len(h.changes) == historyLength {
		h.changes = slices.Delete(h.changes, 0, 1)
	}
	h.changes = append(h.changes, change{before: before, key: key})
}

// since returns the keys that have changed since the store had a hash, each once, and whether it is known to have had it. A
// store never goes back, so that no hash comes twice.
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
