// The race detector pads small objects.

//go:build !race

package clientbudget

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
)

// Guards against header lines that take more memory than is counted for them, or for
// which more is allocated while they are parsed. The memory of the map of lines depends
// on their number.
func TestLinesTakeNoMoreThanCounted(t *testing.T) {
	const heads = 100 // So that what other goroutines allocate does not matter.
	for _, lines := range []int{30, 120, 467, 966, 1839} {
		for _, line := range []string{"%s:\r\n", "%s:v\r\n", "X-%s: some value\r\n"} {
			var b strings.Builder
			b.WriteString("GET / HTTP/1.1\r\nHost: h\r\n")
			for i := range lines {
				fmt.Fprintf(&b, line, fmt.Sprintf("%c%c%c", 'a'+i%26, 'A'+i/26%26, 'a'+i/26/26))
			}
			text := b.String() + "\r\n"
			var before, after runtime.MemStats
			requests := make([]*http.Request, heads)
			runtime.GC()
			runtime.ReadMemStats(&before)
			for i := range requests {
				r, err := http.ReadRequest(bufio.NewReaderSize(strings.NewReader(text), headSlack))
				if err != nil {
					t.Fatal(err)
				}
				requests[i] = r
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(requests)
			taken, counted := int64(after.HeapAlloc-before.HeapAlloc)/heads, connBytes+memoryOfHead(len(text), lines+3)
			if taken > counted {
				t.Errorf("%d lines %q take %d bytes, %d are counted", lines, line, taken, counted)
			}
			allocated, admitted := int64(after.TotalAlloc-before.TotalAlloc)/heads, connBytes+allocationOfHead(len(text), lines+3)
			if allocated > admitted {
				t.Errorf("%d lines %q allocate %d bytes, %d are admitted", lines, line, allocated, admitted)
			}
		}
	}
}
