package entry

// HomeSpec holds the values that NewHome takes.
type HomeSpec struct {
	// Name is the daemon's name in the membership.
	Name string
	// Incarnation identifies the process.
	Incarnation string
	// PeerAddress is the IP address and port for peer calls.
	PeerAddress string
	// Self is set for this daemon.
	Self bool
}

// Home is a daemon that may serve a replica group.
type Home struct {
	spec HomeSpec
}

// NewHome returns the immutable Home that spec describes.
func NewHome(spec HomeSpec) Home { return Home{spec: spec} }

// Name is the daemon's name in the membership.
func (h Home) Name() string { return h.spec.Name }

// Incarnation identifies the process.
func (h Home) Incarnation() string { return h.spec.Incarnation }

// PeerAddress is the IP address and port for peer calls.
func (h Home) PeerAddress() string { return h.spec.PeerAddress }

// Self is set for this daemon.
func (h Home) Self() bool { return h.spec.Self }
