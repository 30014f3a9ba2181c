package etcd

import (
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/knapweedgw/knapweedgw/store"
)

// maxErrorBytes bounds what is read of the body of an error response.
const maxErrorBytes = 4 << 10

// gatewayError is the body of an error response: a gRPC status in the encoding of the
// gRPC gateway.
type gatewayError struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// errorResponse maps an error of a Store to etcd's error response.
type errorResponse struct {
	err     error
	status  int
	code    int // gRPC status code
	message string
}

// rejections are the error responses that prove that a write had no effect, because
// etcd returns them before executing the request. They are from etcd's
// api/v3rpc/rpctypes. The code Unavailable alone isn't proof: "etcdserver: request
// timed out" has it too.
var rejections = []errorResponse{
	{store.ErrLeaseNotFound, http.StatusNotFound, 5, "etcdserver: requested lease not found"},
	{store.ErrValueTooLarge, http.StatusBadRequest, 3, "etcdserver: request is too large"},
	{store.ErrDuplicateKey, http.StatusBadRequest, 3, "etcdserver: duplicate key given in txn request"},
	{store.ErrTooManyOps, http.StatusBadRequest, 3, "etcdserver: too many operations in txn request"},
	{store.ErrRateLimited, http.StatusTooManyRequests, 8, "etcdserver: too many requests"},
	{store.ErrUnavailable, http.StatusServiceUnavailable, 14, "etcdserver: no leader"},
}

// uncertain is the response to a write that may have taken effect.
var uncertain = errorResponse{store.ErrUncertain, http.StatusServiceUnavailable, 14, "etcdserver: request timed out"}

// statusError returns the store error for an error response. Only a rejection by etcd
// itself, or a rate limit (429), proves that the call had no effect.
func statusError(path string, resp *http.Response) error {
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	var body gatewayError
	_ = json.Unmarshal(raw, &body)
	for _, r := range rejections {
		if r.message == body.Message {
			return errors.Wrapf(r.err, "%s: status %d", path, resp.StatusCode)
		}
	}
	if resp.StatusCode == http.StatusTooManyRequests {
		return errors.Wrapf(store.ErrRateLimited, "%s", path)
	}
	return errors.Wrapf(store.ErrUncertain, "%s: status %d: %.200q", path, resp.StatusCode, raw)
}

// readError turns ErrUncertain from a read into ErrUnavailable, because a read has no
// effect.
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

// errorResponseOf returns the response of the server for an error of its store.
func errorResponseOf(err error) errorResponse {
	for _, r := range rejections {
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
