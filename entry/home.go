package entry

// HomeSpec holds the values of a Home.
type HomeSpec struct {
	// Name is the daemon's name in the membership.
	Name string
	// Incarnation identifies the daemon process.
	Incarnation string
	// PeerAddress is the IP address and port for peer calls.
	PeerAddress string
	// Self is set if the Home is this daemon.
	Self bool
}

// Home is a daemon that may serve a replica group.
type Home struct {
	spec HomeSpec
}

// NewHome returns the Home that spec describes.
func NewHome(spec HomeSpec) Home { return Home{spec: spec} }

// Name returns the daemon's name in the membership.
func (h Home) Name() string { return h.spec.Name }

// Incarnation returns the identifier of the daemon process.
func (h Home) Incarnation() string { return h.spec.Incarnation }

// PeerAddress returns the IP address and port for peer calls.
func (h Home) PeerAddress() string { return h.spec.PeerAddress }

// Self reports whether the Home is this daemon.
func (h Home) Self() bool { return h.spec.Self }
