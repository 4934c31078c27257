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
	// moveInterval is the time between reports of evidence, and so between a
	// home's evidence of a fault and its local stop.
	moveInterval = time.Second
	// moveCallTime bounds one report or step.
	moveCallTime = 2 * time.Second
)

// moves runs this daemon's part of version moves: it reports the evidence of
// its homes to the cell keeper, which is the controller, and applies the shares
// that the keeper announces.
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
		controller: move.NewController(clk, s, rand.Text, move.WithHolds(c.IsLeader)),
		follower:   move.NewFollower(clk, homes.SetMoveShare),
	}
}

// run follows the declared moves until ctx ends.
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
		m.round(ctx, estate)
	}
}

func (m *moves) round(ctx context.Context, estate catalogue.Estate) {
	ctx, cancel := clock.WithDeadline(ctx, m.clk, m.clk.Boot()+moveCallTime)
	defer cancel()
	evidence := m.evidence(estate)
	m.follower.Observe(evidence)
	if m.cell.IsLeader() {
		m.control(ctx, estate, evidence)
		return
	}
	keeper, ok := m.cell.Leader()
	if !ok {
		return
	}
	reply, err := m.report(ctx, keeper.PeerAddress(), reportOut(m.incarnation, evidence, m.follower.Stops()))
	if err != nil {
		log.Warn().Err(err).Str("keeper", keeper.Name()).Msg("evidence on version moves is not delivered")
		return
	}
	for _, s := range reply.GetShares() {
		m.follower.Apply(move.FromShare(s))
	}
}

// control is a round of the daemon that keeps the cell.
func (m *moves) control(ctx context.Context, estate catalogue.Estate, evidence []move.Evidence) {
	m.controller.Report(m.incarnation, evidence)
	m.takeStops(m.follower.Stops())
	if err := m.controller.Step(ctx, estate); err != nil {
		log.Warn().Err(err).Msg("version moves are not stepped")
	}
	for _, s := range m.controller.States() {
		m.follower.Apply(s)
	}
}

func (m *moves) takeStops(stops []move.Stop) {
	for _, s := range stops {
		m.controller.Stopped(s.Service(), s.Move(), s.To(), s.Reason())
	}
}

// serveReport takes the evidence of another daemon. Only the keeper announces
// shares: a former one may know old states only.
func (m *moves) serveReport(_ context.Context, in *peerpb.ReportRequest) (*peerpb.ReportReply, error) {
	if !m.cell.IsLeader() {
		return &peerpb.ReportReply{}, nil
	}
	m.controller.Report(in.GetIncarnation(), evidenceIn(in))
	for _, s := range in.GetStops() {
		m.controller.Stopped(s.GetService(), s.GetMove(), s.GetTo(), s.GetReason())
	}
	reply := &peerpb.ReportReply{}
	for _, s := range m.controller.States() {
		reply.Shares = append(reply.Shares, s.ToShare())
	}
	return reply, nil
}

// evidence converts what the homes saw of the services that declare moves.
func (m *moves) evidence(estate catalogue.Estate) []move.Evidence {
	var list []move.Evidence
	for _, e := range m.homes.Evidence() {
		s, ok := estate.Service(e.Service())
		if !ok || len(s.Moves()) == 0 {
			continue
		}
		sample, err := move.SampleOf(e.Requests(), e.Errors(), e.Latency())
		if err != nil {
			log.Error().Err(err).Str("service", e.Service()).Msg("evidence of a home is not usable")
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
