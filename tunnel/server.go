package tunnel

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/knapweedgw/knapweedgw/kernel"
	"github.com/knapweedgw/knapweedgw/socket"
	"github.com/knapweedgw/knapweedgw/upstream"
)

// ServiceID identifies the Server in the kernel.
const ServiceID kernel.ID = "tunnel.server"

const (
	headerTimeout = time.Second
	// idlePollInterval is how often Stop checks whether tunnels are left.
	idlePollInterval = 10 * time.Millisecond
	// lingerTimeout is how long the server waits for the peer to close a tunnel whose target has
	// closed it.
	lingerTimeout = time.Second
)

// Directory tells the server where it may connect to.
type Directory interface {
	// KnowsTarget reports whether a target has the address.
	KnowsTarget(addr string) bool
	// HasPath reports whether this node can reach targets over its own network path, as far as
	// it knows.
	HasPath() bool
}

// ServerConfig configures a Server.
type ServerConfig struct {
	// Listen is the ip:port for other nodes; empty for no server.
	Listen string
	// Node and Domain are this node's ID and failure domain.
	Node, Domain string
	// MaxTunnels is the maximum number of tunnels that this node carries.
	MaxTunnels int
	// Grace is how long after the begin of a shutdown tunnels may last.
	Grace time.Duration
	// Dial opens connections to targets over this node's own network path.
	Dial upstream.DialFunc
}

// Server carries tunnels for other nodes.
type Server struct {
	cfg       ServerConfig
	directory Directory
	log       *log.Logger
	metrics   *metrics
	http      *http.Server
	stopping  atomic.Bool

	mu sync.Mutex
	// tunnels is the number of tunnels that are carried or being opened, conns their connections.
	tunnels int
	conns   map[net.Conn]struct{}
	// drainedAt is when the shutdown began.
	drainedAt time.Time
}

// NewServer returns a server that listens once started.
func NewServer(cfg ServerConfig, l *log.Logger, reg prometheus.Registerer) *Server {
	s := &Server{cfg: cfg, log: l, metrics: newMetrics(reg), conns: make(map[net.Conn]struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathPrefix+"{target}", s.serve)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ErrorLog: l.StandardLog()}
	return s
}

// ID implements kernel.Service.
func (s *Server) ID() kernel.ID { return ServiceID }

// SetDirectory sets what the server knows of targets. It must be called before Start.
func (s *Server) SetDirectory(d Directory) { s.directory = d }

// Start implements kernel.Starter. It listens before it returns.
func (s *Server) Start(ctx context.Context) error {
	if s.cfg.Listen == "" {
		return nil
	}
	lc := net.ListenConfig{KeepAliveConfig: keepAlive, Control: socket.UnackedTimeout(unackedTimeout)}
	ln, err := lc.Listen(ctx, "tcp", s.cfg.Listen)
	if err != nil {
		return errors.WithHint(errors.Wrap(err, "tunnel: listen"), "give the node a second free port for other nodes")
	}
	go func() {
		if err := s.http.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("listener stopped", "addr", s.cfg.Listen, "err", err)
		}
	}()
	return nil
}

// Drain implements kernel.Drainer: from then on no further tunnel is carried.
func (s *Server) Drain(context.Context) error {
	s.stopping.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainedAt = time.Now()
	return nil
}

// Stop implements kernel.Stopper. It waits until the tunnels have ended, ctx ends or the grace period is
// over, and cuts off those that are left.
func (s *Server) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	ctx, cancel := context.WithDeadline(ctx, s.stopDeadline())
	defer cancel()
	tick := time.NewTicker(idlePollInterval)
	defer tick.Stop()
	for s.carried() > 0 && ctx.Err() == nil {
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	err := s.http.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		socket.Reset(c)
	}
	return errors.Wrap(err, "tunnel: close")
}

func (s *Server) stopDeadline() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainedAt.Add(s.cfg.Grace)
}

func (s *Server) carried() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tunnels
}

// reserve takes one of the places for tunnels and returns how many are left; ok is false if there was
// none.
func (s *Server) reserve() (left int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	left = s.cfg.MaxTunnels - s.tunnels
	if left <= 0 {
		return 0, false
	}
	s.tunnels++
	return left - 1, true
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tunnels--
}

