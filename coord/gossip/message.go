package gossip

// Request starts an exchange. Hash is the hash of the state of the sender.
type Request struct{ Hash uint64 }

// Reply answers a Request. It is empty if both stores have the same state.
type Reply struct {
	// Values are newer at the replying store than at the sender of the request.
	Values []Value
	// Announced are newer too, but too long to be sent without a request.
	Announced []KeyVersion
	// Unknown means that the replying store does not recognise the hash of the request. Digest then lists its whole state.
	Unknown bool
	Digest  []KeyVersion
}

// Push carries values, announces longer ones that the receiver may request, and requests the values in Wanted.
type Push struct {
	Values    []Value
	Announced []KeyVersion
	Wanted    []KeyVersion
}

// Empty reports whether the push has no content.
func (p *Push) Empty() bool {
	return len(p.Values) == 0 && len(p.Announced) == 0 && len(p.Wanted) == 0
}

// Bytes returns the length of the data that the push and its answer transfer, without announcements.
func (p *Push) Bytes() int {
	bytes := 0
	for _, value := range p.Values {
		bytes += len(value.Data)
	}
	for _, wanted := range p.Wanted {
		bytes += int(wanted.Size)
	}
	return bytes
}

// PushReply carries the values that a push requested.
type PushReply struct{ Values []Value }
