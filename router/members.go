package router

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/knapweedgw/knapweedgw/routing"
)

const (
	// maxFullScan is the number of members up to which each decision evaluates a complete
	// service. In larger services it evaluates the members that keep parts of the request's
	// prompt, those in rankedBuckets buckets of its key and sampleSize random ones; together
	// these are no more than maxFullScan.
	maxFullScan = 256
	// rankedBuckets buckets of bucketSize members each on average leave about ten members for
	// each of six failure domains.
	rankedBuckets = 8
	bucketSize    = 12
	// sampleSize gives an estimated mean load of 1 a standard error of a twelfth.
	sampleSize = 128
)

// serviceMembers are the members of one service that may be evaluated for a request. Adding or
// removing one costs a binary search and a move of pointers.
type serviceMembers struct {
	// list holds the members in no particular order.
	list []*member
	// ring holds them ordered by the hash of their IDs, an order that all nodes share.
	ring []*member
	// reportable are the members that this node may have something to report about.
	reportable map[*member]struct{}
	// places is the number of slots that the service usually has.
	places placeCount
	// limitHash identifies the service's rejection limit in reports.
	limitHash uint64
}

func newServiceMembers() *serviceMembers {
	return &serviceMembers{reportable: make(map[*member]struct{})}
}

func (s *serviceMembers) add(m *member) {
	m.service, m.listIndex = s, len(s.list)
	s.list = append(s.list, m)
	at, _ := slices.BinarySearchFunc(s.ring, m, compareHash)
	s.ring = slices.Insert(s.ring, at, m)
	if m.running > 0 || m.state.Unreachable() {
		m.markReportable()
	}
}

// remove removes a member and reports whether it was reportable.
func (s *serviceMembers) remove(m *member) (reportable bool) {
	last := len(s.list) - 1
	s.swap(m.listIndex, last)
	s.list[last] = nil
	s.list = s.list[:last]
	at, _ := slices.BinarySearchFunc(s.ring, m, compareHash)
	s.ring = slices.Delete(s.ring, at, at+1)
	_, reportable = s.reportable[m]
	delete(s.reportable, m)
	m.service = nil
	return reportable
}

func (s *serviceMembers) swap(i, j int) {
	s.list[i], s.list[j] = s.list[j], s.list[i]
	s.list[i].listIndex, s.list[j].listIndex = i, j
}

func compareHash(a, b *member) int {
	if c := cmp.Compare(a.target.Hash, b.target.Hash); c != 0 {
		return c
	}
	return strings.Compare(a.target.ID, b.target.ID)
}

// markReportable records that this node may have something to report about the member.
func (m *member) markReportable() {
	if m.service != nil {
		m.service.reportable[m] = struct{}{}
	}
}

// unreachable returns the number of members that this node cannot reach.
func (s *serviceMembers) unreachable() int {
	n := 0
	for m := range s.reportable {
		if m.state.Unreachable() {
			n++
		}
	}
	return n
}

// sample moves n random members to the start of the list and returns them.
func (s *serviceMembers) sample(n int, rng *rand.Rand) []*member {
	for i := range n {
		s.swap(i, i+rng.IntN(len(s.list)-i))
	}
	return s.list[:n]
}

// eachInBuckets calls f for the members in the buckets of a key: those whose hashes share a
// prefix with one of rankedBuckets points derived from the key. Each member is equally likely
// to be among them, and whether it is depends on the other members only through the number of
// buckets. Nodes whose lists differ by a few members therefore agree on nearly all of them.
func (s *serviceMembers) eachInBuckets(key uint64, f func(*member)) {
	shift := 64 - bucketBits(len(s.ring))
	for i := range uint64(rankedBuckets) {
		bucket := routing.Rank(key, i*goldenRatio) >> shift
		at, _ := slices.BinarySearchFunc(s.ring, bucket, func(m *member, b uint64) int {
			return cmp.Compare(m.target.Hash>>shift, b)
		})
		for ; at < len(s.ring) && s.ring[at].target.Hash>>shift == bucket; at++ {
			f(s.ring[at])
		}
	}
}

// bucketBits returns the number of leading bits of a hash that select its bucket.
func bucketBits(members int) int { return bits.Len(uint((members - 1) / bucketSize)) }

// goldenRatio spreads small numbers over 64 bits.
const goldenRatio = 0x9e3779b97f4a7c15

// candidate is a member that a decision evaluates; for the fields see placement.Candidate.
type candidate struct {
	*member
	biased, unranked bool
}

// candidateSet collects the members that a decision evaluates, without duplicates.
type candidateSet struct {
	members []candidate
	// generation identifies the current decision, to detect members that were already added.
	generation uint64
}

func (w *candidateSet) begin() {
	w.generation++
	w.members = w.members[:0]
}

func (w *candidateSet) add(m *member, biased, unranked bool) {
	if m.generation == w.generation {
		known := &w.members[m.index]
		known.biased, known.unranked = known.biased && biased, known.unranked && unranked
		return
	}
	m.generation, m.index = w.generation, len(w.members)
	w.members = append(w.members, candidate{m, biased, unranked})
}
