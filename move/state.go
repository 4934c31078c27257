package move

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/peer/peerpb"
)

// State is the stored progress of one move.
type State struct {
	service string
	move    string
	from    string
	to      string
	phase   Phase
	step    uint64
	share   float64
	since   time.Time
	reason  string
	token   string
	counted uint64
}

type stateWire struct {
	Service string    `json:"service"`
	Move    string    `json:"move"`
	From    string    `json:"from"`
	To      string    `json:"to"`
	Phase   Phase     `json:"phase"`
	Step    uint64    `json:"step"`
	Share   float64   `json:"share"`
	Since   time.Time `json:"since"`
	Reason  string    `json:"reason"`
	Token   string    `json:"token"`
	Counted uint64    `json:"counted"`
}

// NewState returns the state of a move that has not started.
func NewState(service string, m *catalogue.Move) State {
	return State{service: service, move: m.Name(), from: m.From(), to: m.To(), phase: Pending}
}

// StateFromProto returns the State that a controller announced in a peer message. It
// lacks the token and the number of counted requests.
func StateFromProto(in *peerpb.MoveShare) State {
	return State{
		service: in.GetService(), move: in.GetMove(), from: in.GetFrom(), to: in.GetTo(),
		phase: Phase(in.GetState()), step: in.GetStep(), share: in.GetShare(),
		reason: in.GetReason(), since: time.UnixMilli(in.GetSinceUnixMs()).UTC(),
	}
}

// ToProto returns the peer message that announces the state to daemons.
func (s State) ToProto() *peerpb.MoveShare {
	return &peerpb.MoveShare{
		Service: s.service, Move: s.move, From: s.from, To: s.to,
		State: string(s.phase), Step: s.step, Share: s.share,
		Reason: s.reason, SinceUnixMs: s.since.UnixMilli(),
	}
}

// Key returns the store key of a move's state.
func Key(service, move string) string { return "move/" + service + "/" + move }

// DecodeState decodes a stored state.
func DecodeState(value []byte) (State, error) {
	var w stateWire
	if err := json.Unmarshal(value, &w); err != nil {
		return State{}, eris.Wrap(err, "decode move state")
	}
	return State{
		service: w.Service, move: w.Move, from: w.From, to: w.To, phase: w.Phase, step: w.Step,
		share: w.Share, since: w.Since, reason: w.Reason, token: w.Token, counted: w.Counted,
	}, nil
}

// Encode returns the stored form of the state, in JSON.
func (s State) Encode() ([]byte, error) {
	b, err := json.Marshal(stateWire{
		Service: s.service, Move: s.move, From: s.from, To: s.to, Phase: s.phase, Step: s.step,
		Share: s.share, Since: s.since, Reason: s.reason, Token: s.token, Counted: s.counted,
	})
	return b, eris.Wrap(err, "encode move state")
}

// Service returns the name of the service.
func (s State) Service() string { return s.service }

// Move returns the name of the move.
func (s State) Move() string { return s.move }

// Phase returns the stage that the move is in.
func (s State) Phase() Phase { return s.phase }

// From returns the version that traffic leaves.
func (s State) From() string { return s.from }

// To returns the version that traffic goes to.
func (s State) To() string { return s.to }

// Step returns the number of steps taken; it never decreases.
func (s State) Step() uint64 { return s.step }

// Share returns the share of traffic that the new version may receive, between 0
// and 1.
func (s State) Share() float64 { return s.share }

// Since returns the time of the last step.
func (s State) Since() time.Time { return s.since }

// Reason returns the reason for the last step, with its evidence.
func (s State) Reason() string { return s.reason }

// Counted returns the number of requests of the new version that were counted
// between the last step and the last write.
func (s State) Counted() uint64 { return s.counted }

// Matches reports whether the state belongs to the declaration m. A move that is
// declared again under the same name with different versions starts from scratch.
func (s State) Matches(m *catalogue.Move) bool {
	return s.move == m.Name() && s.from == m.From() && s.to == m.To()
}
