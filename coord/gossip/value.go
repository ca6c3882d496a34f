package gossip

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a value.
type Key string

// Version orders the values of one key: by Major, then by Minor. The zero version is older than the version of any value.
type Version struct{ Major, Minor uint64 }

// Compare returns a negative number if v is older than other, a positive number if it is newer, and zero if they are equal.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Major, other.Major), cmp.Compare(v.Minor, other.Minor))
}

// Newer reports whether v is newer than other.
func (v Version) Newer(other Version) bool { return v.Compare(other) > 0 }

// Value is one version of the value of a key. A version of a key has the same Data in all stores. Data must never be modified.
type Value struct {
	Key     Key
	Version Version
	Data    []byte
}

// KeyVersion identifies a version of a key, without its data.
type KeyVersion struct {
	Key     Key
	Version Version
	// Size is the length of the data in bytes.
	Size uint32
}

// KeyVersion returns the key, version and size of the value.
func (v Value) KeyVersion() KeyVersion {
	return KeyVersion{Key: v.Key, Version: v.Version, Size: uint32(len(v.Data))}
}

const versionBytes = 16

// hash returns the contribution of the value to the hash of a store, which is the XOR of all contributions.
func (v Value) hash() uint64 {
	var version [versionBytes]byte
	binary.LittleEndian.PutUint64(version[:8], v.Version.Major)
	binary.LittleEndian.PutUint64(version[8:], v.Version.Minor)
	digest := xxhash.New()
	digest.Write(version[:])
	digest.WriteString(string(v.Key))
	return digest.Sum64()
}
