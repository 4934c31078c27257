package targets

import "medlaryard.example/medlaryard/upgrade"

// slowAnswer is from how many usual latencies on an answer counts against its
// version.
const slowAnswer = 3

// versionMove divides the calls of a group between the version that its service
// moves to and all others. The group's lock guards it.
type versionMove struct {
	version string
	share   float64
	credit  float64
	was, is upgrade.Tally
}

// next decides whether a call goes to the new version. Calls beside or after
// another one do not, so that its share stays exact.
func (m *versionMove) next(p Purpose) bool {
	if m.share >= 1 {
		return true
	}
	if p != First {
		return false
	}
	m.credit += m.share
	if m.credit < 1 {
		return false
	}
	m.credit--
	return true
}

// permits reports whether a target of that version may get a call.
func (m *versionMove) permits(version string, newer bool) bool {
	return newer == (version == m.version)
}

func (m *versionMove) count(version string, bad bool) {
	if version == m.version {
		m.is.Count(bad)
	} else {
		m.was.Count(bad)
	}
}

// Move gives the targets of a version that share of the requests, and the
// others the rest. An empty version ends the division.
func (g *Group) Move(version string, share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case version == "":
		g.move = nil
	case g.move == nil || g.move.version != version:
		g.move = &versionMove{version: version, share: share}
	default:
		g.move.share = share
	}
}

// Evidence returns the answers of the old and the new version since the move
// began.
func (g *Group) Evidence() (was, is upgrade.Tally) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.move == nil {
		return upgrade.Tally{}, upgrade.Tally{}
	}
	return g.move.was, g.move.is
}
