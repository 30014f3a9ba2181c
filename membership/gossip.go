package membership

import (
	"cmp"
	"slices"

	"github.com/knapweedgw/knapweedgw/targets"
)

// maxWords bounds the words on leaving targets that are kept to be repeated.
const maxWords = 1024

// news is what is still to be passed on.
type news struct {
	nodes []nodeNews
	words []wordNews
	old   []targets.Word // words passed on, the last maxWords
}

type nodeNews struct {
	id   string
	left int // transmissions
}

type wordNews struct {
	word targets.Word
	left int
}

func (n *news) empty() bool { return len(n.nodes)+len(n.words) == 0 }

func (n *news) addNode(id string, transmissions int) {
	n.nodes = slices.DeleteFunc(n.nodes, func(o nodeNews) bool { return o.id == id })
	n.nodes = append(n.nodes, nodeNews{id, transmissions})
}

func (n *news) addWord(w targets.Word, transmissions int) {
	n.words = append(n.words, wordNews{w, transmissions})
}

// takeNodes returns the IDs of up to limit nodes whose records are sent next,
// those sent least first.
func (n *news) takeNodes(limit int) []string {
	slices.SortStableFunc(n.nodes, func(a, b nodeNews) int { return cmp.Compare(b.left, a.left) })
	var out []string
	for i := range min(limit, len(n.nodes)) {
		n.nodes[i].left--
		out = append(out, n.nodes[i].id)
	}
	n.nodes = slices.DeleteFunc(n.nodes, func(o nodeNews) bool { return o.left <= 0 })
	return out
}

// takeWords is takeNodes for words.
func (n *news) takeWords(limit int) []targets.Word {
	slices.SortStableFunc(n.words, func(a, b wordNews) int { return cmp.Compare(b.left, a.left) })
	var out []targets.Word
	for i := range min(limit, len(n.words)) {
		n.words[i].left--
		out = append(out, n.words[i].word)
		if n.words[i].left == 0 {
			n.old = append(n.old, n.words[i].word)
		}
	}
	n.words = slices.DeleteFunc(n.words, func(o wordNews) bool { return o.left <= 0 })
	n.old = n.old[max(0, len(n.old)-maxWords):]
	return out
}

// gossip sends the news to a few nodes.
func (m *Machine) gossip() []Envelope {
	if m.news.empty() {
		return nil
	}
	var out []Envelope
	for _, n := range m.pick(m.cfg.Fanout, "") {
		out = append(out, m.envelope(n.Node, Message{Kind: Gossip}))
	}
	return out
}

// envelope completes a message to a node with this node's record and news.
func (m *Machine) envelope(to Node, msg Message) Envelope {
	msg.From = m.self
	if known, ok := m.nodes[to.ID]; ok && (known.State == Suspect || known.State == Dead) {
		msg.Members = append(msg.Members, known.Node) // so that it can refute
	}
	for _, id := range m.news.takeNodes(m.cfg.MaxMembers) {
		if n, ok := m.nodes[id]; ok {
			msg.Members = append(msg.Members, n.Node)
		}
	}
	msg.Leaving = m.news.takeWords(m.cfg.MaxWords)
	if msg.Kind == Ping || msg.Kind == Ack {
		m.repeat(&msg)
	}
	return Envelope{To: to.PeerAddr, Message: msg}
}

// repeat adds old words on leaving targets.
func (m *Machine) repeat(msg *Message) {
	for range min(m.cfg.RepeatWords, len(m.news.old)) {
		msg.Leaving = append(msg.Leaving, m.news.old[m.rng.IntN(len(m.news.old))])
	}
}
