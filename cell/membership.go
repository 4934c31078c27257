package cell

import (
	"slices"

	"github.com/rotisserie/eris"
)

// membership is one epoch of the cell, as its keeper wrote it. It is immutable.
type membership struct {
	cell       string
	term       uint64 // Grows with every change of keeper.
	epoch      uint64 // Grows with every change of anything below.
	baseEpoch  uint64 // The last epoch that was settled.
	generation uint64 // Catalogue generation that the keeper had.
	digest     uint64 // Of the inputs that homes are computed from; 0 without a catalogue.
	keeper     Member
	members    []Member
	previous   []Member // All that may still be homes by earlier epochs.
	base       []Member // Members of baseEpoch that stayed; a majority of them must acknowledge this epoch.
}

// newer reports whether m follows o, which may be nil.
func (m *membership) newer(o *membership) bool {
	return o == nil || m.epoch > o.epoch && m.term >= o.term
}

// contradicts reports whether m cannot follow o, which may be nil, though its
// epoch is later: its term is earlier, or it is further ahead than can be.
func (m *membership) contradicts(o *membership) bool {
	if o == nil || m.epoch <= o.epoch {
		return false
	}
	return m.term < o.term || m.epoch-o.epoch > maxStep || m.term-o.term > maxStep
}

// member finds a member by incarnation.
func (m *membership) member(incarnation string) (Member, bool) {
	return findMember(m.members, incarnation)
}

// direct reports whether the epoch before this one was settled, so that only
// one earlier home of each group can exist.
func (m *membership) direct() bool { return m.epoch == m.baseEpoch+1 }

// check returns an error when m breaks a bound or contradicts itself.
func (m *membership) check(cell string) error {
	switch {
	case m.cell != cell:
		return eris.Errorf("membership is of cell %q, not %q", m.cell, cell)
	case m.term == 0 || m.epoch == 0 || m.baseEpoch >= m.epoch:
		return eris.Errorf("membership has term %d, epoch %d, base %d", m.term, m.epoch, m.baseEpoch)
	case len(m.members) == 0 || len(m.members) > maxMembers || len(m.base) == 0 || len(m.base) > maxMembers || len(m.previous) > maxHolders:
		return eris.Errorf("membership has %d members, %d of the base, %d previous", len(m.members), len(m.base), len(m.previous))
	}
	if _, ok := m.member(m.keeper.Incarnation()); !ok {
		return eris.Errorf("keeper %q is not a member", m.keeper.Name())
	}
	names := make(map[string]bool, len(m.members))
	for _, x := range m.members {
		if names[x.Name()] {
			return eris.Errorf("membership lists %q twice", x.Name())
		}
		names[x.Name()] = true
	}
	for _, list := range [][]Member{m.members, m.previous, m.base} {
		for _, x := range list {
			if err := x.check(); err != nil {
				return err
			}
		}
	}
	return nil
}

func (m Member) check() error {
	for _, s := range []string{m.Name(), m.Incarnation(), m.PeerAddress()} {
		if s == "" || len(s) > maxName {
			return eris.Errorf("member %.40q lacks a name, incarnation or peer address, or one is too long", m.Name())
		}
	}
	if len(m.Domain()) > maxName || len(m.Region()) > maxName || len(m.CallerAddress()) > maxName {
		return eris.Errorf("member %.40q has an attribute that is too long", m.Name())
	}
	return nil
}

func findMember(list []Member, incarnation string) (Member, bool) {
	for _, m := range list {
		if m.Incarnation() == incarnation {
			return m, true
		}
	}
	return Member{}, false
}

// staying returns the members that are not leaving. A leaving member takes no
// homes again, so it neither holds any after its last epoch is settled nor
// votes. When all are leaving they all count, because an empty base could be
// outvoted by no one.
func staying(list []Member) []Member {
	out := slices.DeleteFunc(slices.Clone(list), Member.Leaving)
	if len(out) == 0 {
		return list
	}
	return out
}

// union returns the members of both lists, without duplicates.
func union(a, b []Member) []Member {
	out := append([]Member(nil), a...)
	for _, m := range b {
		if _, ok := findMember(a, m.Incarnation()); !ok {
			out = append(out, m)
		}
	}
	return out
}

// majority reports whether ok holds for more than half of list.
func majority(list []Member, ok func(Member) bool) bool {
	n := 0
	for _, m := range list {
		if ok(m) {
			n++
		}
	}
	return n > len(list)/2
}
