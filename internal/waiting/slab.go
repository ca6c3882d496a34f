package waiting

const (
	chunkBits = 12
	chunkLen  = 1 << chunkBits
)

// slab is a list that grows by chunks and never moves its elements. Appending to a slice of a million entries would
// stall the caller for as long as copying them takes.
type slab[T any] struct {
	chunks [][]T
	n      int
}

func (s *slab[T]) len() int { return s.n }

func (s *slab[T]) at(i uint32) *T { return &s.chunks[i>>chunkBits][i&(chunkLen-1)] }

// push appends an element and returns its index.
func (s *slab[T]) push(v T) uint32 {
	i := uint32(s.n)
	if s.n++; int(i>>chunkBits) == len(s.chunks) {
		s.chunks = append(s.chunks, make([]T, chunkLen))
	}
	*s.at(i) = v
	return i
}

// pop removes the last element. It keeps one empty chunk.
func (s *slab[T]) pop() {
	var none T
	s.n--
	*s.at(uint32(s.n)) = none
	if k := (s.n + chunkLen - 1) >> chunkBits; len(s.chunks) > k+1 {
		s.chunks[len(s.chunks)-1] = nil
		s.chunks = s.chunks[:len(s.chunks)-1]
	}
}
