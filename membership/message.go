package membership

import "github.com/knapweedgw/knapweedgw/targets"

// Kind is the kind of a Message.
type Kind int

// The kinds of messages.
const (
	Ping    Kind = iota // asks for an Ack
	Ack                 // answers a Ping
	PingReq             // asks the receiver to ping Subject and to pass on its Ack
	Gossip              // carries news only
)

// Message is what nodes send each other. Each carries some news.
type Message struct {
	Kind Kind `json:"k"`
	// From is the sender's record of itself.
	From Node `json:"f"`
	// Seq matches an Ack with its Ping or PingReq.
	Seq     uint64 `json:"q,omitempty"`
	Subject *Node  `json:"t,omitempty"`
	// Members are records of nodes, Leaving words on leaving targets.
	Members []Node         `json:"m,omitempty"`
	Leaving []targets.Word `json:"l,omitempty"`
}

// Envelope is a message for the node at PeerAddr.
type Envelope struct {
	To      string // PeerAddr
	Message Message
}
