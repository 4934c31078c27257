package cell

import (
	"time"

	"github.com/rotisserie/eris"

	"medlaryard.example/medlaryard/peer/peerpb"
)

func (m Member) wire() *peerpb.Member {
	return &peerpb.Member{
		Name:          m.Name(),
		Incarnation:   m.Incarnation(),
		Domain:        m.Domain(),
		Region:        m.Region(),
		CallerAddress: m.CallerAddress(),
		PeerAddress:   m.PeerAddress(),
		Leaving:       m.Leaving(),
	}
}

func memberOf(w *peerpb.Member) Member {
	return NewMember(MemberSpec{
		Name:          w.GetName(),
		Incarnation:   w.GetIncarnation(),
		Domain:        w.GetDomain(),
		Region:        w.GetRegion(),
		CallerAddress: w.GetCallerAddress(),
		PeerAddress:   w.GetPeerAddress(),
		Leaving:       w.GetLeaving(),
	})
}

func wireMembers(list []Member) []*peerpb.Member {
	out := make([]*peerpb.Member, len(list))
	for i, m := range list {
		out[i] = m.wire()
	}
	return out
}

func membersOf(list []*peerpb.Member) []Member {
	out := make([]Member, len(list))
	for i, w := range list {
		out[i] = memberOf(w)
	}
	return out
}

func (m *membership) wire() *peerpb.Membership {
	return &peerpb.Membership{
		Cell:              m.cell,
		Term:              m.term,
		Epoch:             m.epoch,
		Keeper:            m.leader.Name(),
		KeeperIncarnation: m.leader.Incarnation(),
		Members:           wireMembers(m.members),
		Previous:          wireMembers(m.previous),
		Base:              wireMembers(m.base),
		Generation:        m.generation,
		Digest:            m.digest,
		BaseEpoch:         m.baseEpoch,
	}
}

func membershipOf(w *peerpb.Membership, cell string) (*membership, error) {
	if len(w.GetMembers()) > maxMembers || len(w.GetPrevious()) > maxPrevious || len(w.GetBase()) > maxMembers {
		return nil, eris.Errorf("membership message lists %d members, %d base members and %d previous members; the limits are %d, %d and %d", len(w.GetMembers()), len(w.GetBase()), len(w.GetPrevious()), maxMembers, maxMembers, maxPrevious)
	}
	m := &membership{
		cell:       w.GetCell(),
		term:       w.GetTerm(),
		epoch:      w.GetEpoch(),
		baseEpoch:  w.GetBaseEpoch(),
		generation: w.GetGeneration(),
		digest:     w.GetDigest(),
		members:    membersOf(w.GetMembers()),
		previous:   membersOf(w.GetPrevious()),
		base:       membersOf(w.GetBase()),
	}
	m.leader, _ = m.member(w.GetKeeperIncarnation())
	return m, m.check(cell)
}

func (d Document) wire() *peerpb.Catalogue {
	return &peerpb.Catalogue{
		Generation:    d.Generation,
		Token:         d.Token,
		Author:        d.Author,
		AppliedUnixMs: d.Time.UnixMilli(),
		Text:          []byte(d.Text),
	}
}

func documentOf(w *peerpb.Catalogue) (Document, error) {
	d := Document{
		Generation: w.GetGeneration(),
		Token:      w.GetToken(),
		Text:       string(w.GetText()),
		Author:     w.GetAuthor(),
		Time:       time.UnixMilli(w.GetAppliedUnixMs()).UTC(),
	}
	return d, d.check()
}
