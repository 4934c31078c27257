package daemon

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/rs/zerolog/log"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/cell"
	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/home"
	"medlaryard.example/medlaryard/move"
	"medlaryard.example/medlaryard/peer/peerpb"
	"medlaryard.example/medlaryard/store"
)

const (
	// moveInterval is the time between reports of evidence. It also bounds the time
	// from a home's evidence of a fault to its local stop.
	moveInterval = time.Second
	// moveRoundTimeout is the timeout of one report or step.
	moveRoundTimeout = 2 * time.Second
)

// moves runs this daemon's part of version moves. It reports the evidence of its
// homes to the cell's leader, which runs the controller, and applies the shares that
// the leader returns.
type moves struct {
	clk         clock.Clock
	cell        *cell.Cell
	homes       *home.Set
	incarnation string
	report      func(context.Context, string, *peerpb.ReportRequest) (*peerpb.ReportReply, error)
	controller  *move.Controller
	follower    *move.Follower
}

func newMoves(clk clock.Clock, s store.Store, c *cell.Cell, homes *home.Set, incarnation string,
	report func(context.Context, string, *peerpb.ReportRequest) (*peerpb.ReportReply, error),
) *moves {
	return &moves{
		clk: clk, cell: c, homes: homes, incarnation: incarnation, report: report,
		controller: move.NewController(clk, s, rand.Text, move.WithLeadershipCheck(c.IsLeader)),
		follower:   move.NewFollower(clk, homes.SetMoveShare),
	}
}

// run executes a round of the declared moves every moveInterval until ctx ends.
func (m *moves) run(ctx context.Context) {
	for clock.Sleep(ctx, m.clk, moveInterval) == nil {
		estate, ok := m.cell.Estate()
		if !ok {
			continue
		}
		m.follower.Declare(estate)
		if !declaresMoves(estate) {
			continue
		}
		m.runRound(ctx, estate)
	}
}

// runRound evaluates this daemon's evidence and either steps the moves, if it is the
// cell's leader, or reports to the leader and applies its shares.
func (m *moves) runRound(ctx context.Context, estate catalogue.Estate) {
	ctx, cancel := clock.WithDeadline(ctx, m.clk, m.clk.Boot()+moveRoundTimeout)
	defer cancel()
	evidence := m.evidence(estate)
	m.follower.Observe(evidence)
	if m.cell.IsLeader() {
		m.runLeaderRound(ctx, estate, evidence)
		return
	}
	leader, ok := m.cell.Leader()
	if !ok {
		return
	}
	reply, err := m.report(ctx, leader.PeerAddress(), encodeReport(m.incarnation, evidence, m.follower.Stops()))
	if err != nil {
		log.Warn().Err(err).Str("keeper", leader.Name()).Msg("failed to report the evidence on version moves to the keeper; retrying in the next round")
		return
	}
	for _, s := range reply.GetShares() {
		m.follower.Apply(move.StateFromProto(s))
	}
}

// runLeaderRound steps the moves and applies their states.
func (m *moves) runLeaderRound(ctx context.Context, estate catalogue.Estate, evidence []move.Evidence) {
	m.controller.Report(m.incarnation, evidence)
	m.recordStops(m.follower.Stops())
	if err := m.controller.Step(ctx, estate); err != nil {
		log.Warn().Err(err).Msg("failed to step the version moves; retrying in the next round")
	}
	for _, s := range m.controller.States() {
		m.follower.Apply(s)
	}
}

func (m *moves) recordStops(stops []move.Stop) {
	for _, s := range stops {
		m.controller.RecordStop(s.Service(), s.Move(), s.To(), s.Reason())
	}
}

// serveReport records the evidence and stops of another daemon and returns the shares
// of the moves. A daemon that is not the leader ignores the report and returns no
// shares, because its states may be out of date.
func (m *moves) serveReport(_ context.Context, in *peerpb.ReportRequest) (*peerpb.ReportReply, error) {
	if !m.cell.IsLeader() {
		return &peerpb.ReportReply{}, nil
	}
	m.controller.Report(in.GetIncarnation(), decodeEvidence(in))
	for _, s := range in.GetStops() {
		m.controller.RecordStop(s.GetService(), s.GetMove(), s.GetTo(), s.GetReason())
	}
	reply := &peerpb.ReportReply{}
	for _, s := range m.controller.States() {
		reply.Shares = append(reply.Shares, s.ToProto())
	}
	return reply, nil
}

// evidence returns the homes' evidence on the services that declare moves.
func (m *moves) evidence(estate catalogue.Estate) []move.Evidence {
	var list []move.Evidence
	for _, e := range m.homes.Evidence() {
		s, ok := estate.Service(e.Service())
		if !ok || len(s.Moves()) == 0 {
			continue
		}
		sample, err := move.SampleOf(e.Requests(), e.Errors(), e.Latency())
		if err != nil {
			log.Error().Err(err).Str("service", e.Service()).Msg("invalid evidence from a home; it is ignored")
			continue
		}
		list = append(list, move.NewEvidence(e.Service(), e.Version(), e.Route(), sample))
	}
	return list
}

func declaresMoves(estate catalogue.Estate) bool {
	for _, s := range estate.Services() {
		if len(s.Moves()) > 0 {
			return true
		}
	}
	return false
}
