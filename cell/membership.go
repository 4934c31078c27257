package cell

import (
	"slices"

	"github.com/rotisserie/eris"
)

// membership is one epoch of the cell, as the leader wrote it. It is immutable.
type membership struct {
	cell       string
	term       uint64 // Increases with every change of leader.
	epoch      uint64 // Increases with every change of a field below.
	baseEpoch  uint64 // The last epoch that was settled.
	generation uint64 // Catalogue generation that the leader had.
	digest     uint64 // Of the inputs from which homes are computed; 0 without a catalogue.
	leader     Member
	members    []Member
	previous   []Member // Members that may still be homes in earlier epochs.
	base       []Member // Members of baseEpoch that stayed; a majority of them must acknowledge this epoch.
}

// isNewerThan reports whether m has a later epoch than o and no earlier term. o may be
// nil.
func (m *membership) isNewerThan(o *membership) bool {
	return o == nil || m.epoch > o.epoch && m.term >= o.term
}

// cannotFollow reports whether m has a later epoch than o but is invalid as its
// successor: its term is earlier, or its term or epoch is more than maxStep ahead. o
// may be nil.
func (m *membership) cannotFollow(o *membership) bool {
	if o == nil || m.epoch <= o.epoch {
		return false
	}
	return m.term < o.term || m.epoch-o.epoch > maxStep || m.term-o.term > maxStep
}

// member finds a member by incarnation.
func (m *membership) member(incarnation string) (Member, bool) {
	return findMember(m.members, incarnation)
}

// followsSettled reports whether the epoch before this one was settled, so that only
// one earlier home of each group can exist.
func (m *membership) followsSettled() bool { return m.epoch == m.baseEpoch+1 }

// check returns an error if m belongs to another cell, exceeds a limit or is
// inconsistent.
func (m *membership) check(cell string) error {
	switch {
	case m.cell != cell:
		return eris.Errorf("membership belongs to cell %q, not %q", m.cell, cell)
	case m.term == 0 || m.epoch == 0 || m.baseEpoch >= m.epoch:
		return eris.Errorf("membership has invalid term %d, epoch %d or base epoch %d", m.term, m.epoch, m.baseEpoch)
	case len(m.members) == 0 || len(m.members) > maxMembers || len(m.base) == 0 || len(m.base) > maxMembers || len(m.previous) > maxPrevious:
		return eris.Errorf("membership has %d members, %d base members and %d previous members; the limits are 1 to %d, 1 to %d and %d", len(m.members), len(m.base), len(m.previous), maxMembers, maxMembers, maxPrevious)
	}
	if _, ok := m.member(m.leader.Incarnation()); !ok {
		return eris.Errorf("leader %q is not a member", m.leader.Name())
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

// check returns an error if a required field is missing or a field is too long.
func (m Member) check() error {
	for _, s := range []string{m.Name(), m.Incarnation(), m.PeerAddress()} {
		if s == "" || len(s) > maxName {
			return eris.Errorf("name, incarnation or peer address of member %.40q is missing or longer than %d bytes", m.Name(), maxName)
		}
	}
	if len(m.Domain()) > maxName || len(m.Region()) > maxName || len(m.CallerAddress()) > maxName {
		return eris.Errorf("domain, region or caller address of member %.40q is longer than %d bytes", m.Name(), maxName)
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

// stayingMembers returns the members that are not leaving. A leaving member gets no
// homes again, so it has none after its last epoch is settled, and it does not vote.
// If all members are leaving, it returns all of them, because an empty base cannot
// have a majority.
func stayingMembers(list []Member) []Member {
	out := slices.DeleteFunc(slices.Clone(list), Member.Leaving)
	if len(out) == 0 {
		return list
	}
	return out
}

// unionMembers returns the members of both lists, without duplicates.
func unionMembers(a, b []Member) []Member {
	out := append([]Member(nil), a...)
	for _, m := range b {
		if _, ok := findMember(a, m.Incarnation()); !ok {
			out = append(out, m)
		}
	}
	return out
}

// isMajority reports whether ok is true for more than half of list.
func isMajority(list []Member, ok func(Member) bool) bool {
	n := 0
	for _, m := range list {
		if ok(m) {
			n++
		}
	}
	return n > len(list)/2
}
