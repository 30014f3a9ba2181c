package capacity

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"strings"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/peer"
)

// PeerCPU is the CPU time of one call between two nodes, both ends together.
const PeerCPU Quantity = "peer_call_cpu"

// Peer measures calls between nodes by the size of their parameters.
type Peer struct{}

// Name implements Probe.
func (Peer) Name() string { return "peer" }

type payload struct {
	Data string `json:"d"`
}

// Measure implements Probe.
func (Peer) Measure(ctx context.Context) ([]Slope, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	server := newHub(addr)
	server.Handle("echo", func(context.Context, json.RawMessage) (any, error) { return payload{}, nil })
	if err := server.Start(ctx); err != nil {
		return nil, err
	}
	defer func() { _ = server.Stop(ctx) }()
	client := newHub("127.0.0.1:0")
	s, err := sweep(PeerCPU, "payload bytes", "ns", []int{64, 256, 1024, 4096}, func(n int) (float64, error) {
		p := payload{Data: strings.Repeat("x", n)}
		var callErr error
		v := perOp(cpuSample, func() {
			var out payload
			if err := client.Call(ctx, addr, "echo", p, &out); err != nil {
				callErr = err
			}
		})
		return v, callErr
	})
	return []Slope{s}, err
}

func newHub(addr string) *peer.Hub {
	return peer.NewHub(addr, log.New(io.Discard), prometheus.NewRegistry())
}

func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String(), nil
}
