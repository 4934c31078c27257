package cell

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"medlaryard.example/medlaryard/catalogue"
)

// table is the ownership table: for each replica group the members that may be
// its home, in the order in which they are asked. It is immutable.
type table struct {
	in      *inputs
	members []Member
	orders  map[string][]Member
}

func newTable(in *inputs, members []Member) *table {
	t := &table{in: in, orders: make(map[string][]Member, len(in.groups))}
	for _, m := range members {
		if !m.Leaving() && in.inService[m.Domain()] {
			t.members = append(t.members, m)
		}
	}
	for _, g := range in.groups {
		t.orders[g.id] = t.rank(g.id, g.domains)
	}
	return t
}

// order returns the members for g; the result is shared and must not be changed.
func (t *table) order(g catalogue.Group) []Member {
	if o, ok := t.orders[g.ID()]; ok {
		return o
	}
	return t.rank(g.ID(), domainsOf(g))
}

// owned returns the groups whose home is the member of that name.
func (t *table) owned(name string) []string {
	var ids []string
	for _, g := range t.in.groups {
		if o := t.orders[g.id]; len(o) > 0 && o[0].Name() == name {
			ids = append(ids, g.id)
		}
	}
	return ids
}

type ranked struct {
	m     Member
	near  bool
	score uint64
}

func (t *table) rank(id string, domains []string) []Member {
	var buf [64]ranked
	rs := buf[:0]
	for _, m := range t.members {
		rs = append(rs, ranked{m, slices.Contains(domains, m.Domain()), score(id, m.Name())})
	}
	slices.SortFunc(rs, func(a, b ranked) int {
		if a.near != b.near {
			if a.near {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.m.Name(), b.m.Name()))
	})
	out := make([]Member, len(rs))
	for i, r := range rs {
		out[i] = r.m
	}
	return out
}

// score is the rendezvous weight of a member for a key. The name, not the
// incarnation, is hashed, so that a restarted daemon gets its homes back.
func score(key, name string) uint64 {
	var buf [128]byte
	b := append(buf[:0], key...)
	b = append(b, 0)
	b = append(b, name...)
	return xxhash.Sum64(b)
}
