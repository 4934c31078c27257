package mirror

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// meteredConn counts the bytes that are read.
type meteredConn struct {
	net.Conn
	read *atomic.Int64
}

func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// Guards against daemons that fill the link of the first one that knows the
// targets when all start at once.
func TestWholeCopyIsCompressed(t *testing.T) {
	source, copied := New(func(string) {}, "k"), New(func(string) {}, "k")
	var objects []Object
	raw := 0
	for i := range 500 {
		spec := fmt.Sprintf(`{"service":"shard%d","address":"10.1.%d.%d:8102","zone":"a","version":"v1","max_concurrency":2,`+
			`"state":"ready","warmup_left_ms":0,"sequence":%d,"born":17000000%05d}`, i/3, i/250, i%250, i*7, i*31)
		raw += len(spec)
		objects = append(objects, object(fmt.Sprintf("i-%08x", i*2654435761), uint64(i+1), spec))
	}
	source.Replace("k", objects, 600)
	h, err := Handler(source)
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewServer(h)
	defer s.Close()
	var read atomic.Int64
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		return meteredConn{Conn: c, read: &read}, err
	}}}
	defer client.CloseIdleConnections()
	if err := Fetch(context.Background(), client, s.Listener.Addr().String(), copied); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(names(source, "k"), names(copied, "k")); diff != "" {
		t.Errorf("objects (-source +copy):\n%s", diff)
	}
	if n := int(read.Load()); n > raw/3 {
		t.Errorf("the copy of %d bytes took %d on the wire, want a third at most", raw, n)
	}
}
