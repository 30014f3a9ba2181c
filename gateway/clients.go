package gateway

import (
	"net"
	"time"

	"github.com/knapweedgw/knapweedgw/reachability"
	"github.com/knapweedgw/knapweedgw/upstream"
)

const (
	idleConnsPerTarget = 64
	targetIdleTimeout  = 30 * time.Second
	dialTimeout        = time.Second
)

// targetKeepAlive detects, within 11 s, a VM that disappeared without closing its connections. A
// slow target isn't affected, since its operating system still acknowledges the probes.
var targetKeepAlive = net.KeepAliveConfig{
	Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3,
}

// NetworkDial returns the function that connects to targets over this node's own network path.
func NetworkDial() upstream.DialFunc {
	return upstream.NetworkDial(upstream.Config{DialTimeout: dialTimeout, KeepAlive: targetKeepAlive})
}

// clients holds the HTTP clients for targets. Repeatable requests use pooled connections. Each
// other request opens a fresh connection: on a pooled one, net/http's transport may repeat a
// request by itself.
type clients struct {
	pooled *upstream.Client
	fresh  *upstream.Client
}

// newClients returns clients that connect to targets by dial.
func newClients(dial upstream.DialFunc) clients {
	cfg := upstream.Config{Dial: dial, MaxIdle: idleConnsPerTarget, IdleTimeout: targetIdleTimeout}
	fresh := cfg
	fresh.NewConnPerRequest = true
	return clients{pooled: upstream.New(cfg), fresh: upstream.New(fresh)}
}

// pathChanged closes connections that a change of this node's network paths has made dead or needless.
func (c clients) pathChanged(change reachability.Change, hung bool) {
	for _, client := range []*upstream.Client{c.pooled, c.fresh} {
		switch {
		case change == reachability.Rejoined || change == reachability.PathRestored:
			client.RetireTunnels("")
		case hung:
			client.CloseIdle()
		}
	}
}

func (c clients) forRequest(repeatable bool) *upstream.Client {
	if repeatable {
		return c.pooled
	}
	return c.fresh
}
