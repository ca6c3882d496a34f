package gossip

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// MaxValueBytes is the maximum length of the data of a value.
const MaxValueBytes = 256 << 10

// ErrTooLong is returned for a value with more data than MaxValueBytes.
var ErrTooLong = errors.New("the value is too long")

// Store holds the newest known version of each key.
type Store struct {
	values map[Key]Value
	// keys are the keys of values, sorted.
	keys    []Key
	hash    uint64
	history history
	pulls   pulls
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{values: map[Key]Value{}, pulls: pulls{}}
}

// Set adds a value and reports whether it is newer than the known one. The data is not copied. The error wraps ErrTooLong.
func (s *Store) Set(value Value) (learned bool, err error) {
	if len(value.Data) > MaxValueBytes {
		return false, fmt.Errorf("gossip: %s: %w: %d bytes", value.Key, ErrTooLong, len(value.Data))
	}
	return s.learn(value), nil
}

// Get returns the newest known value of a key.
func (s *Store) Get(key Key) (Value, bool) {
	value, ok := s.values[key]
	return value, ok
}

// Values returns all values, sorted by key.
func (s *Store) Values() []Value {
	all := make([]Value, 0, len(s.keys))
	for _, key := range s.keys {
		all = append(all, s.values[key])
	}
	return all
}

// Hash returns the hash of all keys and versions. It is zero for an empty store.
func (s *Store) Hash() uint64 { return s.hash }

// Digest returns the versions and sizes of all values, sorted by key.
func (s *Store) Digest() []KeyVersion {
	digest := make([]KeyVersion, 0, len(s.keys))
	for _, key := range s.keys {
		digest = append(digest, s.values[key].KeyVersion())
	}
	return digest
}

// learn adds a value if it is newer than the known one and not too long, and reports whether it did.
func (s *Store) learn(value Value) bool {
	if !s.isNewer(value.KeyVersion()) || len(value.Data) > MaxValueBytes {
		return false
	}
	s.history.record(s.hash, value.Key)
	if before, ok := s.values[value.Key]; ok {
		s.hash ^= before.hash()
	} else {
		index, _ := slices.BinarySearch(s.keys, value.Key)
		s.keys = slices.Insert(s.keys, index, value.Key)
	}
	s.hash ^= value.hash()
	s.values[value.Key] = value
	s.pulls.complete(value)
	return true
}

// learnAll adds the values that are newer than the known ones and returns them.
func (s *Store) learnAll(values []Value) (learned []Value) {
	for _, value := range values {
		if s.learn(value) {
			learned = append(learned, value)
		}
	}
	return learned
}

// isNewer reports whether a version is newer than the known one.
func (s *Store) isNewer(named KeyVersion) bool {
	return named.Version.Newer(s.values[named.Key].Version)
}

// startPulls selects the versions that are newer than the known ones and are not being pulled already. It records a pull for each and
// returns them.
func (s *Store) startPulls(now time.Duration, named []KeyVersion) (wanted []KeyVersion) {
	for _, each := range named {
		if each.Size > MaxValueBytes || !s.isNewer(each) {
			continue
		}
		if s.pulls.start(now, each) {
			wanted = append(wanted, each)
		}
	}
	return wanted
}
