// Package tunnel carries connections to targets through other nodes. A node that has lost its network
// path to a target asks another node to open the connection and passes the bytes over it unread.
//
// The client asks by an HTTP/1.1 upgrade (RFC 9110, 7.8). After the 101 response it writes the target's
// bytes as they are, and reads those of the target in chunked coding (RFC 9112, 7.1): a tunnel that ends
// without the last chunk was cut off, so the end of an answer that is delimited by its connection stays
// distinguishable from the end of the node in between. A server opens connections to targets over its
// own network path only, so a tunnel has one hop.
package tunnel

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Client.Dial. After each of them, no byte was sent to the target.
var (
	// ErrRefused means that the target's VM refused the server's connection.
	ErrRefused = errors.New("tunnel: the target refuses the other node's connections")
	// ErrTimeout means that the server got no answer from the target's VM.
	ErrTimeout = errors.New("tunnel: the target doesn't answer the other node")
	// ErrNoPath means that the server has no network path to targets itself.
	ErrNoPath = errors.New("tunnel: the other node has no path to targets")
	// ErrBusy means that the server carries as many tunnels as it may, or is stopping.
	ErrBusy = errors.New("tunnel: the other node carries no more connections")
	// ErrUnknownTarget means that the server knows no target at the address.
	ErrUnknownTarget = errors.New("tunnel: the other node doesn't know the target")
	// ErrUnavailable means that the node can't be reached or doesn't carry connections.
	ErrUnavailable = errors.New("tunnel: the other node doesn't offer tunnels")
)

const (
	// protocol is the name in the Upgrade header.
	protocol = "knapweedgw-tunnel"
	// pathPrefix is followed by the target's ip:port.
	pathPrefix = "/tunnel/"
	// headerProxyStatus has the error of a refused tunnel (RFC 9209).
	headerProxyStatus = "Proxy-Status"
	headerDomain      = "Failure-Domain"
	// headerLeft is the number of further tunnels that the server would carry.
	headerLeft = "Tunnels-Left"
)

// failures maps the errors to their status and their error type of RFC 9209.
var failures = []struct {
	err    error
	status int
	kind   string
}{
	{ErrRefused, http.StatusBadGateway, "connection_refused"},
	{ErrTimeout, http.StatusGatewayTimeout, "connection_timeout"},
	{ErrNoPath, http.StatusServiceUnavailable, "destination_ip_unroutable"},
	{ErrBusy, http.StatusServiceUnavailable, "connection_limit_reached"},
	{ErrUnknownTarget, http.StatusNotFound, "destination_not_found"},
}

// Info describes the node that carries a tunnel.
type Info struct {
	// Node is the ip:port at which it was asked, Domain its failure domain.
	Node, Domain string
	// Left is the number of further tunnels that it would carry.
	Left int
}

const (
	// unackedTimeout is how long sent bytes of a tunnel may stay unacknowledged: longer than a
	// node is usually paused, shorter than callers wait.
	unackedTimeout = 2 * time.Second
	// copyBuffer is the size of a read in bytes; tunnels carry small events and answers.
	copyBuffer = 4 << 10
)

// keepAlive detects that the other node of an idle tunnel is gone.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2}
