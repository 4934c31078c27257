package cell

// MemberSpec holds the values that NewMember takes.
type MemberSpec struct {
	// Name is unique in the cell and survives a restart.
	Name string
	// Incarnation is made at process start; 32 hexadecimal digits.
	Incarnation string
	// Domain names the failure domain that the daemon runs in.
	Domain string
	// Region names the region.
	Region string
	// CallerAddress is the host:port of the callers' listener.
	CallerAddress string
	// PeerAddress is the host:port of the peers' listener.
	PeerAddress string
	// Leaving is set once the daemon takes no new homes.
	Leaving bool
}

// Member is one daemon of the cell.
type Member struct {
	spec *MemberSpec
}

// NewMember returns the immutable Member that spec describes.
func NewMember(spec MemberSpec) Member { return Member{spec: &spec} }

// Name is unique in the cell and survives a restart.
func (m Member) Name() string { return m.get().Name }

// Incarnation is made at process start; 32 hexadecimal digits.
func (m Member) Incarnation() string { return m.get().Incarnation }

// Domain names the failure domain that the daemon runs in.
func (m Member) Domain() string { return m.get().Domain }

// Region names the region.
func (m Member) Region() string { return m.get().Region }

// CallerAddress is the host:port of the callers' listener.
func (m Member) CallerAddress() string { return m.get().CallerAddress }

// PeerAddress is the host:port of the peers' listener.
func (m Member) PeerAddress() string { return m.get().PeerAddress }

// Leaving is set once the daemon takes no new homes.
func (m Member) Leaving() bool { return m.get().Leaving }

var noMember MemberSpec

func (m Member) get() *MemberSpec {
	if m.spec == nil {
		return &noMember
	}
	return m.spec
}

func (m Member) withLeaving(leaving bool) Member {
	if m.Leaving() == leaving {
		return m
	}
	spec := *m.get()
	spec.Leaving = leaving
	return NewMember(spec)
}
