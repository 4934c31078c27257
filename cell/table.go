package cell

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"medlaryard.example/medlaryard/catalogue"
)

// homeTable maps each replica group to its preference list, whose first member is the
// home. It is immutable.
type homeTable struct {
	in              *inputs
	members         []Member
	preferenceLists map[string][]Member
}

func newHomeTable(in *inputs, members []Member) *homeTable {
	t := &homeTable{in: in, preferenceLists: make(map[string][]Member, len(in.groups))}
	for _, m := range members {
		if !m.Leaving() && in.inService[m.Domain()] {
			t.members = append(t.members, m)
		}
	}
	for _, g := range in.groups {
		t.preferenceLists[g.id] = t.rankMembers(g.id, g.domains)
	}
	return t
}

// preferenceList returns the preference list of g, also for a group that is not in the
// table. The result is shared and must not be changed.
func (t *homeTable) preferenceList(g catalogue.Group) []Member {
	if o, ok := t.preferenceLists[g.ID()]; ok {
		return o
	}
	return t.rankMembers(g.ID(), domainsOf(g))
}

// ownedGroups returns the IDs of the groups whose home is the member of that name,
// sorted.
func (t *homeTable) ownedGroups(name string) []string {
	var ids []string
	for _, g := range t.in.groups {
		if o := t.preferenceLists[g.id]; len(o) > 0 && o[0].Name() == name {
			ids = append(ids, g.id)
		}
	}
	return ids
}

type rankedMember struct {
	member   Member
	inDomain bool
	score    uint64
}

// rankMembers sorts the members by rendezvous score. Members in one of the failure
// domains come first.
func (t *homeTable) rankMembers(id string, domains []string) []Member {
	var buf [64]rankedMember
	rs := buf[:0]
	for _, m := range t.members {
		rs = append(rs, rankedMember{m, slices.Contains(domains, m.Domain()), score(id, m.Name())})
	}
	slices.SortFunc(rs, func(a, b rankedMember) int {
		if a.inDomain != b.inDomain {
			if a.inDomain {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.Name(), b.member.Name()))
	})
	out := make([]Member, len(rs))
	for i, r := range rs {
		out[i] = r.member
	}
	return out
}

// score returns the rendezvous hash of a member for a key. It hashes the name, not the
// incarnation, so that a restarted daemon gets its homes back.
func score(key, name string) uint64 {
	var buf [128]byte
	b := append(buf[:0], key...)
	b = append(b, 0)
	b = append(b, name...)
	return xxhash.Sum64(b)
}
