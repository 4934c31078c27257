package node

import (
	"slices"
	"time"

	"medlaryard.example/medlaryard/fleet"
	"medlaryard.example/medlaryard/mirror/mirrorpb"
	"medlaryard.example/medlaryard/targets"
)

// targetNotices returns what targets have recently stated to this daemon, and which
// of them it has seen restart, for its heartbeats.
func (d *Daemon) targetNotices() []*mirrorpb.TargetNotice { return encodeNotices(d.notices.Recent()) }

// maxGreetingNotices is the number of notices in one heartbeat to a daemon that
// was found. Each takes 13 bytes, and the heartbeat is to fit one packet.
const maxGreetingNotices = 60

// greeting returns heartbeats with all targets that this daemon knows to leave.
func (d *Daemon) greeting() []*mirrorpb.Heartbeat {
	var all []*mirrorpb.Heartbeat
	for notices := range slices.Chunk(d.notices.Leaving(), maxGreetingNotices) {
		h := d.heartbeat()
		h.Notices = encodeNotices(notices)
		all = append(all, h)
	}
	return all
}

// maxNoticedCold bounds how long a heartbeat may limit a target. It is longer than
// any warm-up.
const maxNoticedCold = time.Minute

func encodeNotices(notices []targets.SharedNotice) []*mirrorpb.TargetNotice {
	var all []*mirrorpb.TargetNotice
	for _, n := range notices {
		w := &mirrorpb.TargetNotice{Target: n.Target(), Leaving: n.Leaving(), ColdMs: uint32(n.ColdFor().Milliseconds())}
		if limit, ok := n.Limit(); ok {
			perSecond := float32(limit)
			w.Limit = &perSecond
		}
		all = append(all, w)
	}
	return all
}

// mergeNotices adds what another daemon knows of targets, so that a daemon that
// has not sent to them keeps to it too.
func (d *Daemon) mergeNotices(m fleet.Member) {
	if m.Name() != d.settings.Name() {
		d.notices.Merge(decodeNotices(m.Notices()))
	}
}

func decodeNotices(notices []*mirrorpb.TargetNotice) []targets.SharedNotice {
	var shared []targets.SharedNotice
	for _, w := range notices {
		var opts []targets.NoticeOption
		if w.Limit != nil {
			opts = append(opts, targets.Limit(float64(w.GetLimit())))
		}
		if w.GetLeaving() {
			opts = append(opts, targets.Leaving())
		}
		coldFor := min(time.Duration(w.GetColdMs())*time.Millisecond, maxNoticedCold)
		shared = append(shared, targets.NewSharedNotice(w.GetTarget(), targets.NewNotice(opts...)).Restarted(coldFor))
	}
	return shared
}
