package targets

import "medlaryard.example/medlaryard/upgrade"

// slowAnswerFactor is the multiple of the median latency above which an answer
// counts as bad for its version.
const slowAnswerFactor = 3

// versionMove divides the calls of a group between the new version of its
// service and all other versions. The group's lock guards it.
type versionMove struct {
	version            string
	share              float64
	credit             float64
	oldTally, newTally upgrade.Tally
}

// assignToNew decides whether a call goes to the new version. While the share
// is below 1, resends, retries and hedges do not, so that the share stays exact.
func (m *versionMove) assignToNew(purpose Purpose) bool {
	if m.share >= 1 {
		return true
	}
	if purpose != First {
		return false
	}
	m.credit += m.share
	if m.credit < 1 {
		return false
	}
	m.credit--
	return true
}

// permits reports whether a target of the given version may get a call.
func (m *versionMove) permits(version string, toNewVersion bool) bool {
	return toNewVersion == (version == m.version)
}

func (m *versionMove) record(version string, bad bool) {
	if version == m.version {
		m.newTally.Count(bad)
	} else {
		m.oldTally.Count(bad)
	}
}

// SetVersionShare sends the given share of the requests, from 0 to 1, to the
// targets of a version and the rest to the others. An empty version ends the
// move.
func (g *Group) SetVersionShare(version string, share float64) {
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

// Evidence returns the tallies of the old and the new version since the move
// began, or empty tallies if there is no move.
func (g *Group) Evidence() (oldTally, newTally upgrade.Tally) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.move == nil {
		return upgrade.Tally{}, upgrade.Tally{}
	}
	return g.move.oldTally, g.move.newTally
}
