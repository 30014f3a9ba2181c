package main

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// answer is what a client has seen of one attempt.
type answer struct {
	status int // 0 for none
	body   []byte
	err    error // of the connection, also in the middle of the body
	began  bool  // some of the body arrived
	signed bool
}

// client keeps one connection to a node for many requests.
type client struct{ http *http.Client }

func newClient() *client {
	return &client{http: &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// call sends a request to a node. The body is not replayable, so that net/http never repeats it.
func (c *client) call(n *node, method, path, id, key string, deadline time.Duration, body []byte, header map[string]string) answer {
	req, err := http.NewRequest(method, "http://"+n.front()+path, nil)
	if err != nil {
		return answer{err: err}
	}
	if len(body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(struct{ io.Reader }{bytes.NewReader(body)}), int64(len(body))
	}
	req.Host = "a.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", itoa(int(deadline.Milliseconds())))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a := answer{status: resp.StatusCode, signed: resp.Header.Get("Engine-Signature") != ""}
	a.body, a.err = io.ReadAll(resp.Body)
	a.began = len(a.body) > 0
	return a
}
