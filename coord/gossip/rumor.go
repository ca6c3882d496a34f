package gossip

import (
	"math/rand/v2"
	"slices"
)

const (
	// Fanout is how many peers a newly learned value is pushed to.
	Fanout = 3
	// MaxRumorBytes is the longest data of a value that is pushed unasked; longer ones are announced.
	MaxRumorBytes = 1 << 10
)

// Rumor returns the push that spreads newly learned values. Of two versions of one key only the newer one goes out.
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

func superseded(value Value, later []Value) bool {
	return slices.ContainsFunc(later, func(other Value) bool { return other.Key == value.Key })
}

// PushTargets draws up to Fanout of the peers for a rumor, leaving out the one that it came from. It reorders peers.
func PushTargets(peers []string, source string, random *rand.Rand) []string {
	peers = slices.DeleteFunc(peers, func(address string) bool { return address == source })
	random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), Fanout)]
}
