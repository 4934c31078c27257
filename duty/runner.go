package duty

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/meter"
)

// tick is the time between two decisions while nothing can be done.
const tick = 50 * time.Millisecond

// Functions holds what a Runner needs to carry out its steps.
type Functions struct {
	// Read returns the object. The version of an object that does not exist is the
	// zero value.
	Read func(ctx context.Context) (Record, Version, error)
	// Write replaces the object if it has the given version, and returns its new
	// version. It returns ErrConflict if the condition does not hold.
	Write func(ctx context.Context, r Record, condition Version) (Version, error)
	// Call makes the call of a record. It sends nothing after the boot time
	// deadline.
	Call func(ctx context.Context, r Record, deadline time.Duration) error
	// View returns what the daemon knows of the others.
	View func() View
	// Recorded is called when a write that precedes a call is known to have been
	// executed, before the call.
	Recorded func()
}

// Runner carries out the decisions of a Machine.
type Runner struct {
	machine   *Machine
	timing    Timing
	clock     clock.Clock
	log       zerolog.Logger
	functions Functions
}

// NewRunner returns a runner of m.
func NewRunner(m *Machine, c clock.Clock, l zerolog.Logger, f Functions) *Runner {
	return &Runner{machine: m, timing: m.timing, clock: c, log: l, functions: f}
}

// Run performs the duty until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		held := r.machine.Held()
		s := r.machine.Step(r.clock.Boot(), r.functions.View())
		if s.Action() == Wait {
			_ = clock.Sleep(ctx, r.clock, tick) // Ends early only with ctx.
		} else {
			r.perform(ctx, s)
		}
		if now := r.machine.Held(); now != held {
			r.logHolder(held, now)
		}
	}
}

func (r *Runner) logHolder(before, now uint64) {
	if now != 0 {
		meter.Count("duty.taken", 1)
		r.log.Info().Uint64("token", now).Msg("duty taken")
		return
	}
	meter.Count("duty.given_up", 1)
	r.log.Info().Uint64("token", before).Msg("duty given up")
}

// perform carries out one step.
func (r *Runner) perform(ctx context.Context, s Step) {
	timeout := r.timing.storeTimeout()
	if s.Action() == Send {
		timeout = r.timing.CallTimeout()
	}
	stepCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	switch s.Action() {
	case Wait:
	case Read:
		record, v, err := r.functions.Read(stepCtx)
		r.failed(ctx, err, "duty.read_failed", "reading the object of the duty failed")
		before := r.machine.Known()
		r.machine.HandleRead(r.clock.Boot(), record, v, err)
		if r.machine.Known() != before {
			r.functions.Recorded() // The read has confirmed a write whose answer was lost.
		}
	case Write:
		v, err := r.functions.Write(stepCtx, s.Record(), s.Version())
		r.failed(ctx, err, "duty.write_failed", "writing the object of the duty failed")
		r.machine.HandleWrite(r.clock.Boot(), v, err)
		if err == nil {
			r.functions.Recorded()
		}
	case Send:
		err := r.functions.Call(stepCtx, s.Record(), s.Deadline())
		r.failed(ctx, err, "duty.call_failed", "call of the duty failed; repeating it")
		r.machine.HandleCall(r.clock.Boot(), err)
		if err == nil {
			meter.Count("duty.calls", 1)
		}
	}
}

// failed logs and counts an error that is not due to the end of the daemon.
func (r *Runner) failed(ctx context.Context, err error, counter, message string) {
	if err == nil || ctx.Err() != nil {
		return
	}
	meter.Count(counter, 1)
	r.log.Warn().Err(err).Msg(message)
}
