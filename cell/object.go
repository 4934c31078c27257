package cell

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// object is the value of cell/<cell>: the membership and the keeper's lease.
// Every renewal writes it, so members are listed once and referred to by index.
type object struct {
	Cell       string   `json:"cell"`
	Term       uint64   `json:"term"`
	Epoch      uint64   `json:"epoch"`
	BaseEpoch  uint64   `json:"base_epoch"`
	Generation uint64   `json:"generation"`
	Digest     uint64   `json:"digest"`
	Settled    bool     `json:"settled"`  // No home of an earlier epoch remains.
	Released   bool     `json:"released"` // The keeper gave up its lease.
	Yields     bool     `json:"yields"`   // The keeper hears only a minority; a member that reaches a majority may take over.
	Renewal    uint64   `json:"renewal"`
	Token      string   `json:"token"`
	Keeper     int      `json:"keeper"`
	Daemons    []daemon `json:"daemons"`
	Members    []int    `json:"members"`
	Previous   []int    `json:"previous,omitempty"`
	Base       []int    `json:"base,omitempty"`
}

type daemon struct {
	Name          string `json:"name"`
	Incarnation   string `json:"incarnation"`
	Domain        string `json:"domain,omitempty"`
	Region        string `json:"region,omitempty"`
	CallerAddress string `json:"caller_address,omitempty"`
	PeerAddress   string `json:"peer_address"`
	Leaving       bool   `json:"leaving,omitempty"`
}

func newObject(m *membership) *object {
	o := &object{
		Cell: m.cell, Term: m.term, Epoch: m.epoch, BaseEpoch: m.baseEpoch,
		Generation: m.generation, Digest: m.digest,
	}
	o.Members = o.refer(m.members)
	o.Keeper = o.refer([]Member{m.keeper})[0]
	o.Previous = o.refer(m.previous)
	o.Base = o.refer(m.base)
	return o
}

// refer returns the indexes of list, adding what is missing to the daemons.
func (o *object) refer(list []Member) []int {
	out := make([]int, 0, len(list))
	for _, m := range list {
		out = append(out, o.index(m))
	}
	return out
}

func (o *object) index(m Member) int {
	for i, d := range o.Daemons {
		if d.Incarnation == m.Incarnation() {
			return i
		}
	}
	o.Daemons = append(o.Daemons, daemon(*m.get()))
	return len(o.Daemons) - 1
}

func (o *object) encode() ([]byte, error) {
	value, err := json.Marshal(o)
	if err == nil && len(value) > maxObject {
		err = eris.Errorf("membership object has %d bytes, the limit is %d", len(value), maxObject)
	}
	return value, err
}

// decodeObject reads and checks the value of cell/<cell>.
func decodeObject(value []byte, cell string) (*object, *membership, error) {
	if len(value) > maxObject {
		return nil, nil, eris.Errorf("membership object has %d bytes, the limit is %d", len(value), maxObject)
	}
	var o object
	if err := json.Unmarshal(value, &o); err != nil {
		return nil, nil, eris.Wrap(err, "membership object is not valid JSON")
	}
	if len(o.Members) > maxMembers || len(o.Base) > maxMembers || len(o.Previous) > maxHolders {
		return nil, nil, eris.Errorf("membership object lists %d members", len(o.Members))
	}
	m := &membership{
		cell: o.Cell, term: o.Term, epoch: o.Epoch, baseEpoch: o.BaseEpoch,
		generation: o.Generation, digest: o.Digest,
	}
	keeper, err := o.resolve([]int{o.Keeper})
	if err != nil {
		return nil, nil, err
	}
	m.keeper = keeper[0]
	for _, l := range []struct {
		refs []int
		out  *[]Member
	}{{o.Members, &m.members}, {o.Previous, &m.previous}, {o.Base, &m.base}} {
		if *l.out, err = o.resolve(l.refs); err != nil {
			return nil, nil, err
		}
	}
	return &o, m, m.check(cell)
}

func (o *object) resolve(refs []int) ([]Member, error) {
	out := make([]Member, 0, len(refs))
	for _, i := range refs {
		if i < 0 || i >= len(o.Daemons) {
			return nil, eris.Errorf("membership object refers to daemon %d of %d", i, len(o.Daemons))
		}
		out = append(out, NewMember(MemberSpec(o.Daemons[i])))
	}
	return out, nil
}
