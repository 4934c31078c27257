package cell

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/catalogue/evaluate"
	"medlaryard.example/medlaryard/clock/clocktest"
	"medlaryard.example/medlaryard/peer"
)

func testMembers(n int) []Member {
	members := make([]Member, n)
	for i := range members {
		members[i] = NewMember(MemberSpec{
			Name: fmt.Sprintf("vm-%04d", i), Incarnation: fmt.Sprintf("%032x", i), Domain: fmt.Sprintf("domain-%d", i%4),
			Region: "region", CallerAddress: fmt.Sprintf("10.0.0.%d:7100", i), PeerAddress: fmt.Sprintf("10.0.0.%d:7200", i),
		})
	}
	return members
}

// newTestLeader returns the Cell of members[0] as leader in a settled epoch.
func newTestLeader(members []Member) *Cell {
	clk := clocktest.New()
	c := New(members[0], WithClock(clk), WithName("c"), withSpawn(func(func()) {}))
	m := &membership{cell: "c", term: 1, epoch: 2, baseEpoch: 1, leader: members[0], members: members, previous: members, base: members}
	c.leader = newLeaderState(m, 1, clk.Boot(), clk.Boot())
	c.leader.settled, c.leader.settledStored = true, true
	c.adoptLocked(clk.Boot(), m)
	return c
}

// BenchmarkHeartbeat measures the leader's work for one heartbeat of one member. The
// metric wire-B is the size of a heartbeat and its reply on a connection, including
// HTTP; epoch-B is the size of a membership message.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			members := testMembers(n)
			c := newTestLeader(members)
			sender := newTestLeader(members)
			sender.self = members[1]
			in := sender.heartbeatRequestLocked(time.Hour)
			b.ReportAllocs()
			for b.Loop() {
				if r, _ := c.HandleHeartbeat(context.Background(), in); !r.Accepted {
					b.Fatal("heartbeat not accepted")
				}
			}
			b.ReportMetric(float64(wireBytes(b, peer.Handlers{Heartbeat: c.HandleHeartbeat}, func(p *peer.Client, address string) error {
				_, err := p.Heartbeat(context.Background(), address, in)
				return err
			})), "wire-B")
			b.ReportMetric(float64(proto.Size(c.leader.current.wire())), "epoch-B")
		})
	}
}

// BenchmarkSync measures the work for one Sync call from another member in a
// standstill, when each member calls all others once a second.
func BenchmarkSync(b *testing.B) {
	for _, n := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			c := newTestLeader(testMembers(n))
			in := c.syncRequestLocked()
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.HandleSync(context.Background(), in); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(wireBytes(b, peer.Handlers{Sync: c.HandleSync}, func(p *peer.Client, address string) error {
				_, err := p.Sync(context.Background(), address, in)
				return err
			})), "wire-B")
		})
	}
}

// countingListener accepts connections that add the bytes they carry to n.
type countingListener struct {
	net.Listener
	n *atomic.Int64
}

type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.n}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// wireBytes returns the average size of a call and its reply, including HTTP, over 100
// calls of one client.
func wireBytes(b *testing.B, h peer.Handlers, call func(p *peer.Client, address string) error) int64 {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	var n atomic.Int64
	s := &http.Server{Handler: peer.NewServer(h), ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(countingListener{l, &n}) }()
	defer func() { _ = s.Close() }()
	client := peer.NewClient()
	defer client.Close()
	const calls = 100
	for range calls {
		if err := call(client, l.Addr().String()); err != nil {
			b.Fatal(err)
		}
	}
	return n.Load() / calls
}

// benchText returns a catalogue of shards with two searchers each.
func benchText(shards int) []byte {
	var w strings.Builder
	w.WriteString("owner: o\nclass: interactive\nlimits: {rate: 1000, concurrency: 100}\ndomains:\n")
	for d := range 4 {
		_, _ = fmt.Fprintf(&w, "  - {name: domain-%d, region: region}\n", d)
	}
	w.WriteString("owners:\n  - name: o\n    classes: {interactive: {rate: 100, concurrency: 10}}\nservices:\n")
	for i, port := 0, 10000; i < shards; i += 50 {
		_, _ = fmt.Fprintf(&w, "  - name: s%d\n    searcher: {version: v1, slots: 2, connections: 25}\n    shards:\n      count: 50\n      replicas:\n", i)
		for r := range 2 {
			_, _ = fmt.Fprintf(&w, "        - {domain: domain-%d, addresses: [\"10.1.%d.%d:[%d-%d]\"]}\n", (i/50+r)%4, i/12800, i/50%256, port, port+49)
			port += 50
		}
		port = 10000
	}
	return []byte(w.String())
}

func benchEstate(b *testing.B, groups int, generation uint64) catalogue.Estate {
	e, err := evaluate.Text("bench", benchText(groups), generation)
	if err != nil {
		b.Fatal(err)
	}
	return e
}

// BenchmarkTable measures the computation of all homes after a new epoch.
func BenchmarkTable(b *testing.B) {
	for _, s := range []struct{ members, groups int }{{7, 100}, {7, 400}, {15, 400}, {30, 1600}} {
		b.Run(fmt.Sprintf("members=%d/groups=%d", s.members, s.groups), func(b *testing.B) {
			e := benchEstate(b, s.groups, 1)
			in, members := newInputs(e, allGroups(e)), testMembers(s.members)
			b.ReportAllocs()
			for b.Loop() {
				newHomeTable(in, members)
			}
		})
	}
}

// BenchmarkInstall measures putting a new configuration in force, including parsing.
func BenchmarkInstall(b *testing.B) {
	for _, groups := range []int{50, 200, 800, 3200} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			c := New(testMembers(1)[0], WithClock(clocktest.New()), WithParse(func(name, text string, generation uint64) (catalogue.Estate, error) {
				return evaluate.Text(name, []byte(text), generation)
			}))
			d := Document{Token: "t", Text: string(benchText(groups))}
			b.ReportAllocs()
			for b.Loop() {
				d.Generation++
				c.install(d, "")
			}
			if c.Generation() != d.Generation {
				b.Fatal(c.Status().Refused)
			}
			b.ReportMetric(float64(len(d.Text)), "text-B")
		})
	}
}

// BenchmarkObject measures the encoding of the cell object, which each renewal writes.
func BenchmarkObject(b *testing.B) {
	for _, n := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			c := newTestLeader(testMembers(n))
			var value []byte
			b.ReportAllocs()
			for b.Loop() {
				value, _ = newObject(c.leader.current).encode()
			}
			b.ReportMetric(float64(len(value)), "object-B")
		})
	}
}
