package gateway

import (
	"net"
	"time"

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

// clients holds the HTTP clients for targets. Repeatable requests use pooled connections. Each
// other request opens a fresh connection: on a pooled one, net/http's transport may repeat a
// request by itself.
type clients struct {
	pooled *upstream.Client
	fresh  *upstream.Client
}

func newClients() clients {
	cfg := upstream.Config{
		MaxIdle: idleConnsPerTarget, IdleTimeout: targetIdleTimeout,
		DialTimeout: dialTimeout, KeepAlive: targetKeepAlive,
	}
	fresh := cfg
	fresh.NewConnPerRequest = true
	return clients{pooled: upstream.New(cfg), fresh: upstream.New(fresh)}
}

func (c clients) forRequest(repeatable bool) *upstream.Client {
	if repeatable {
		return c.pooled
	}
	return c.fresh
}
