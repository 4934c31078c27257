package evaluate_test

import (
	"fmt"
	"strings"
	"testing"

	"medlaryard.example/medlaryard/catalogue/evaluate"
)

// BenchmarkText measures the check of a whole catalogue. Every daemon runs this check
// for each of the 5,600 changes per day. The planned size is 65,000 searchers.
func BenchmarkText(b *testing.B) {
	for _, searchers := range []int{200, 2_000, 20_000, 65_000} {
		text := estateText(searchers)
		b.Run(fmt.Sprintf("searchers=%d", searchers), func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := evaluate.Text("bench", text, 1); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// estateText returns a catalogue of services with 100 shards of two searchers each, in
// the compact form with one address range per 100 addresses.
func estateText(searchers int) []byte {
	var out strings.Builder
	out.WriteString("owner: o\nclass: batch\nlimits: {rate: 10, concurrency: 5}\n" +
		"domains: [{name: a, region: r}, {name: b, region: r}]\n" +
		"owners: [{name: o, classes: {batch: {rate: 10, concurrency: 5}}}]\nservices:\n")
	for i := range searchers / 200 {
		addressRange := func(n int) string { return fmt.Sprintf("10.%d.%d.[100-199]:9000", n/200, n%200) }
		fmt.Fprintf(&out, "  - name: s%d\n    searcher: {version: v1, slots: 2, connections: 25}\n    shards:\n      count: 100\n      replicas:\n"+
			"        - {domain: a, addresses: [%q]}\n        - {domain: b, addresses: [%q]}\n", i, addressRange(2*i), addressRange(2*i+1))
	}
	return []byte(out.String())
}
