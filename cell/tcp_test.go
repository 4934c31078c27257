package cell

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/lease"
	"medlaryard.example/medlaryard/peer"
	"medlaryard.example/medlaryard/standin/objects"
	"medlaryard.example/medlaryard/store"
)

// Guards against code that works only with the simulation: three cells on the system
// clock and real connections agree, the leader leaves, and all stop their tasks when
// closed.
func TestCellOverTCP(t *testing.T) {
	st := objects.New()
	value, err := catalogueText(1, "", 0).Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := st.Put(context.Background(), CatalogueKey, value, store.Absent); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var cells []*Cell
	var running sync.WaitGroup
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		client := peer.NewClient(peer.WithKey("k"))
		c := New(
			NewMember(MemberSpec{
				Name: fmt.Sprintf("vm%d", i), Incarnation: fmt.Sprintf("i%d", i), Domain: fmt.Sprintf("d%d", i), PeerAddress: l.Addr().String(),
			}),
			WithStore(st), WithParse(parseText),
			WithCalls(Calls{Heartbeat: client.Heartbeat, Sync: client.Sync, Release: client.Release}),
		)
		h := peer.Handlers{Heartbeat: c.HandleHeartbeat, Sync: c.HandleSync, Release: c.HandleRelease}
		s := &http.Server{Handler: peer.NewServer(h, peer.WithKey("k")), ReadHeaderTimeout: time.Second}
		running.Go(func() { _ = s.Serve(l) })
		running.Go(func() { c.Run(ctx) })
		defer func() { _ = s.Close() }()
		defer client.Close()
		cells = append(cells, c)
	}
	waitFor(ctx, t, cells, 3)
	var leader int
	for i, c := range cells {
		if c.Status().IsLeader {
			leader = i
		}
	}
	if err := cells[leader].Leave(ctx); err != nil {
		t.Fatal(err)
	}
	cells[leader].Close()
	remaining := append(append([]*Cell(nil), cells[:leader]...), cells[leader+1:]...)
	waitFor(ctx, t, remaining, 2)
	for _, c := range remaining {
		c.Close()
	}
	cancel()
}

// waitFor waits until agree returns true and fails when ctx ends.
func waitFor(ctx context.Context, t *testing.T, cells []*Cell, members int) {
	t.Helper()
	for !agree(cells, members) {
		if err := clock.Sleep(ctx, clock.System{}, 20*time.Millisecond); err != nil {
			for _, c := range cells {
				t.Errorf("%+v", c.Status())
			}
			t.Fatal(err)
		}
	}
}

// agree reports whether all cells have generation 1 and that number of members that
// are not leaving, and each group has one full home.
func agree(cells []*Cell, members int) bool {
	for _, c := range cells {
		live := 0
		for _, m := range c.Members() {
			if !m.Leaving() {
				live++
			}
		}
		if c.Generation() != 1 || live != members {
			return false
		}
	}
	e, _ := cells[0].Estate()
	s, _ := e.Service("s")
	for _, g := range s.Groups() {
		full := 0
		for _, c := range cells {
			if c.Share(g) == lease.Full && c.PreferenceList(g)[0].Name() == c.Status().Name {
				full++
			}
		}
		if full != 1 {
			return false
		}
	}
	return true
}