// serve handles the request for a tunnel and carries it until it ends.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	addr := r.PathValue("target")
	w.Header().Set(headerDomain, s.cfg.Domain)
	if r.Header.Get("Upgrade") != protocol {
		w.Header().Set("Upgrade", protocol)
		w.WriteHeader(http.StatusUpgradeRequired)
		return
	}
	left, ok := s.reserve()
	if !ok {
		s.refuse(w, r, addr, ErrBusy)
		return
	}
	defer s.release()
	target, err := s.open(r.Context(), addr)
	if err != nil {
		s.refuse(w, r, addr, err)
		return
	}
	s.metrics.opened.WithLabelValues("carried").Inc()
	s.carry(w, target, left)
}

// open connects to the target.
func (s *Server) open(ctx context.Context, addr string) (net.Conn, error) {
	switch {
	case s.stopping.Load():
		return nil, ErrBusy
	case !s.directory.HasPath():
		return nil, ErrNoPath
	case !s.directory.KnowsTarget(addr):
		return nil, ErrUnknownTarget
	}
	conn, err := s.cfg.Dial(ctx, "tcp", addr)
	switch {
	case err == nil:
		return socket.NewEndConn(conn), nil
	case upstream.IsLocal(err):
		return nil, ErrBusy
	case !s.directory.HasPath():
		return nil, ErrNoPath
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, ErrRefused
	}
	return nil, ErrTimeout
}

// refuse answers that no tunnel is carried.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, addr string, err error) {
	for _, f := range failures {
		if errors.Is(err, f.err) {
			s.metrics.opened.WithLabelValues(f.kind).Inc()
			s.log.Info("tunnel refused", "peer", r.RemoteAddr, "target_addr", addr, "reason", f.kind)
			w.Header().Set(headerProxyStatus, fmt.Sprintf("%s; error=%s", s.cfg.Node, f.kind))
			w.WriteHeader(f.status)
			return
		}
	}
	w.WriteHeader(http.StatusInternalServerError)
}

// carry passes bytes between the peer of the request and the target until either ends.
func (s *Server) carry(w http.ResponseWriter, target net.Conn, left int) {
	defer func() { _ = target.Close() }()
	peer, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.log.Error("cannot take over the connection of a tunnel", "err", err)
		return
	}
	defer func() { _ = peer.Close() }()
	s.track(peer, target)
	defer s.untrack(peer, target)
	_, err = fmt.Fprintf(buffered, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: %s\r\n%s: %s\r\n%s: %s\r\n\r\n",
		protocol, headerDomain, s.cfg.Domain, headerLeft, strconv.Itoa(left))
	if err != nil || buffered.Flush() != nil {
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// The end of the peer's side means that its caller gave up, or that it was lost: the
		// target must not go on working.
		_ = s.copyBytes(target, buffered, "to_target")
		socket.Reset(target)
		// Closing a connection with unread bytes would reset it before the peer has read the
		// target's last ones.
		_, _ = io.Copy(io.Discard, buffered)
	}()
	s.carryBack(peer, buffered.Writer, target)
	<-ended
}

// carryBack passes the target's bytes to the peer, and how they end.
func (s *Server) carryBack(peer net.Conn, w *bufio.Writer, target net.Conn) {
	chunked := httputil.NewChunkedWriter(w)
	err := s.copyBytes(flushWriter{chunked, w}, target, "to_peer")
	if err == nil {
		err = errors.CombineErrors(chunked.Close(), w.Flush())
	}
	if err != nil {
		socket.Reset(peer)
		return
	}
	if tcp, ok := peer.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = peer.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// flushWriter flushes buffered after each write to Writer.
type flushWriter struct {
	io.Writer
	buffered *bufio.Writer
}

// Write implements io.Writer.
func (f flushWriter) Write(b []byte) (int, error) {
	n, err := f.Writer.Write(b)
	if err == nil {
		err = f.buffered.Flush()
	}
	return n, err
}

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBuffer); return &b }}

// copyBytes copies until the end of src, which is no error.
func (s *Server) copyBytes(dst io.Writer, src io.Reader, direction string) error {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	carried := s.metrics.bytes.WithLabelValues(direction)
	for {
		n, err := src.Read(*buf)
		if n > 0 {
			carried.Add(float64(n))
			if _, werr := dst.Write((*buf)[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (s *Server) track(conns ...net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range conns {
		s.conns[c] = struct{}{}
	}
	s.metrics.carried.Inc()
}

func (s *Server) untrack(conns ...net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range conns {
		delete(s.conns, c)
	}
	s.metrics.carried.Dec()
}
