package fleet

const (
	// maxMemberBytes bounds the memory of all members. It is enough for 6,000 daemons
	// whose name, failure domain and addresses have 100 bytes together.
	maxMemberBytes = 4 << 20
	// memberBytes is the memory of a member beyond these.
	memberBytes = 512
)

// size returns the memory that a member takes while it is kept.
func (m Member) size() int {
	return memberBytes + len(m.name) + len(m.domain) + len(m.callerAddress) + len(m.peerAddress)
}

// withoutDetails returns the part of a member that is kept. What a heartbeat states
// about other things than its sender is only passed on.
func (m Member) withoutDetails() Member {
	m.versions, m.olderEras, m.moves, m.strikes, m.reports, m.notices = nil, nil, nil, nil, nil, nil
	return m
}

// makeRoomLocked reports whether a member may be kept. If there is no room for one that
// is registered in the store, it removes others that are not.
func (f *Fleet) makeRoomLocked(m Member) bool {
	need := m.size()
	if previous := f.members[m.peerAddress]; previous != nil {
		need -= previous.size()
	}
	if f.bytes+need <= maxMemberBytes {
		return true
	}
	if !f.registered(m.peerAddress) {
		return false
	}
	for peer := range f.members {
		if peer == m.peerAddress || f.registered(peer) {
			continue
		}
		f.removeLocked(peer)
		if f.bytes+need <= maxMemberBytes {
			return true
		}
	}
	return false
}

func (f *Fleet) removeLocked(peer string) {
	if m := f.members[peer]; m != nil {
		f.bytes -= m.size()
		delete(f.members, peer)
	}
}
