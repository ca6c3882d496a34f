package view

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// ErrCorrupt reports that a stored record cannot be decoded.
var ErrCorrupt = errors.New("corrupt record")

const maxMembers = 1 << 10

// AppendView appends the binary encoding of a view.
func AppendView(b []byte, v View) []byte {
	b = binary.AppendUvarint(b, v.Epoch)
	b = appendMembers(b, v.Voters)
	return appendMembers(b, v.Chain)
}

// DecodeView decodes the encoding that AppendView produces. The error wraps ErrCorrupt.
func DecodeView(data []byte) (View, error) {
	r := reader{rest: data}
	v := r.view()
	return v, r.end("view")
}

// AppendAcceptor appends the binary encoding of an acceptor's state.
func AppendAcceptor(b []byte, a Acceptor) []byte {
	b = binary.AppendUvarint(b, a.Instance)
	b = appendBallot(b, a.Promised)
	b = appendBallot(b, a.Accepted)
	if a.Value == nil {
		return append(b, 0)
	}
	return AppendView(append(b, 1), *a.Value)
}

// DecodeAcceptor decodes the encoding that AppendAcceptor produces. The error wraps ErrCorrupt.
func DecodeAcceptor(data []byte) (Acceptor, error) {
	r := reader{rest: data}
	a := Acceptor{Instance: r.uvarint(), Promised: r.ballot(), Accepted: r.ballot()}
	if r.uvarint() == 1 {
		value := r.view()
		a.Value = &value
	}
	return a, r.end("acceptor")
}

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func appendBallot(b []byte, ballot Ballot) []byte {
	b = binary.AppendUvarint(b, ballot.Round)
	b = appendString(b, string(ballot.Owner))
	return binary.AppendUvarint(b, ballot.Life)
}

func appendMembers(b []byte, members []Member) []byte {
	b = binary.AppendUvarint(b, uint64(len(members)))
	for _, m := range members {
		b = appendString(b, string(m.ID))
		b = appendString(b, m.Address)
		b = appendString(b, m.Control)
	}
	return b
}

// reader decodes values from the start of rest. After the first invalid value it is broken and returns zero values only.
type reader struct {
	rest   []byte
	broken bool
}

func (r *reader) uvarint() uint64 {
	value, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.broken, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[n:]
	return value
}

func (r *reader) string() string {
	n := r.uvarint()
	if n > uint64(len(r.rest)) {
		r.broken, r.rest = true, nil
		return ""
	}
	s := string(r.rest[:n])
	r.rest = r.rest[n:]
	return s
}

func (r *reader) ballot() Ballot {
	return Ballot{Round: r.uvarint(), Owner: ReplicaID(r.string()), Life: r.uvarint()}
}

func (r *reader) members() []Member {
	n := r.uvarint()
	if n > maxMembers {
		r.broken = true
		return nil
	}
	var members []Member
	for range n {
		members = append(members, Member{ID: ReplicaID(r.string()), Address: r.string(), Control: r.string()})
	}
	return members
}

func (r *reader) view() View {
	return View{Epoch: r.uvarint(), Voters: r.members(), Chain: r.members()}
}

func (r *reader) end(what string) error {
	if r.broken || len(r.rest) > 0 {
		return fmt.Errorf("%s: %w", what, ErrCorrupt)
	}
	return nil
}
