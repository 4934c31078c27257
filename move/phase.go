package move

// Phase is the stage that a move is in.
type Phase string

// The phases. Finished and RolledBack are final.
const (
	Pending    Phase = "pending"
	Running    Phase = "running"
	Finished   Phase = "finished"
	RolledBack Phase = "rolled_back"
)

// Final reports whether no further step can follow.
func (p Phase) Final() bool { return p == Finished || p == RolledBack }
