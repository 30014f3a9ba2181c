// Package routing ranks targets for a chat, and assigns duties to nodes, by rendezvous hashing.
// It is pure: no clock, no I/O.
package routing

import "github.com/cespare/xxhash/v2"

// Hash returns the 64-bit hash of a name that ranking uses.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Score is the rendezvous (highest random weight) score of a target for a chat, the same on
// every node (Thaler and Ravishankar, 1998).
func Score(chat, target uint64) uint64 {
	return Rank(chat, Key(target))
}

// Key prepares a target's hash for Rank, so that it is mixed once instead of for each chat.
func Key(target uint64) uint64 { return mix(target) }

// Rank is Score for a target prepared by Key.
func Rank(chat, key uint64) uint64 { return mix(chat ^ key) }

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// Top appends to dst the indexes of the n highest-ranked targets for a chat, highest first. It
// scans all targets once and allocates only if dst is too small.
func Top(dst []int, chat uint64, targets []uint64, n int) []int {
	base := len(dst)
	for i, t := range targets {
		s := Score(chat, t)
		at := len(dst)
		for at > base && Score(chat, targets[dst[at-1]]) < s {
			at--
		}
		if at-base >= n {
			continue
		}
		if len(dst)-base < n {
			dst = append(dst, 0)
		}
		copy(dst[at+1:], dst[at:len(dst)-1])
		dst[at] = i
	}
	return dst
}

// Best returns the index of the highest-ranked target for a chat among keys made by Key, or -1
// if there are none. It equals Top with n = 1, for callers that store the keys.
func Best(chat uint64, keys []uint64) int {
	best, bestRank := -1, uint64(0)
	for i, k := range keys {
		if r := Rank(chat, k); best < 0 || r > bestRank {
			best, bestRank = i, r
		}
	}
	return best
}
