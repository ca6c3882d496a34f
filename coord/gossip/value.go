package gossip

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Key names a value.
type Key string

// Version orders the values of one key: by Major, then by Minor. The zero version is older than that of any value.
type Version struct{ Major, Minor uint64 }

// Compare is negative if v is older than other, positive if it is newer, and zero if they are the same.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Major, other.Major), cmp.Compare(v.Minor, other.Minor))
}

// Newer reports whether v is newer than other.
func (v Version) Newer(other Version) bool { return v.Compare(other) > 0 }

// Value is one version of what a key stands for. One version of a key has the same Data everywhere, and Data is never changed.
type Value struct {
	Key     Key
	Version Version
	Data    []byte
}

// KeyVersion names a version of a key, without its data.
type KeyVersion struct {
	Key     Key
	Version Version
	// Size is the length of the data in bytes.
	Size uint32
}

// KeyVersion returns the value's name.
func (v Value) KeyVersion() KeyVersion {
	return KeyVersion{Key: v.Key, Version: v.Version, Size: uint32(len(v.Data))}
}

const versionBytes = 16

// hash is the share of one value in the hash of a state.
func (v Value) hash() uint64 {
	var version [versionBytes]byte
	binary.LittleEndian.PutUint64(version[:8], v.Version.Major)
	binary.LittleEndian.PutUint64(version[8:], v.Version.Minor)
	digest := xxhash.New()
	digest.Write(version[:])
	digest.WriteString(string(v.Key))
	return digest.Sum64()
}
