package objects

import "time"

// Faults is what goes wrong with the calls to a Store.
type Faults struct {
	// Outage fails every call without an effect and ends pending watches.
	Outage bool `json:"outage"`
	// Delay holds every call, in nanoseconds in JSON.
	Delay time.Duration `json:"delay_ns"`
	// LosePuts is the number of coming Puts that take effect and then report
	// ErrUnavailable.
	LosePuts int `json:"lose_puts"`
	// DropPuts is the number of coming Puts that fail without an effect.
	DropPuts int `json:"drop_puts"`
}
