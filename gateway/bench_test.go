package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkStream relays streams of 100 tokens, one at a time.
func BenchmarkStream(b *testing.B) {
	e := newSSEEngine(100)
	n := newNode(b, []http.Handler{e})
	b.ReportAllocs()
	for b.Loop() {
		benchmarkChat(b, n, streamReq)
	}
}

// BenchmarkWhole relays short unstreamed responses, one at a time.
func BenchmarkWhole(b *testing.B) {
	n := newNode(b, handlers(okTarget()))
	b.ReportAllocs()
	for b.Loop() {
		benchmarkChat(b, n, chatBody)
	}
}

func benchmarkChat(b *testing.B, n *node, body string) {
	req, _ := http.NewRequest("POST", n.url+chatPath, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+keyA)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
