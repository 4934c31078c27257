package evaluate

import (
	"fmt"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/catalogue/syntax"
)

func (e *evaluator) moves(m *syntax.Mapping, service catalogue.ServiceSpec) []*catalogue.Move {
	moveNames := newNames("move name", e.problems)
	var moves []*catalogue.Move
	for _, n := range m.List("moves") {
		move := e.move(n, service, &moveNames)
		for _, other := range moves {
			if move.Start().Before(other.FinishBy()) && other.Start().Before(move.FinishBy()) {
				e.problems.AddAt(n, fmt.Sprintf("a move outside the time of move %q", other.Name()), "an overlap")
			}
		}
		moves = append(moves, move)
	}
	e.versions(m, service, moves)
	return moves
}

func (e *evaluator) move(n *syntax.Node, service catalogue.ServiceSpec, taken *names) *catalogue.Move {
	m := syntax.ReadMapping(n, e.problems)
	defer m.Close()
	spec := catalogue.MoveSpec{
		EntrySpec:       e.entry(m, service.EntrySpec),
		From:            e.moveVersion(m, "from", service),
		To:              e.moveVersion(m, "to", service),
		Start:           syntax.Required(m, "start", syntax.Time),
		FinishBy:        syntax.Required(m, "finish_by", syntax.Time),
		MaxShare:        syntax.Optional(m, "max_share", shareType, DefaultMaxShare),
		GuardedRoutes:   syntax.Values(m, "guarded_routes", syntax.Name),
		MaxErrorRatio:   syntax.Optional(m, "max_error_ratio", errorRatioType, DefaultMaxErrorRatio),
		MaxLatencyRatio: syntax.Optional(m, "max_latency_ratio", latencyRatioType, DefaultMaxLatencyRatio),
		MinEvidence:     syntax.Optional(m, "min_evidence", evidenceType, DefaultMinEvidence),
	}
	taken.declare(spec.Name, m.Get("name"))
	if spec.From != "" && spec.From == spec.To {
		e.problems.AddAt(m.Get("to"), "a version other than from", fmt.Sprintf("%q", spec.To))
	}
	if !spec.Start.IsZero() && !spec.FinishBy.IsZero() && !spec.FinishBy.After(spec.Start) {
		e.problems.AddAt(m.Get("finish_by"), "a time after start, "+spec.Start.Format(time.RFC3339), spec.FinishBy.Format(time.RFC3339))
	}
	return catalogue.NewMove(spec)
}

// moveVersion reads a version that every shard must have a searcher of, since a
// shard without one could not be served during the move.
func (e *evaluator) moveVersion(m *syntax.Mapping, key string, service catalogue.ServiceSpec) string {
	version := syntax.Required(m, key, syntax.Name)
	if version == "" {
		return ""
	}
	for _, sh := range service.Shards {
		if !hasVersion(sh, version) {
			e.problems.AddAt(m.Get(key), "a version that every shard has a searcher of", fmt.Sprintf("%q, which shard %q lacks", version, sh.Name()))
			break
		}
	}
	return version
}

func hasVersion(sh *catalogue.Shard, version string) bool {
	for _, s := range sh.Searchers() {
		if s.Version() == version {
			return true
		}
	}
	return false
}

// versions refuses a second version without a move: nothing would limit its traffic.
func (e *evaluator) versions(m *syntax.Mapping, service catalogue.ServiceSpec, moves []*catalogue.Move) {
	first := ""
	for _, sh := range service.Shards {
		for _, s := range sh.Searchers() {
			if s.Version() == "" || s.Version() == faulty {
				continue
			}
			if first == "" {
				first = s.Version()
			}
			if s.Version() == first || joined(moves, first, s.Version()) {
				continue
			}
			e.problems.AddAt(m.Node(), fmt.Sprintf("a move between versions %q and %q", first, s.Version()), fmt.Sprintf("searcher %s without one", s.Address()))
			return
		}
	}
}

// joined reports whether moves connect versions a and b, directly or in a chain.
func joined(moves []*catalogue.Move, a, b string) bool {
	reached := map[string]bool{a: true}
	for range moves {
		for _, mv := range moves {
			if reached[mv.From()] || reached[mv.To()] {
				reached[mv.From()], reached[mv.To()] = true, true
			}
		}
	}
	return reached[b]
}
