package targets_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/targets"
)

// Guards against a copy of the body for each send. One request with a large body to a
// route of 130 shards would take 34 MB that no budget counts.
func TestLargeBodyIsNotCopied(t *testing.T) {
	const size = 8 << 20
	received := make(chan int64, 1)
	g := newSingleGroup(targets.Dial(func(context.Context, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			n, _ := io.Copy(io.Discard, io.LimitReader(server, size)) // Its length is checked.
			received <- n
			_ = server.Close() // Ends the call.
		}()
		return client, nil
	}))
	defer g.Close()
	r := targets.NewRequest("id", http.MethodPost, "/", "h", nil, make([]byte, size), true, 1<<60)
	results := make(chan *targets.Call, 1)
	c := targets.NewCall(r, targets.NewLatencyEstimator(0), results)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if !g.Submit(c) {
		t.Fatal("the call is not accepted")
	}
	if n := <-received; n != size {
		t.Errorf("the target has received %d bytes, want %d", n, size)
	}
	<-results
	runtime.ReadMemStats(&after)
	if n := after.TotalAlloc - before.TotalAlloc; n > size/2 {
		t.Errorf("%d bytes were allocated to send a body of %d", n, size)
	}
}

// Guards against a large body that cannot be written on a connection on which a small request
// was written some time ago, because the deadline of that write is still set.
func TestLargeBodyAfterSmallRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(1, behaviour())
		defer f.close()
		var got []targets.Outcome
		for i, size := range []int{0, 64 << 10, 0, 64 << 10} {
			id := fmt.Sprint("q", i)
			results := make(chan *targets.Call, 1)
			req := targets.NewRequest(id, http.MethodPost, "/p/"+id, "h", nil, make([]byte, size), true, clock.System{}.Boot()+time.Hour)
			c := targets.NewCall(req, f.routeLatency, results)
			if !f.group.Submit(c) {
				t.Fatal("the call is not accepted")
			}
			<-results
			got = append(got, c.Outcome())
			time.Sleep(time.Second)
		}
		if diff := cmp.Diff([]targets.Outcome{targets.Answered, targets.Answered, targets.Answered, targets.Answered}, got); diff != "" {
			t.Errorf("outcomes of small and large requests in turn (-want +got):\n%s", diff)
		}
	})
}
