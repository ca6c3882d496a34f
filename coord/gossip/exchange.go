package gossip

import "time"

// MaxReplyBytes is the maximum length of the data of a value that is sent without a request to a peer that is known to lack it.
const MaxReplyBytes = 16 << 10

// BeginExchange returns the request that starts an exchange with any peer.
func (s *Store) BeginExchange() Request { return Request{Hash: s.hash} }

// HandleRequest answers the request of another store.
func (s *Store) HandleRequest(request Request) Reply {
	if request.Hash == s.hash {
		return Reply{}
	}
	keys, known := s.history.since(request.Hash)
	if !known {
		return Reply{Unknown: true, Digest: s.Digest()}
	}
	values, announced := s.splitBySize(keys, MaxReplyBytes)
	return Reply{Values: values, Announced: announced}
}

// HandleReply handles the reply to a request of this store. It returns the values that were newer, and the push to send to the peer, or nil
// if there is nothing to send.
func (s *Store) HandleReply(now time.Duration, reply Reply) (learned []Value, push *Push) {
	learned = s.learnAll(reply.Values)
	push = &Push{Wanted: s.startPulls(now, reply.Announced)}
	if reply.Unknown {
		push.Wanted = append(push.Wanted, s.startPulls(now, reply.Digest)...)
		push.Values, push.Announced = s.splitBySize(s.newerThan(reply.Digest), MaxReplyBytes)
	}
	if push.Empty() {
		return learned, nil
	}
	return learned, push
}

// HandlePush handles a push. It returns the values that were newer, the answer, and the push that requests announced values from the
// sender, or nil if there is nothing to request.
func (s *Store) HandlePush(now time.Duration, push Push) (learned []Value, reply PushReply, pull *Push) {
	learned = s.learnAll(push.Values)
	reply.Values = s.valuesFor(push.Wanted)
	if wanted := s.startPulls(now, push.Announced); len(wanted) > 0 {
		pull = &Push{Wanted: wanted}
	}
	return learned, reply, pull
}

// HandlePushReply handles the answer to a push and returns the values that were newer.
func (s *Store) HandlePushReply(push Push, reply PushReply) (learned []Value) {
	learned = s.learnAll(reply.Values)
	s.AbandonPush(push)
	return learned
}

// AbandonPush ends a push without an answer. The values that it requested may then be requested from other peers at once.
func (s *Store) AbandonPush(push Push) {
	for _, wanted := range push.Wanted {
		s.pulls.cancel(wanted)
	}
}

// valuesFor returns the values that a peer requests, in the requested version or a newer one.
func (s *Store) valuesFor(wanted []KeyVersion) (values []Value) {
	for _, each := range wanted {
		if value, ok := s.values[each.Key]; ok && !each.Version.Newer(value.Version) {
			values = append(values, value)
		}
	}
	return values
}

// newerThan returns the keys that a digest lacks or has in an older version.
func (s *Store) newerThan(digest []KeyVersion) (keys []Key) {
	remote := make(map[Key]Version, len(digest))
	for _, each := range digest {
		remote[each.Key] = each.Version
	}
	for _, key := range s.keys {
		if s.values[key].Version.Newer(remote[key]) {
			keys = append(keys, key)
		}
	}
	return keys
}

// splitBySize returns the values of the keys with at most maxBytes of data, and the versions of the longer ones, to be announced.
func (s *Store) splitBySize(keys []Key, maxBytes int) (values []Value, announced []KeyVersion) {
	for _, key := range keys {
		value := s.values[key]
		if len(value.Data) > maxBytes {
			announced = append(announced, value.KeyVersion())
			continue
		}
		values = append(values, value)
	}
	return values, announced
}
