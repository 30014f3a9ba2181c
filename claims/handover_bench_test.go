package claims

import (
	"fmt"
	"testing"

	"github.com/knapweedgw/knapweedgw/claims/core"
)

// BenchmarkHandOver measures the handover of as many answers of 1 KB as a node keeps.
func BenchmarkHandOver(b *testing.B) {
	for _, nodes := range []int{8, 53, 370} {
		b.Run(fmt.Sprint(nodes, "_nodes"), func(b *testing.B) {
			var ids []string
			for i := range nodes {
				ids = append(ids, fmt.Sprintf("node-%03d", i))
			}
			f := buildFleet(DefaultSettings(), ids...)
			s := f.nodes[ids[0]]
			body := make([]byte, 1<<10)
			for i := range s.settings.Answers.TotalBytes / (entryOverhead + len(body)) {
				s.answers.put(0, core.NewKeyID("", "", fmt.Sprint(i)), testFingerprint, &Answer{Status: 200, Body: body})
			}
			b.ResetTimer()
			for range b.N {
				s.handOver(b.Context())
			}
			b.ReportMetric(float64(f.calls)/float64(b.N), "calls/op")
			b.ReportMetric(float64(f.bytes)/float64(b.N)/1e6, "MB/op")
		})
	}
}
