package gossip

import (
	"math/rand/v2"
	"slices"
)

const (
	// Fanout is the number of peers to which a newly learned value is pushed.
	Fanout = 3
	// MaxRumorBytes is the maximum length of the data of a value that is pushed without a request. Longer values are announced.
	MaxRumorBytes = 1 << 10
)

// Rumor returns the push that spreads newly learned values. Of two versions of one key it contains only the later one in the slice.
func Rumor(learned []Value) Push {
	var push Push
	for i, value := range learned {
		if superseded(value, learned[i+1:]) {
			continue
		}
		if len(value.Data) > MaxRumorBytes {
			push.Announced = append(push.Announced, value.KeyVersion())
			continue
		}
		push.Values = append(push.Values, value)
	}
	return push
}

// superseded reports whether one of the later values has the same key.
func superseded(value Value, later []Value) bool {
	return slices.ContainsFunc(later, func(other Value) bool { return other.Key == value.Key })
}

// PushTargets selects up to Fanout random peers for a rumor, excluding the peer that sent it. It reorders peers.
func PushTargets(peers []string, source string, random *rand.Rand) []string {
	peers = slices.DeleteFunc(peers, func(address string) bool { return address == source })
	random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), Fanout)]
}
