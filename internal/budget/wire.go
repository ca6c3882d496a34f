package budget

import (
	"encoding/binary"
	"errors"
	"time"
)

// The form of a message on the wire: a byte for the version and one for the kind, then all fields in the order of Message, numbers
// as varints, lives in eight bytes. A message holds mostUnits budgets and mostBytes at the most.
const (
	version   = 1
	mostUnits = 64
	mostBytes = 1024
)

// errMessage is a message that can't be read. What it was is of no use to anyone: it is counted and dropped.
var errMessage = errors.New("budget: not a message")

// Append puts a message's form at the end of b.
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

// Read reads a message. Whatever is not exactly one is an error.
func Read(b []byte) (m Message, err error) {
	r := form{b: b}
	if len(b) > mostBytes || r.byte() != version {
		return m, errMessage
	}
	m.Kind = Kind(r.byte())
	m.From, m.To = int(r.number(1<<16)), int(r.number(1<<16))
	m.Incarnation, m.Requester = r.eight(), r.eight()
	m.Ballot = Ballot{N: uint32(r.number(1 << 31)), Proposer: uint16(r.number(1<<16 - 1)), Incarnation: r.eight()}
	open := r.byte()
	m.Open = open == 1
	m.Seq, m.Epoch = uint32(r.number(1<<32-1)), uint32(r.number(1<<32-1))
	m.TTL = time.Duration(r.number(uint64(time.Hour)))
	m.Leader = int(r.number(1<<16)) - 1
	n := r.number(mostUnits)
	for range n {
		m.Units = append(m.Units, Units(r.number(uint64(Whole))))
	}
	if r.bad || len(r.b) > 0 || m.Kind == 0 || m.Kind >= kinds || open > 1 {
		return Message{}, errMessage
	}
	return m, nil
}

// form reads fields off the front of a message.
type form struct {
	b   []byte
	bad bool
}

func (r *form) byte() byte {
	if len(r.b) == 0 {
		r.bad = true
		return 0
	}
	x := r.b[0]
	r.b = r.b[1:]
	return x
}

func (r *form) eight() uint64 {
	if len(r.b) < 8 {
		r.bad, r.b = true, nil
		return 0
	}
	x := binary.BigEndian.Uint64(r.b)
	r.b = r.b[8:]
	return x
}

func (r *form) number(most uint64) uint64 {
	x, n := binary.Uvarint(r.b)
	if n <= 0 || x > most {
		r.bad, r.b = true, nil
		return 0
	}
	r.b = r.b[n:]
	return x
}
