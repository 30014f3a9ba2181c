package tunnel

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/socket"
)

// Dial opens a connection to the target at addr through a node. Its errors wrap those of this package.
func Dial(ctx context.Context, node, addr string) (net.Conn, Info, error) {
	info := Info{Node: node}
	d := net.Dialer{KeepAliveConfig: keepAlive, Control: socket.UnackedTimeout(unackedTimeout)}
	raw, err := d.DialContext(ctx, "tcp", node)
	if err != nil {
		return nil, info, errors.CombineErrors(ErrUnavailable, err)
	}
	conn, err := upgrade(ctx, raw, &info, addr)
	if err != nil {
		_ = raw.Close()
		return nil, info, err
	}
	return conn, info, nil
}

// upgrade asks the node at the other end of raw for a tunnel to addr.
func upgrade(ctx context.Context, raw net.Conn, info *Info, addr string) (net.Conn, error) {
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	req, err := http.NewRequest(http.MethodGet, "http://"+info.Node+pathPrefix+addr, http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "tunnel: request")
	}
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", protocol)
	if err := req.Write(raw); err != nil {
		return nil, errors.CombineErrors(ErrUnavailable, err)
	}
	r := bufio.NewReaderSize(raw, copyBuffer)
	resp, err := http.ReadResponse(r, req)
	if err != nil {
		return nil, errors.CombineErrors(ErrUnavailable, err)
	}
	info.Domain = resp.Header.Get(headerDomain)
	info.Left, _ = strconv.Atoi(resp.Header.Get(headerLeft)) // 0 if it is missing or invalid
	if resp.StatusCode != http.StatusSwitchingProtocols {
		return nil, failureOf(resp)
	}
	if !stop() {
		return nil, errors.CombineErrors(ErrUnavailable, ctx.Err())
	}
	return &Conn{Conn: raw, node: info.Node, r: httputil.NewChunkedReader(r)}, nil
}

// failureOf returns the error of a response that refuses a tunnel.
func failureOf(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	status := resp.Header.Get(headerProxyStatus)
	for _, f := range failures {
		if resp.StatusCode == f.status && strings.Contains(status, "error="+f.kind) {
			return f.err
		}
	}
	return errors.Wrapf(ErrUnavailable, "status %d", resp.StatusCode)
}

// Conn is a connection to a target through another node.
type Conn struct {
	net.Conn
	node string
	r    io.Reader
}

// Via returns the ip:port of the node that carries the connection.
func (c *Conn) Via() string { return c.node }

// Read implements net.Conn. It returns io.EOF only if the target itself ended the connection in order.
func (c *Conn) Read(b []byte) (int, error) { return c.r.Read(b) }
