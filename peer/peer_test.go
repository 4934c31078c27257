package peer

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/peer/peerpb"
	"medlaryard.example/medlaryard/refusal"
	"medlaryard.example/medlaryard/shard"
)

// startServer starts a server of h and returns its address.
func startServer(t *testing.T, h Handlers, opts ...Option) string {
	t.Helper()
	s := httptest.NewServer(NewServer(h, opts...))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// Guards against a field of a request that is lost or swapped when it is encoded
// and decoded.
func TestRelayRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = 5 * time.Hour
		text := rapid.StringN(0, 20, 100)
		spec := shard.RequestSpec{
			ID: text.Draw(t, "id"), Owner: text.Draw(t, "owner"), Class: catalogue.Batch,
			Service: text.Draw(t, "service"), Route: text.Draw(t, "route"),
			Snapshot: rapid.Uint64().Draw(t, "snapshot"), Limit: rapid.IntRange(0, maxHits).Draw(t, "limit"),
			Deadline:   now + time.Duration(rapid.IntRange(1, 1e9).Draw(t, "left"))*time.Microsecond,
			Idempotent: rapid.Bool().Draw(t, "idempotent"), Fingerprint: rapid.Uint64().Draw(t, "fingerprint"),
			Suspect: rapid.Bool().Draw(t, "suspect"), Acting: rapid.Bool().Draw(t, "acting"),
			Body: rapid.SliceOfN(rapid.Byte(), 1, 50).Draw(t, "body"),
		}
		var reqs []shard.Request
		for range rapid.IntRange(1, 5).Draw(t, "groups") {
			spec.Shard, spec.Group = text.Draw(t, "shard"), text.Draw(t, "group")
			reqs = append(reqs, shard.NewRequest(spec))
		}
		got, err := Requests(RelayRequest(reqs, now, 3, 4), now)
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(reqs, got, cmp.AllowUnexported(shard.Request{})); d != "" {
			t.Fatal(d)
		}
	})
}

// Guards against a result that loses a field when it is encoded and decoded, and
// against an unknown value of ran that is decoded as not run.
func TestResultRoundTrip(t *testing.T) {
	label := shard.NewLabel(shard.LabelSpec{Snapshot: 1, Map: "m", Low: 2, High: 3, Documents: 4, Total: 5})
	want := []shard.Result{
		shard.NewResult(shard.ResultSpec{
			Kind: refusal.Cold, Ran: refusal.NotRun, Shard: "s", Group: "g", Searcher: "r", Version: "v", Label: label,
			Hits: []shard.Hit{shard.NewHit(shard.HitSpec{ID: "h", Score: 1.5, Data: []byte("d")})},
			Body: []byte("b"), Attempts: 2, Crashed: true, AvailableSnapshots: []shard.Label{label}, Detail: "d",
		}),
		shard.NewResult(shard.ResultSpec{Ran: refusal.DidRun, Group: "h"}),
	}
	got, err := Results(RelayReply(want, 1, 2))
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(want, got, cmp.AllowUnexported(shard.Result{}, shard.Label{}, shard.Hit{})); d != "" {
		t.Error(d)
	}
	got, _ = Results(&peerpb.RelayReply{Results: []*peerpb.RelayResult{{Ran: "maybe"}}})
	if got[0].Ran() != refusal.Unknown {
		t.Errorf("unknown ran decoded as %q, want %q", got[0].Ran(), refusal.Unknown)
	}
}

// Guards against requests that are invalid or exceed a limit and still reach a
// home.
func TestRequestBounds(t *testing.T) {
	good := func() *peerpb.RelayRequest {
		return &peerpb.RelayRequest{Class: "batch", RemainingUs: 1000, Items: []*peerpb.RelayItem{{Group: "g"}}}
	}
	if _, err := Requests(good(), 0); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		kind   refusal.Kind
		change func(*peerpb.RelayRequest)
	}{
		"deadline passed":  {refusal.Deadline, func(m *peerpb.RelayRequest) { m.RemainingUs = 0 }},
		"distant deadline": {refusal.Malformed, func(m *peerpb.RelayRequest) { m.RemainingUs = 1 << 62 }},
		"class":            {refusal.Malformed, func(m *peerpb.RelayRequest) { m.Class = "x" }},
		"limit":            {refusal.Malformed, func(m *peerpb.RelayRequest) { m.Limit = maxHits + 1 }},
		"name":             {refusal.Malformed, func(m *peerpb.RelayRequest) { m.Route = strings.Repeat("x", maxNameBytes+1) }},
		"group":            {refusal.Malformed, func(m *peerpb.RelayRequest) { m.Items[0].Group = strings.Repeat("x", maxNameBytes+1) }},
		"items":            {refusal.Malformed, func(m *peerpb.RelayRequest) { m.Items = make([]*peerpb.RelayItem, MaxItems+1) }},
		"nil item":         {refusal.Malformed, func(m *peerpb.RelayRequest) { m.Items[0] = nil }},
	} {
		m := good()
		c.change(m)
		if _, err := Requests(m, 0); err == nil || refusal.FromError(err).Kind() != c.kind {
			t.Errorf("%s: error %v, want kind %s", name, err, c.kind)
		}
	}
}

