package cell

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// cellObject is the value of the store key cell/<cell>: the membership and the
// leader's lease. Every renewal writes it, so to keep it small each daemon is listed
// once and referred to by index.
type cellObject struct {
	Cell       string   `json:"cell"`
	Term       uint64   `json:"term"`
	Epoch      uint64   `json:"epoch"`
	BaseEpoch  uint64   `json:"base_epoch"`
	Generation uint64   `json:"generation"`
	Digest     uint64   `json:"digest"`
	Settled    bool     `json:"settled"`  // No home of an earlier epoch remains.
	Released   bool     `json:"released"` // The leader released its lease.
	Yields     bool     `json:"yields"`   // The leader gets heartbeats only from a minority; a member that reaches a majority may take over.
	Renewal    uint64   `json:"renewal"`
	Token      string   `json:"token"`
	Leader     int      `json:"keeper"`
	Daemons    []daemon `json:"daemons"`
	Members    []int    `json:"members"`
	Previous   []int    `json:"previous,omitempty"`
	Base       []int    `json:"base,omitempty"`
}

// daemon is the stored form of a Member.
type daemon struct {
	Name          string `json:"name"`
	Incarnation   string `json:"incarnation"`
	Domain        string `json:"domain,omitempty"`
	Region        string `json:"region,omitempty"`
	CallerAddress string `json:"caller_address,omitempty"`
	PeerAddress   string `json:"peer_address"`
	Leaving       bool   `json:"leaving,omitempty"`
}

func newObject(m *membership) *cellObject {
	o := &cellObject{
		Cell: m.cell, Term: m.term, Epoch: m.epoch, BaseEpoch: m.baseEpoch,
		Generation: m.generation, Digest: m.digest,
	}
	o.Members = o.indexesOf(m.members)
	o.Leader = o.indexesOf([]Member{m.leader})[0]
	o.Previous = o.indexesOf(m.previous)
	o.Base = o.indexesOf(m.base)
	return o
}

// indexesOf returns the indexes of list in o.Daemons and appends missing members.
func (o *cellObject) indexesOf(list []Member) []int {
	out := make([]int, 0, len(list))
	for _, m := range list {
		out = append(out, o.indexOf(m))
	}
	return out
}

func (o *cellObject) indexOf(m Member) int {
	for i, d := range o.Daemons {
		if d.Incarnation == m.Incarnation() {
			return i
		}
	}
	o.Daemons = append(o.Daemons, daemon(*m.get()))
	return len(o.Daemons) - 1
}

func (o *cellObject) encode() ([]byte, error) {
	value, err := json.Marshal(o)
	if err == nil && len(value) > maxObject {
		err = eris.Errorf("cell object has %d bytes, the limit is %d", len(value), maxObject)
	}
	return value, err
}

// decodeObject decodes and validates the value of the store key cell/<cell>.
func decodeObject(value []byte, cell string) (*cellObject, *membership, error) {
	if len(value) > maxObject {
		return nil, nil, eris.Errorf("cell object has %d bytes, the limit is %d", len(value), maxObject)
	}
	var o cellObject
	if err := json.Unmarshal(value, &o); err != nil {
		return nil, nil, eris.Wrap(err, "cell object is not valid JSON")
	}
	if len(o.Members) > maxMembers || len(o.Base) > maxMembers || len(o.Previous) > maxPrevious {
		return nil, nil, eris.Errorf("cell object lists %d members, %d base members and %d previous members; the limits are %d, %d and %d", len(o.Members), len(o.Base), len(o.Previous), maxMembers, maxMembers, maxPrevious)
	}
	m := &membership{
		cell: o.Cell, term: o.Term, epoch: o.Epoch, baseEpoch: o.BaseEpoch,
		generation: o.Generation, digest: o.Digest,
	}
	leader, err := o.membersAt([]int{o.Leader})
	if err != nil {
		return nil, nil, err
	}
	m.leader = leader[0]
	for _, l := range []struct {
		refs []int
		out  *[]Member
	}{{o.Members, &m.members}, {o.Previous, &m.previous}, {o.Base, &m.base}} {
		if *l.out, err = o.membersAt(l.refs); err != nil {
			return nil, nil, err
		}
	}
	return &o, m, m.check(cell)
}

// membersAt returns the daemons at the indexes refs.
func (o *cellObject) membersAt(refs []int) ([]Member, error) {
	out := make([]Member, 0, len(refs))
	for _, i := range refs {
		if i < 0 || i >= len(o.Daemons) {
			return nil, eris.Errorf("cell object refers to daemon %d of %d", i, len(o.Daemons))
		}
		out = append(out, NewMember(MemberSpec(o.Daemons[i])))
	}
	return out, nil
}
