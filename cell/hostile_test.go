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

// Guards against a malformed, huge or contradictory configuration that replaces
// the last good one, and against a repaired one that is then refused.
func TestBadConfigurations(t *testing.T) {
	f := running(t, 3)
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
		before := meter.Value("cell.refused.configuration")
		f.st.set(CatalogueKey, []byte(value))
		f.steady(time.Second, name, f.whole)
		if meter.Value("cell.refused.configuration") == before {
			t.Errorf("%s: not counted", name)
		}
	}
	f.st.set(CatalogueKey, []byte(`{"generation":0}`))
	f.st.apply(catalogueText(2, "", 1))
	f.want(4*time.Second, "repaired", f.whole)
}

// Guards against a configuration that reverts when an operator or a restored
// store writes an older one.
func TestOlderConfiguration(t *testing.T) {
	f := running(t, 3)
	f.st.apply(catalogueText(5, "", 1))
	f.run(4*time.Second, f.check)
	f.st.apply(catalogueText(4, "", 2))
	f.st.generation = 5
	f.steady(70*time.Second, "older", f.whole)
}

// Guards against a cell object that others overwrote, deleted or set back: homes
// stay where they are and a keeper writes it again.
func TestBadCellObjects(t *testing.T) {
	f := running(t, 5)
	old := f.st.objects["cell/c"].Value()
	f.run(5*time.Second, f.check)
	for _, c := range [][2]string{
		{"garbage", "]"},
		{"empty", `{"cell":"c","term":1,"epoch":1}`},
		{"bad index", strings.Replace(string(old), `"keeper":0`, `"keeper":77`, 1)},
		{"set back", string(old)},
		{"far ahead", strings.Replace(string(old), `"epoch":`, `"epoch":900000000`, 1)},
		{"term earlier", strings.Replace(string(old), `"epoch":`, `"epoch":90`, 1)},
		{"term far ahead", strings.Replace(string(old), `"term":`, `"term":900000000`, 1)},
	} {
		name, value := c[0], c[1]
		epoch := f.nodes[0].cell.view.m.epoch
		f.st.set("cell/c", []byte(value))
		f.steady(2*time.Second, name, func() error { return f.homes(lease.Full, f.ids) })
		f.want(20*time.Second, name+" repaired", func() error {
			for _, n := range f.nodes {
				if n.cell.view.m.epoch <= epoch || n.cell.view.m.epoch > epoch+100 {
					return fmt.Errorf("vm%d has epoch %d after %d", n.pos, n.cell.view.m.epoch, epoch)
				}
			}
			return f.whole()
		})
	}
}

// Guards against peer messages that change the view of a daemon although they
// are malformed or far ahead.
func TestBadPeerMessages(t *testing.T) {
	f := running(t, 3)
	n := f.nodes[0]
	good := n.cell.view.m.wire()
	good.Epoch++
	for name, change := range map[string]func(m *peerpb.Membership){
		"other cell":    func(m *peerpb.Membership) { m.Cell = "x" },
		"far ahead":     func(m *peerpb.Membership) { m.Epoch += 1 << 40 },
		"no keeper":     func(m *peerpb.Membership) { m.KeeperIncarnation = "" },
		"no members":    func(m *peerpb.Membership) { m.Members = nil },
		"nil member":    func(m *peerpb.Membership) { m.Members = append(m.Members, nil) },
		"twice":         func(m *peerpb.Membership) { m.Members = append(m.Members, m.Members[0]) },
		"long name":     func(m *peerpb.Membership) { m.Members[0].Domain = strings.Repeat("x", maxName+1) },
		"many previous": func(m *peerpb.Membership) { m.Previous = make([]*peerpb.Member, maxHolders+1) },
		"no base":       func(m *peerpb.Membership) { m.Base = nil },
		"base ahead":    func(m *peerpb.Membership) { m.BaseEpoch = m.Epoch },
	} {
		m := proto.Clone(good).(*peerpb.Membership)
		change(m)
		before := meter.Value("cell.refused.membership")
		if _, err := n.cell.HandleSync(context.Background(), &peerpb.SyncRequest{Membership: m}); err != nil {
			t.Fatal(err)
		}
		if n.cell.view.m.epoch >= good.Epoch || meter.Value("cell.refused.membership") == before {
			t.Errorf("%s: adopted or not counted", name)
		}
	}
	for name, in := range map[string]*peerpb.HeartbeatRequest{
		"nil member":   {},
		"epoch ahead":  {Member: n.cell.self.wire(), KnownEpoch: 1 << 60},
		"acknowledged": {Member: n.cell.self.wire(), KnownEpoch: 1, Epoch: 2},
		"impostor":     {Member: &peerpb.Member{Name: "x", Incarnation: n.cell.self.Incarnation(), PeerAddress: "y"}, KnownEpoch: good.Epoch - 1},
	} {
		if r, _ := f.keeper().cell.HandleHeartbeat(context.Background(), in); r.Accepted {
			t.Errorf("heartbeat %s accepted", name)
		}
	}
}

// Guards against watches that go silent: the direct reads still bring the
// configuration within about a minute, and a renewed watch sooner.
func TestSilentWatches(t *testing.T) {
	t.Parallel()
	f := running(t, 5)
	f.st.silent = true
	f.run(watchTime, f.check)
	f.st.apply(catalogueText(2, "", 1))
	f.want(checkInterval, "direct reads", f.whole)
}

// Guards against store calls that grow with time or members beyond the bound:
// one write for each renewal, one direct read a minute for each member, and the
// watches of two members of each failure domain.
func TestStoreCalls(t *testing.T) {
	t.Parallel()
	f := running(t, 9)
	f.run(10*time.Second, f.check)
	f.st.gets, f.st.puts, f.st.watches = 0, 0, 0
	f.run(2*time.Minute, f.check)
	if most := int(2 * time.Minute / renewInterval); f.st.puts > most {
		t.Errorf("%d writes, at most %d", f.st.puts, most)
	}
	if f.st.gets > 3*9 {
		t.Errorf("%d reads, at most 3 for each member", f.st.gets)
	}
	if most := watchersPerDomain * domains; f.st.waiting > most || f.st.watches > 5*most {
		t.Errorf("%d waiting watches and %d made, at most %d and %d", f.st.waiting, f.st.watches, most, 5*most)
	}
}
