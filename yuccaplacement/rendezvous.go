package yuccaplacement

import (
	"encoding/binary"
	"hash/fnv"
)

// Weight ranks a candidate for a key by rendezvous hashing: each key has an order of the
// candidates of its own, which all processes agree on.
func Weight(key, candidate string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(key))))
	_, _ = h.Write([]byte(key))
	_, _ = h.Write([]byte(candidate))
	// The upper bits of FNV hashes of similar names are similar; this finalizer of
	// MurmurHash3 mixes them.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
