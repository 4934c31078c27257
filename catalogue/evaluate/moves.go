package evaluate

import (
	"fmt"
	"time"

	"medlaryard.example/medlaryard/catalogue"
	"medlaryard.example/medlaryard/catalogue/syntax"
)

func (e *evaluator) moves(m *syntax.Mapping, service catalogue.ServiceSpec) []*catalogue.Move {
	moveNames := newNameSet("move name", e.problems)
	var moves []*catalogue.Move
	for _, n := range m.List("moves") {
		move := e.move(n, service, &moveNames)
		for _, other := range moves {
			if move.Start().Before(other.FinishBy()) && other.Start().Before(move.FinishBy()) {
				e.problems.AddAt(n, fmt.Sprintf("a move whose time does not overlap that of move %q", other.Name()), "an overlap")
			}
		}
		moves = append(moves, move)
	}
	e.checkVersions(m, service, moves)
	return moves
}

func (e *evaluator) move(n *syntax.Node, service catalogue.ServiceSpec, moveNames *nameSet) *catalogue.Move {
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
	moveNames.declare(spec.Name, m.Get("name"))
	if spec.From != "" && spec.From == spec.To {
		e.problems.AddAt(m.Get("to"), "a version other than from", fmt.Sprintf("%q", spec.To))
	}
	if !spec.Start.IsZero() && !spec.FinishBy.IsZero() && !spec.FinishBy.After(spec.Start) {
		e.problems.AddAt(m.Get("finish_by"), "a time after start, "+spec.Start.Format(time.RFC3339), spec.FinishBy.Format(time.RFC3339))
	}
	return catalogue.NewMove(spec)
}

// moveVersion reads a version of a move. Every shard must have a searcher of that
// version, because a shard without one could not be served during the move.
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

// checkVersions rejects a second version that no move connects with the first, because
// nothing would limit its traffic.
func (e *evaluator) checkVersions(m *syntax.Mapping, service catalogue.ServiceSpec, moves []*catalogue.Move) {
	first := ""
	for _, sh := range service.Shards {
		for _, s := range sh.Searchers() {
			if s.Version() == "" || s.Version() == invalidValue {
				continue
			}
			if first == "" {
				first = s.Version()
			}
			if s.Version() == first || connected(moves, first, s.Version()) {
				continue
			}
			e.problems.AddAt(m.Node(), fmt.Sprintf("a move between versions %q and %q", first, s.Version()), fmt.Sprintf("searcher %s without one", s.Address()))
			return
		}
	}
}

// connected reports whether moves connect versions a and b, directly or through other
// versions.
func connected(moves []*catalogue.Move, a, b string) bool {
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
