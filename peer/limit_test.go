package peer

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestMethodLimitIsSharedByAllPeers checks that the limit of a method counts the calls
// of all peers together, that further calls are refused and that other methods are
// still served.
func TestMethodLimitIsSharedByAllPeers(t *testing.T) {
	const limit = 3
	is, server := is.New(t), newTestHub()
	entered, release := make(chan struct{}, limit), make(chan struct{})
	server.Handle("copy", func(context.Context, json.RawMessage) (any, error) {
		entered <- struct{}{}
		<-release
		return "done", nil
	})
	server.LimitConcurrency("copy", limit)
	server.Handle("echo", echo)
	start(t, server)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var calls sync.WaitGroup
	for range limit {
		client := start(t, newTestHub())
		calls.Go(func() { is.NoErr(client.Call(ctx, server.Addr(), "copy", nil, nil)) })
	}
	for range limit {
		<-entered
	}
	other := start(t, newTestHub())
	is.True(errors.Is(other.Call(ctx, server.Addr(), "copy", nil, nil), ErrBusy))
	is.NoErr(other.Call(ctx, server.Addr(), "echo", text{"x"}, nil))
	close(release)
	calls.Wait()
	for {
		// A slot is released shortly after its caller has received the result.
		err := other.Call(ctx, server.Addr(), "copy", nil, nil)
		if err == nil {
			return
		}
		is.True(errors.Is(err, ErrBusy))
	}
}
