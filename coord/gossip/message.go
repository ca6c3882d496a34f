package gossip

// Request begins an exchange: the hash of all that the sender has.
type Request struct{ Hash uint64 }

// Reply answers a Request. It is empty if both have the same.
type Reply struct {
	// Values are newer here than at the sender of the request.
	Values []Value
	// Announced are newer here too, but too long to be sent unasked.
	Announced []KeyVersion
	// Unknown says that the sender's state isn't known here; Digest is then all that is here.
	Unknown bool
	Digest  []KeyVersion
}

// Push brings values, names longer ones that the receiver may ask for, and asks for what the sender wants.
type Push struct {
	Values    []Value
	Announced []KeyVersion
	Wanted    []KeyVersion
}

// Empty reports whether there is nothing in a push.
func (p *Push) Empty() bool {
	return len(p.Values) == 0 && len(p.Announced) == 0 && len(p.Wanted) == 0
}

// Bytes is the length of the data that goes to and fro for a push, announcements not counted.
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

// PushReply brings what a push wanted.
type PushReply struct{ Values []Value }
