package gossip

import "time"

// MaxReplyBytes is the longest data of a value that goes out unasked to a peer that is known to lack it.
const MaxReplyBytes = 16 << 10

// BeginExchange starts an exchange with any peer.
func (s *Store) BeginExchange() Request { return Request{Hash: s.hash} }

// HandleRequest answers an exchange that another began.
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

// HandleReply goes on with an exchange begun here. It returns what was news, and what to push to the peer, if anything.
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

// HandlePush takes in a push. It returns what was news, the answer, and what to ask of the pusher in a push of its own, if
// anything.
func (s *Store) HandlePush(now time.Duration, push Push) (learned []Value, reply PushReply, pull *Push) {
	learned = s.learnAll(push.Values)
	reply.Values = s.valuesFor(push.Wanted)
	if wanted := s.startPulls(now, push.Announced); len(wanted) > 0 {
		pull = &Push{Wanted: wanted}
	}
	return learned, reply, pull
}

// HandlePushReply takes in the answer to a push and returns what was news.
func (s *Store) HandlePushReply(push Push, reply PushReply) (learned []Value) {
	learned = s.learnAll(reply.Values)
	s.AbandonPush(push)
	return learned
}

// AbandonPush ends a push that gets no answer: what it wanted may be asked for elsewhere at once.
func (s *Store) AbandonPush(push Push) {
	for _, wanted := range push.Wanted {
		s.pulls.cancel(wanted)
	}
}

// valuesFor returns the values that a peer wants, in the version wanted or a newer one.
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

// splitBySize returns the values of keys that are short enough to be sent at once, and the names of the others.
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
