package etcd

import (
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/store"
)

// maxErrorBytes bounds what is read of an error's body.
const maxErrorBytes = 4 << 10

// gatewayError is the body of a failed call: a gRPC status as the gRPC
// gateway writes it.
type gatewayError struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// refusal is an error that etcd returns before it acts on a request.
type refusal struct {
	err     error
	status  int
	code    int // gRPC status code
	message string
}

// refusals are the answers that prove that a write had no effect, as
// published in etcd's api/v3rpc/rpctypes. A code Unavailable alone doesn't:
// "etcdserver: request timed out" has it too.
var refusals = []refusal{
	{store.ErrLeaseNotFound, http.StatusNotFound, 5, "etcdserver: requested lease not found"},
	{store.ErrValueTooLarge, http.StatusBadRequest, 3, "etcdserver: request is too large"},
	{store.ErrDuplicateKey, http.StatusBadRequest, 3, "etcdserver: duplicate key given in txn request"},
	{store.ErrTooManyOps, http.StatusBadRequest, 3, "etcdserver: too many operations in txn request"},
	{store.ErrRateLimited, http.StatusTooManyRequests, 8, "etcdserver: too many requests"},
	{store.ErrUnavailable, http.StatusServiceUnavailable, 14, "etcdserver: no leader"},
}

// uncertain is the answer to a write whose effect isn't known.
var uncertain = refusal{store.ErrUncertain, http.StatusServiceUnavailable, 14, "etcdserver: request timed out"}

// statusError returns the typed error of a failed call. Only a refusal by
// etcd itself, or a rate limit, proves that there was no effect.
func statusError(path string, resp *http.Response) error {
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	var body gatewayError
	_ = json.Unmarshal(raw, &body)
	for _, r := range refusals {
		if r.message == body.Message {
			return errors.Wrapf(r.err, "%s: status %d", path, resp.StatusCode)
		}
	}
	if resp.StatusCode == http.StatusTooManyRequests {
		return errors.Wrapf(store.ErrRateLimited, "%s", path)
	}
	return errors.Wrapf(store.ErrUncertain, "%s: status %d: %.200q", path, resp.StatusCode, raw)
}

// readError turns the uncertain failure of a read into ErrUnavailable: it has
// no effect to be uncertain of.
func readError(err error) error {
	if errors.Is(err, store.ErrUncertain) {
		return errors.Wrapf(store.ErrUnavailable, "%v", err)
	}
	return err
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// refusalOf returns the answer that a server gives for a store's error.
func refusalOf(err error) refusal {
	for _, r := range refusals {
		if errors.Is(err, r.err) && !(r.err == store.ErrUnavailable && errors.Is(err, store.ErrRateLimited)) {
			return r
		}
	}
	return uncertain
}

func writeError(w http.ResponseWriter, status, code int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(gatewayError{Code: code, Message: message})
}
