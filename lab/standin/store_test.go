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

// lateOwner keeps cleanups until the test calls them.
type lateOwner struct {
	*testing.T
	cleanups []func()
}

func (o *lateOwner) Cleanup(f func()) { o.cleanups = append(o.cleanups, f) }

// Guards against: a silent store that had taken a write never ended, and the soak with it.
func TestSilentStoreEndsAfterAWrite(t *testing.T) {
	is, owner := is.New(t), &lateOwner{T: t}
	store := NewStore(owner)
	store.SetMode(Silent)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	write, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+store.Addr()+"/-/kv-txn", strings.NewReader("{}"))
	is.NoErr(err)
	_, err = http.DefaultClient.Do(write)
	is.True(err != nil) // the caller gave up
	ended := make(chan struct{})
	go func() {
		for _, f := range owner.cleanups {
			f()
		}
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Error("the store has not ended")
	}
}
