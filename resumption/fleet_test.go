package resumption

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// site is a fleet in front of one service on virtual time: targets of several versions come and go, nodes
// are killed, start again and are cut off from the store and from each other, and streams break and are
// taken up anywhere.
type site struct {
	t       *rapid.T
	now     time.Time
	targets map[string]Origin
	joined  int
	note    []byte
	nodes   []*siteNode
	streams []*siteStream
	begun   int
}

type siteNode struct {
	ledger *Ledger
	up     bool
	// noStore and noPeers cut the node off; callers and targets reach it all the same.
	noStore, noPeers bool
	confirmed        time.Time
	targets          map[string]Origin
}

type siteStream struct {
	key     Key
	version Origin
}

const siteService = "s"

func newSite(t *rapid.T, nodes int) *site {
	s := &site{t: t, now: start, targets: map[string]Origin{"i-0": "v1", "i-1": "v1", "i-2": "v1"}, joined: 3}
	for range nodes {
		n := &siteNode{}
		s.nodes = append(s.nodes, n)
		s.startNode(n)
	}
	s.step(time.Second)
	return s
}

func (s *site) startNode(n *siteNode) {
	*n = siteNode{up: true, noStore: n.noStore, noPeers: n.noPeers, ledger: NewLedger(s.now)}
	if n.noStore {
		return
	}
	s.sync(n)
	if s.note == nil {
		n.ledger.ReadNoNote()
	} else if err := n.ledger.ReadNote(s.note, s.now); err != nil {
		s.t.Fatal(err)
	}
	n.ledger.CompletePast(s.now)
}

// sync gives a node the list of targets in the store.
func (s *site) sync(n *siteNode) { s.copyList(n, s.targets, s.now) }

func (s *site) copyList(n *siteNode, list map[string]Origin, confirmed time.Time) {
	next := make(map[string]Origin)
	for id, o := range list {
		next[id] = o
		n.ledger.PutTarget(id, siteService, o, s.now)
	}
	for id := range n.targets {
		if _, ok := next[id]; !ok {
			n.ledger.RemoveTarget(id, s.now)
		}
	}
	n.targets, n.confirmed = next, confirmed
}

func (s *site) connected(a, b *siteNode) bool {
	return a != b && a.up && b.up && !a.noPeers && !b.noPeers
}

// step lets time pass, in which nodes read the store, copy from each other and send reports.
func (s *site) step(d time.Duration) {
	const tick = 200 * time.Millisecond
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(tick)
		for _, n := range s.nodes {
			if n.up && !n.noStore {
				s.sync(n)
			}
		}
		for _, n := range s.nodes {
			s.tick(n)
		}
	}
}

func (s *site) tick(n *siteNode) {
	if !n.up {
		return
	}
	for _, o := range s.nodes {
		if n.noStore && s.connected(n, o) && o.confirmed.After(n.confirmed) {
			s.copyList(n, o.targets, o.confirmed)
		}
	}
	n.ledger.Update(n.confirmed, s.now)
	for _, o := range s.nodes {
		if !s.connected(n, o) {
			continue
		}
		if _, err := o.ledger.Receive(n.ledger.Pending(time.Second, s.now), s.now); err != nil {
			s.t.Fatal(err)
		}
		if n.ledger.NeedsCopy(s.now) && s.current(n) {
			s.copyLedger(o, n)
		}
	}
	if n == s.nodes[0] && !n.noStore && s.current(n) {
		note, err := n.ledger.Note(s.now)
		if err != nil {
			s.t.Fatal(err)
		}
		if note != nil {
			s.note = note
		}
	}
}

func (s *site) copyLedger(from, to *siteNode) {
	snapshot := from.ledger.Snapshot(s.now)
	snapshot.Complete = snapshot.Complete && s.current(from)
	if err := to.ledger.Adopt(snapshot, s.now); err != nil {
		s.t.Fatal(err)
	}
	to.ledger.EndCopy()
}

func (s *site) current(n *siteNode) bool { return s.now.Sub(n.confirmed) <= MaxViewAge }

func (s *site) anyNode(label string) *siteNode {
	return s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(s.t, label)]
}

func (s *site) replaceTarget() {
	ids := sortedIDs(s.targets)
	delete(s.targets, rapid.SampledFrom(ids).Draw(s.t, "replaced"))
	s.joined++
	s.targets[fmt.Sprint("i-", s.joined)] = rapid.SampledFrom([]Origin{"v1", "v1.1", "v1.2"}).Draw(s.t, "version")
}

