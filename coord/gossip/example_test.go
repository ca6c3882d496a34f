package gossip_test

import (
	"fmt"
	"time"

	"gaugeslip/coord/gossip"
)

// After one exchange both stores have the newest version that either had.
func Example() {
	here, there := gossip.NewStore(), gossip.NewStore()
	_, _ = here.Set(gossip.Value{Key: "config", Version: gossip.Version{Major: 7}, Data: []byte("seven")})
	_, _ = there.Set(gossip.Value{Key: "view", Version: gossip.Version{Major: 2}, Data: []byte("two")})

	now := time.Second
	reply := there.HandleRequest(here.BeginExchange()) // in a program, the request and the reply go over the network
	learned, push := here.HandleReply(now, reply)
	if push != nil {
		_, answer, _ := there.HandlePush(now, *push)
		learned = append(learned, here.HandlePushReply(*push, answer)...)
	}

	fmt.Println(len(learned), "learned here; the same state:", here.Hash() == there.Hash())
	// Output: 1 learned here; the same state: true
}
