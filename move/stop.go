package move

// Stop reports that this daemon stopped the new version of a move by its own
// evidence.
type Stop struct {
	service string
	move    string
	to      string
	reason  string
}

// Service returns the name of the service.
func (s Stop) Service() string { return s.service }

// Move returns the name of the move.
func (s Stop) Move() string { return s.move }

// To returns the stopped version.
func (s Stop) To() string { return s.to }

// Reason returns the fault for which the version was stopped, with its evidence.
func (s Stop) Reason() string { return s.reason }
