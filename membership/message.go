package membership

import "github.com/knapweedgw/knapweedgw/targets"

// Kind is the kind of a Message.
type Kind int

// The kinds of messages.
const (
	Ping    Kind = iota // requests an Ack
	Ack                 // answers a Ping
	PingReq             // requests that the receiver pings Subject and forwards its Ack
	Gossip              // carries changes only
)

// Message is a message of the protocol. Every kind may carry changes: records of nodes
// and reports of leaving targets.
type Message struct {
	Kind Kind `json:"k"`
	// From is the sender's record of itself.
	From Node `json:"f"`
	// Seq matches an Ack with its Ping or PingReq.
	Seq     uint64 `json:"q,omitempty"`
	Subject *Node  `json:"t,omitempty"`
	// Members are records of nodes. Leaving are reports of leaving targets.
	Members []Node           `json:"m,omitempty"`
	Leaving []targets.Report `json:"l,omitempty"`
}

// Envelope is a message and the address of its receiver.
type Envelope struct {
	To      string // PeerAddr
	Message Message
}
