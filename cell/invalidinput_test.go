package cell

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"medlaryard.example/medlaryard/lease"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/peer/peerpb"
)

// Guards against a malformed, oversized or contradictory configuration replacing the
// one in force, and against rejecting a valid one afterwards.
func TestBadConfigurations(t *testing.T) {
	f := newRunningFleet(t, 3)
	for _, c := range [][2]string{
		{"garbage", "{"},
		{"no generation", `{"token":"x","text":"0 x."}`},
		{"no token", `{"generation":2,"text":"0 x."}`},
		{"bad text", `{"generation":2,"token":"x","text":"?"}`},
		{"far ahead", `{"generation":9000000000,"token":"x","text":"0 x."}`},
		{"other token", `{"generation":1,"token":"other","text":"0 x."}`},
		{"too large", strings.Repeat(" ", maxObject+1)},
	} {
		name, value := c[0], c[1]
		before := meter.CounterValue("cell.refused.configuration")
		f.st.set(CatalogueKey, []byte(value))
		f.requireDuring(time.Second, name, f.checkConverged)
		if meter.CounterValue("cell.refused.configuration") == before {
			t.Errorf("%s: rejection not counted", name)
		}
	}
	f.st.set(CatalogueKey, []byte(`{"generation":0}`))
	f.st.applyConfiguration(catalogueText(2, "", 1))
	f.waitUntil(4*time.Second, "repaired", f.checkConverged)
}

// Guards against installing an older configuration that an operator or a restored
// store writes.
func TestOlderConfiguration(t *testing.T) {
	f := newRunningFleet(t, 3)
	f.st.applyConfiguration(catalogueText(5, "", 1))
	f.run(4*time.Second, f.checkShares)
	f.st.applyConfiguration(catalogueText(4, "", 2))
	f.st.generation = 5
	f.requireDuring(70*time.Second, "older", f.checkConverged)
}

// Guards against homes moving when the cell object is overwritten or reset to an older
// state. A leader must write a valid object again.
func TestBadCellObjects(t *testing.T) {
	f := newRunningFleet(t, 5)
	old := f.st.objects["cell/c"].Value()
	f.run(5*time.Second, f.checkShares)
	for _, c := range [][2]string{
		{"garbage", "]"},
		{"empty", `{"cell":"c","term":1,"epoch":1}`},
		{"bad index", strings.Replace(string(old), `"keeper":0`, `"keeper":77`, 1)},
		{"older object", string(old)},
		{"far ahead", strings.Replace(string(old), `"epoch":`, `"epoch":900000000`, 1)},
		{"term earlier", strings.Replace(string(old), `"epoch":`, `"epoch":90`, 1)},
		{"term far ahead", strings.Replace(string(old), `"term":`, `"term":900000000`, 1)},
	} {
		name, value := c[0], c[1]
		epoch := f.nodes[0].cell.view.membership.epoch
		f.st.set("cell/c", []byte(value))
		f.requireDuring(2*time.Second, name, func() error { return f.checkHomes(lease.Full, f.groupIDs) })
		f.waitUntil(20*time.Second, name+" repaired", func() error {
			for _, n := range f.nodes {
				if n.cell.view.membership.epoch <= epoch || n.cell.view.membership.epoch > epoch+100 {
					return fmt.Errorf("vm%d has epoch %d after %d", n.index, n.cell.view.membership.epoch, epoch)
				}
			}
			return f.checkConverged()
		})
	}
}

// Guards against malformed peer messages, or ones with an epoch too far ahead,
// changing the state of a daemon.
func TestBadPeerMessages(t *testing.T) {
	f := newRunningFleet(t, 3)
	n := f.nodes[0]
	good := n.cell.view.membership.wire()
	good.Epoch++
	for name, change := range map[string]func(m *peerpb.Membership){
		"other cell":    func(m *peerpb.Membership) { m.Cell = "x" },
		"far ahead":     func(m *peerpb.Membership) { m.Epoch += 1 << 40 },
		"no leader":     func(m *peerpb.Membership) { m.KeeperIncarnation = "" },
		"no members":    func(m *peerpb.Membership) { m.Members = nil },
		"nil member":    func(m *peerpb.Membership) { m.Members = append(m.Members, nil) },
		"twice":         func(m *peerpb.Membership) { m.Members = append(m.Members, m.Members[0]) },
		"long name":     func(m *peerpb.Membership) { m.Members[0].Domain = strings.Repeat("x", maxName+1) },
		"many previous": func(m *peerpb.Membership) { m.Previous = make([]*peerpb.Member, maxPrevious+1) },
		"no base":       func(m *peerpb.Membership) { m.Base = nil },
		"base ahead":    func(m *peerpb.Membership) { m.BaseEpoch = m.Epoch },
	} {
		m := proto.Clone(good).(*peerpb.Membership)
		change(m)
		before := meter.CounterValue("cell.refused.membership")
		if _, err := n.cell.HandleSync(context.Background(), &peerpb.SyncRequest{Membership: m}); err != nil {
			t.Fatal(err)
		}
		if n.cell.view.membership.epoch >= good.Epoch || meter.CounterValue("cell.refused.membership") == before {
			t.Errorf("%s: membership adopted or rejection not counted", name)
		}
	}
	for name, in := range map[string]*peerpb.HeartbeatRequest{
		"nil member":   {},
		"epoch ahead":  {Member: n.cell.self.wire(), KnownEpoch: 1 << 60},
		"acknowledged": {Member: n.cell.self.wire(), KnownEpoch: 1, Epoch: 2},
		"impostor":     {Member: &peerpb.Member{Name: "x", Incarnation: n.cell.self.Incarnation(), PeerAddress: "y"}, KnownEpoch: good.Epoch - 1},
	} {
		if r, _ := f.leader().cell.HandleHeartbeat(context.Background(), in); r.Accepted {
			t.Errorf("heartbeat %s accepted", name)
		}
	}
}

// Guards against a configuration that never arrives because the watches are silent: a
// direct read must return it within about a minute.
func TestSilentWatches(t *testing.T) {
	t.Parallel()
	f := newRunningFleet(t, 5)
	f.st.silentWatches = true
	f.run(watchTimeout, f.checkShares)
	f.st.applyConfiguration(catalogueText(2, "", 1))
	f.waitUntil(checkInterval, "direct reads", f.checkConverged)
}

// Guards against more store calls than one write per renewal, one direct read per
// minute and member, and the watches of two members per failure domain.
func TestStoreCalls(t *testing.T) {
	t.Parallel()
	f := newRunningFleet(t, 9)
	f.run(10*time.Second, f.checkShares)
	f.st.gets, f.st.puts, f.st.watches = 0, 0, 0
	f.run(2*time.Minute, f.checkShares)
	if maxWrites := int(2 * time.Minute / renewInterval); f.st.puts > maxWrites {
		t.Errorf("%d writes, at most %d", f.st.puts, maxWrites)
	}
	if f.st.gets > 3*9 {
		t.Errorf("%d reads, at most 3 for each member", f.st.gets)
	}
	if maxWatches := watchersPerDomain * domains; f.st.waitingWatches > maxWatches || f.st.watches > 5*maxWatches {
		t.Errorf("%d waiting watches and %d made, at most %d and %d", f.st.waitingWatches, f.st.watches, maxWatches, 5*maxWatches)
	}
}
