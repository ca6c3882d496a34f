package state

import (
	"encoding/binary"
	"errors"
	"math"
)

// ErrCorrupt is returned for data that is not a valid command or snapshot of this version.
var ErrCorrupt = errors.New("state: corrupt encoding")

// writer appends values in a compact binary encoding.
type writer struct{ data []byte }

func (w *writer) byte(v byte)   { w.data = append(w.data, v) }
func (w *writer) uint(v uint64) { w.data = binary.AppendUvarint(w.data, v) }
func (w *writer) int(v int64)   { w.data = binary.AppendVarint(w.data, v) }
func (w *writer) float(v float64) {
	w.data = binary.LittleEndian.AppendUint64(w.data, math.Float64bits(v))
}
func (w *writer) fixed(v uint64)  { w.data = binary.LittleEndian.AppendUint64(w.data, v) }
func (w *writer) string(v string) { w.uint(uint64(len(v))); w.data = append(w.data, v...) }
func (w *writer) bytes(v []byte)  { w.uint(uint64(len(v))); w.data = append(w.data, v...) }
func (w *writer) task(t TaskName) {
	w.fixed(uint64(t.Job))
	w.uint(uint64(t.Time))
	w.uint(uint64(t.Step))
	w.uint(uint64(t.Index))
}
func (w *writer) bool(v bool) {
	if v {
		w.byte(1)
		return
	}
	w.byte(0)
}

// reader reads what a writer has written. After the first fault failed stays set and all reads return zero values.
type reader struct {
	data   []byte
	failed bool
}

func (r *reader) fail() { r.failed, r.data = true, nil }

func (r *reader) byte() byte {
	if len(r.data) == 0 {
		r.fail()
		return 0
	}
	v := r.data[0]
	r.data = r.data[1:]
	return v
}

func (r *reader) uint() uint64 {
	v, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.data = r.data[n:]
	return v
}

func (r *reader) int() int64 {
	v, n := binary.Varint(r.data)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.data = r.data[n:]
	return v
}

func (r *reader) fixed() uint64 {
	if len(r.data) < 8 {
		r.fail()
		return 0
	}
	v := binary.LittleEndian.Uint64(r.data)
	r.data = r.data[8:]
	return v
}

func (r *reader) float() float64 { return math.Float64frombits(r.fixed()) }

func (r *reader) bool() bool { return r.byte() == 1 }

// bytes returns a copy, so that the result doesn't keep the command's buffer alive.
func (r *reader) bytes() []byte {
	n := r.uint()
	if n > uint64(len(r.data)) {
		r.fail()
		return nil
	}
	v := append([]byte(nil), r.data[:n]...)
	r.data = r.data[n:]
	return v
}

func (r *reader) string() string {
	n := r.uint()
	if n > uint64(len(r.data)) {
		r.fail()
		return ""
	}
	v := string(r.data[:n])
	r.data = r.data[n:]
	return v
}

// count reads a length. The remaining bytes bound it, since each element takes at least one byte.
func (r *reader) count() int {
	n := r.uint()
	if n > uint64(len(r.data)) {
		r.fail()
		return 0
	}
	return int(n)
}

func (r *reader) task() TaskName {
	return TaskName{Job: JobID(r.fixed()), Time: uint32(r.uint()), Step: uint32(r.uint()), Index: uint32(r.uint())}
}

// finish returns ErrCorrupt if a read failed or if bytes are left over.
func (r *reader) finish() error {
	if r.failed || len(r.data) > 0 {
		return ErrCorrupt
	}
	return nil
}