func sortedIDs(m map[string]Origin) []string {
	var out []string
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// begin begins a stream at a target of the node's list that still runs, and tells the first holders.
func (s *site) begin(n *siteNode) {
	var usable, settled []string
	for _, id := range sortedIDs(n.targets) {
		o := n.targets[id]
		if s.targets[id] != o {
			continue
		}
		usable = append(usable, id)
		if !slices.Contains(n.ledger.Settling(siteService, s.now), o) {
			settled = append(settled, id)
		}
	}
	if len(settled) > 0 {
		usable = settled
	}
	if !n.up || len(usable) == 0 {
		return
	}
	s.begun++
	st := &siteStream{key: Key(s.begun), version: n.targets[rapid.SampledFrom(usable).Draw(s.t, "target")]}
	s.streams = append(s.streams, st)
	s.record(n, st)
}

func (s *site) record(n *siteNode, st *siteStream) {
	if !n.ledger.Begin(st.key, st.version, s.now) {
		return
	}
	holders := 0
	for _, o := range s.nodes {
		if s.connected(n, o) && holders < firstHolders {
			holders++
			if _, err := o.ledger.Receive(pack([]Entry{{st.key, st.version}}), s.now); err != nil {
				s.t.Fatal(err)
			}
		}
	}
}

// takeUp takes a stream up at a node and reports whether it went on.
func (s *site) takeUp(n *siteNode, st *siteStream) bool {
	if !n.up {
		return false
	}
	d := n.ledger.Decide(st.key, siteService, s.current(n), s.now)
	for _, o := range s.nodes {
		if d.Source == Unknown || d.Source == FromPeerPast {
			if s.connected(n, o) {
				d = better(d, o.ledger.Decide(st.key, siteService, s.current(o), s.now).fromPeer())
			}
		}
	}
	if d.Origin != "" && d.Origin != st.version {
		for _, id := range sortedIDs(n.targets) {
			if n.targets[id] == d.Origin && s.targets[id] == d.Origin {
				s.t.Fatalf("a stream that began at %s goes on at %s, learnt from %s", st.version, d.Origin, d.Source)
			}
		}
	}
	if d.Origin == st.version {
		s.record(n, st)
	}
	return d.Origin == st.version
}

// Guards against a stream holding events of two versions after any order of releases, kills, restarts of all
// nodes and cuts, of nodes that are cut off as well.
func TestNoStreamGoesOnAtAnotherVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(t, rapid.IntRange(1, 5).Draw(t, "nodes"))
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				s.step(time.Duration(rapid.IntRange(200, 8000).Draw(t, "ms")) * time.Millisecond)
			},
			"forget":  func(*rapid.T) { s.step(Retention); s.streams = nil }, // callers are gone by then
			"replace": func(*rapid.T) { s.replaceTarget() },
			"begin":   func(*rapid.T) { s.begin(s.anyNode("node")) },
			"take up": func(t *rapid.T) {
				if len(s.streams) > 0 {
					s.takeUp(s.anyNode("node"), rapid.SampledFrom(s.streams).Draw(t, "stream"))
				}
			},
			"kill": func(*rapid.T) { s.startNode(s.anyNode("node")) },
			"kill all": func(*rapid.T) {
				for _, n := range s.nodes {
					s.startNode(n)
				}
			},
			"store": func(*rapid.T) { n := s.anyNode("node"); n.noStore = !n.noStore },
			"peers": func(*rapid.T) { n := s.anyNode("node"); n.noPeers = !n.noPeers },
		})
	})
}

// Guards against streams being refused that other nodes could tell of: after kills of all nodes but one at
// once, or of all, one after the other.
func TestStreamsGoOnAfterKills(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(t, 8)
		for range 3 {
			s.replaceTarget()
		}
		s.step(2 * SettleTime)
		for range 20 {
			s.begin(s.anyNode("node"))
		}
		s.step(400 * time.Millisecond)
		last := rapid.IntRange(0, len(s.nodes)-1).Draw(t, "last")
		rolling := rapid.Bool().Draw(t, "rolling")
		for i, n := range s.nodes {
			if i == last && !rolling {
				continue
			}
			if n.up = false; rolling {
				s.startNode(n)
				s.step(400 * time.Millisecond)
			}
		}
		for _, st := range s.streams {
			if !s.takeUp(s.nodes[last], st) {
				t.Fatalf("stream %d is refused", st.key)
			}
		}
	})
}
