package budget

import (
	"encoding/binary"
	"errors"
	"time"
)

// A message on the wire has a byte for the version and one for the kind, then all fields in the order of Message. Numbers are varints,
// incarnations have eight bytes. A message has at most maxUnits budgets and maxMessageBytes bytes.
const (
	version         = 1
	maxUnits        = 64
	maxMessageBytes = 1024
)

// errMalformed is returned for malformed messages, which are counted and dropped.
var errMalformed = errors.New("budget: malformed message")

// Append appends the encoded message to b.
func Append(b []byte, m *Message) []byte {
	b = append(b, version, byte(m.Kind))
	b = binary.AppendUvarint(b, uint64(m.From))
	b = binary.AppendUvarint(b, uint64(m.To))
	b = binary.BigEndian.AppendUint64(b, m.Incarnation)
	b = binary.BigEndian.AppendUint64(b, m.Requester)
	b = binary.AppendUvarint(b, uint64(m.Ballot.N))
	b = binary.AppendUvarint(b, uint64(m.Ballot.Proposer))
	b = binary.BigEndian.AppendUint64(b, m.Ballot.Incarnation)
	open := byte(0)
	if m.Open {
		open = 1
	}
	b = append(b, open)
	b = binary.AppendUvarint(b, uint64(m.Seq))
	b = binary.AppendUvarint(b, uint64(m.Epoch))
	b = binary.AppendUvarint(b, uint64(m.TTL))
	b = binary.AppendUvarint(b, uint64(m.Leader+1))
	b = binary.AppendUvarint(b, uint64(len(m.Units)))
	for _, u := range m.Units {
		b = binary.AppendUvarint(b, uint64(u))
	}
	return b
}

// Read decodes a message. It returns an error if b is not exactly one message.
func Read(b []byte) (m Message, err error) {
	r := decoder{b: b}
	if len(b) > maxMessageBytes || r.byte() != version {
		return m, errMalformed
	}
	m.Kind = Kind(r.byte())
	m.From, m.To = int(r.uvarint(1<<16)), int(r.uvarint(1<<16))
	m.Incarnation, m.Requester = r.fixed64(), r.fixed64()
	m.Ballot = Ballot{N: uint32(r.uvarint(1 << 31)), Proposer: uint16(r.uvarint(1<<16 - 1)), Incarnation: r.fixed64()}
	open := r.byte()
	m.Open = open == 1
	m.Seq, m.Epoch = uint32(r.uvarint(1<<32-1)), uint32(r.uvarint(1<<32-1))
	m.TTL = time.Duration(r.uvarint(uint64(time.Hour)))
	m.Leader = int(r.uvarint(1<<16)) - 1
	n := r.uvarint(maxUnits)
	for range n {
		m.Units = append(m.Units, Units(r.uvarint(uint64(Whole))))
	}
	if r.bad || len(r.b) > 0 || m.Kind == 0 || m.Kind >= kindEnd || open > 1 {
		return Message{}, errMalformed
	}
	return m, nil
}

// decoder reads fields from the front of a message.
type decoder struct {
	b   []byte
	bad bool
}

func (r *decoder) byte() byte {
	if len(r.b) == 0 {
		r.bad = true
		return 0
	}
	x := r.b[0]
	r.b = r.b[1:]
	return x
}

func (r *decoder) fixed64() uint64 {
	if len(r.b) < 8 {
		r.bad, r.b = true, nil
		return 0
	}
	x := binary.BigEndian.Uint64(r.b)
	r.b = r.b[8:]
	return x
}

func (r *decoder) uvarint(most uint64) uint64 {
	x, n := binary.Uvarint(r.b)
	if n <= 0 || x > most {
		r.bad, r.b = true, nil
		return 0
	}
	r.b = r.b[n:]
	return x
}
