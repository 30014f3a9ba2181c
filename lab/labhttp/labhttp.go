// Package labhttp serves HTTP until a context ends and registers a VM in the platform's VM list.
// The processes of the stand-ins share it.
package labhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/vmlist"
)

const (
	registerRetryInterval = 100 * time.Millisecond
	readHeaderTimeout     = 5 * time.Second
)

// Serve serves h on addr until ctx ends, and then returns nil. It returns an error if it can't
// listen on addr or the server fails.
func Serve(ctx context.Context, addr string, h http.Handler) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err = s.Serve(ln)
	if ctx.Err() != nil && errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Register puts vm into the VM list of the platform stand-in at url. It retries until ctx ends,
// because the platform may still be starting, and returns the last error then.
func Register(ctx context.Context, url string, vm vmlist.VM) error {
	raw, err := json.Marshal(vm)
	if err != nil {
		return err
	}
	for {
		err := put(ctx, url+"/lab/vms/"+vm.ID, raw)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "register")
		case <-time.After(registerRetryInterval):
		}
	}
}

// put sends raw to url with PUT and returns an error unless the status is 200.
func put(ctx context.Context, url string, raw []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s: status %d", url, resp.StatusCode)
	}
	return nil
}
