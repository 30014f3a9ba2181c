package standin_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	. "github.com/knapweedgw/knapweedgw/lab/standin"
)

// deferredOwner collects cleanups until the test calls them.
type deferredOwner struct {
	*testing.T
	cleanups []func()
}

func (o *deferredOwner) Cleanup(f func()) { o.cleanups = append(o.cleanups, f) }

// Guards against a Silent store whose Close blocked after it had received a write, so that the
// soak run never ended.
func TestSilentStoreClosesAfterAWrite(t *testing.T) {
	is, owner := is.New(t), &deferredOwner{T: t}
	store := NewStore(owner)
	store.SetMode(Silent)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	write, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+store.Addr()+"/-/kv-txn", strings.NewReader("{}"))
	is.NoErr(err)
	_, err = http.DefaultClient.Do(write)
	is.True(err != nil) // the client timed out
	closed := make(chan struct{})
	go func() {
		for _, f := range owner.cleanups {
			f()
		}
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(20 * time.Second):
		t.Error("the store was not closed in time")
	}
}
