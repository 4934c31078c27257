package objects

import "time"

// Faults sets how the calls to a Store fail. The zero value is no fault.
type Faults struct {
	// Outage fails every call without an effect and ends pending watches with
	// store.ErrUnavailable.
	Outage bool `json:"outage"`
	// Delay delays every call. JSON encodes it in nanoseconds.
	Delay time.Duration `json:"delay_ns"`
	// LosePuts is the number of later Puts that take effect and then return
	// store.ErrUnavailable.
	LosePuts int `json:"lose_puts"`
	// DropPuts is the number of later Puts that return store.ErrUnavailable
	// without an effect.
	DropPuts int `json:"drop_puts"`
}