// Guards against a server that accepts requests without the key, in another
// encoding or of more than the maximum size.
func TestServerInvalidRequests(t *testing.T) {
	h := Handlers{Strike: func(context.Context, *peerpb.StrikeRequest) (*peerpb.StrikeReply, error) {
		return &peerpb.StrikeReply{}, nil
	}}
	address := startServer(t, h, WithKey("k"), WithMaxMessageBytes(1000))
	for name, c := range map[string]struct {
		key, encoding string
		size, status  int
	}{
		"good":     {"k", "application/protobuf", 0, 200},
		"no key":   {"", "application/protobuf", 0, 401},
		"bad key":  {"x", "application/protobuf", 0, 401},
		"encoding": {"k", "application/json", 0, 415},
		"size":     {"k", "application/protobuf", 1001, 413},
		"garbage":  {"k", "application/protobuf", 10, 400},
	} {
		req, _ := http.NewRequest(http.MethodPost, "http://"+address+"/twirp/medlaryard.peer.Peer/Strike", bytes.NewReader(bytes.Repeat([]byte{0xff}, c.size)))
		req.Header.Set("Content-Type", c.encoding)
		req.Header.Set(keyHeader, c.key)
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		if res.StatusCode != c.status {
			t.Errorf("%s: status %d, want %d", name, res.StatusCode, c.status)
		}
	}
}

// Guards against a large reply that exhausts the client's memory, a panic in an RPC
// without a handler, and an error that claims the wrong value of ran.
func TestClientErrors(t *testing.T) {
	large := func(context.Context, *peerpb.OutcomeRequest) (*peerpb.OutcomeReply, error) {
		return &peerpb.OutcomeReply{Body: make([]byte, 100_000)}, nil
	}
	address := startServer(t, Handlers{Outcome: large}, WithKey("k"))
	c := NewClient(WithMaxMessageBytes(1000), WithKey("k"))
	defer c.Close()
	if _, err := c.Outcome(context.Background(), address, &peerpb.OutcomeRequest{}); err == nil || refusal.FromError(err).Ran() != refusal.Unknown {
		t.Errorf("large reply: %v", err)
	}
	if _, err := c.Report(context.Background(), address, &peerpb.ReportRequest{}); err == nil {
		t.Error("call without a handler succeeded")
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	_, err = c.Report(context.Background(), l.Addr().String(), &peerpb.ReportRequest{})
	if err == nil || refusal.FromError(err).Kind() != refusal.HomeUnreachable || refusal.FromError(err).Ran() != refusal.NotRun {
		t.Errorf("no listener: %v", err)
	}
}

// Guards against reuse of an unresponsive connection. After a call timed out on it,
// the next call must establish a new connection.
func TestSilentConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	silent := make(chan net.Conn, 4)
	go func() { // Accepts the first connection and never answers on it.
		conn, err := l.Accept()
		if err != nil {
			return
		}
		silent <- conn
		_ = http.Serve(l, NewServer(Handlers{Strike: func(context.Context, *peerpb.StrikeRequest) (*peerpb.StrikeReply, error) {
			return &peerpb.StrikeReply{}, nil
		}}))
	}()
	defer func() { _ = l.Close() }()
	c := NewClient(WithMaxConnections(1))
	defer c.Close()
	clk := clock.System{}
	ctx, cancel := clock.WithDeadline(context.Background(), clk, clk.Boot()+50*time.Millisecond)
	_, err = c.Strike(ctx, l.Addr().String(), &peerpb.StrikeRequest{})
	cancel()
	if err == nil || refusal.FromError(err).Ran() != refusal.Unknown {
		t.Errorf("silent connection: %v", err)
	}
	if _, err = c.Strike(context.Background(), l.Addr().String(), &peerpb.StrikeRequest{}); err != nil {
		t.Errorf("next call: %v", err)
	}
	_ = (<-silent).Close()
}

// Guards against a client whose table of daemons grows without bound as daemons are
// replaced by others.
func TestRemotesBound(t *testing.T) {
	c := NewClient()
	for i := range 3 * maxRemotes {
		c.remote(net.JoinHostPort("127.0.0.1", strings.Repeat("1", i%50)+string(rune('a'+i%26))+time.Duration(i).String()))
	}
	if len(c.remotes) > maxRemotes {
		t.Errorf("%d remotes, the limit is %d", len(c.remotes), maxRemotes)
	}
}
