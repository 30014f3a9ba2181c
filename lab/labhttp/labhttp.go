// Package labhttp has what the stand-ins' processes share: serving until a
// signal, and registering with the platform's VM list.
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
	registerInterval = 100 * time.Millisecond
	readHeaderLimit  = 5 * time.Second
)

// Serve serves h on addr until ctx ends.
func Serve(ctx context.Context, addr string, h http.Handler) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderLimit}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	err = s.Serve(ln)
	if ctx.Err() != nil && errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Register puts vm in the list of the platform at url; it tries again until
// ctx ends, for the platform may still be starting.
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
		case <-time.After(registerInterval):
		}
	}
}

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
