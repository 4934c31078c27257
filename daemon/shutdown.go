package daemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog/log"

	"medlaryard.example/medlaryard/clock"
)

// handoffPollInterval is the time between checks for another daemon that can take over
// the homes.
const handoffPollInterval = 100 * time.Millisecond

// leavePropagationTime is the time until all daemons know that this one is leaving. The
// information takes two heartbeats.
const leavePropagationTime = time.Second

// drainPollInterval is the time between checks for requests in flight.
const drainPollInterval = 10 * time.Millisecond

const (
	// answerTimeFraction is the fraction of the shutdown limit that is reserved for
	// answering requests that are unfinished by then.
	answerTimeFraction = 0.25
	// maxAnswerTime limits that time. Answers are written within a second.
	maxAnswerTime = 4 * time.Second
)

// answerTime returns the time at the end of a shutdown that is reserved for answering
// unfinished requests.
func answerTime(limit time.Duration) time.Duration {
	return min(maxAnswerTime, time.Duration(answerTimeFraction*float64(limit)))
}

// shutdown stops the daemon in an order that aborts no request: it withdraws its
// address from callers, hands off its homes, waits for requests in flight and closes
// the listeners. Requests whose deadline does not fit into the shutdown are refused.
// It returns an error if the shutdown limit aborted requests.
func (d *daemon) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), d.cfg.ShutdownLimit())
	defer cancel()
	start := d.clk.Boot()
	answerBy := start + d.cfg.ShutdownLimit() - answerTime(d.cfg.ShutdownLimit())
	d.entry.AcceptUntil(answerBy)
	endTimer := d.clk.AfterFunc(answerBy-start, d.entry.EndRequests)
	defer endTimer.Stop()
	d.leaving.Store(true)
	d.refreshView()
	log.Info().Msg("graceful shutdown started; handing off homes")
	addressWait := d.cfg.AddressTTL() + leavePropagationTime
	// The rest of the limit is for the address wait and for requests in flight.
	leaveCtx, cancelLeave := context.WithTimeout(ctx, max(0, d.cfg.ShutdownLimit()-2*addressWait))
	defer cancelLeave()
	leaveDone := make(chan error, 1)
	go func() { leaveDone <- d.cell.Leave(leaveCtx) }()
	d.awaitHandoff(leaveDone)
	// The other daemons return this address until they know that this daemon is
	// leaving, and callers keep it for the address TTL.
	_ = clock.Sleep(ctx, d.clk, addressWait)
	d.entry.StopAccepting()
	// The wait ends with the longest deadline of a request or at the shutdown limit.
	for d.entry.InFlight() > 0 && clock.Sleep(ctx, d.clk, drainPollInterval) == nil {
		continue
	}
	aborted := d.entry.InFlight()
	for _, g := range d.homes.Status() {
		aborted += int64(g.InFlight() + g.Queued())
	}
	_ = d.callers.Shutdown(ctx)
	d.peers.shutdown(ctx)
	closed := make(chan struct{})
	go func() {
		d.homes.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-ctx.Done():
	}
	d.cancel()
	d.cell.Close()
	d.operators.shutdown(ctx)
	if d.vms != nil {
		d.vms.Close()
	}
	d.tasks.Wait()
	d.client.Close()
	log.Info().Dur("took", d.clk.Boot()-start).Int64("count", aborted).Msg("daemon stopped; count is the number of aborted requests")
	if ctx.Err() != nil && aborted > 0 {
		return eris.Errorf("shutdown limit of %v reached; %d requests aborted", d.cfg.ShutdownLimit(), aborted)
	}
	return nil
}

// awaitHandoff waits until another daemon has taken over the homes. It returns early
// if no other daemon is left in the cell.
func (d *daemon) awaitHandoff(leaveDone <-chan error) {
	t := d.clk.NewTimer(handoffPollInterval)
	defer t.Stop()
	for {
		select {
		case err := <-leaveDone:
			if err != nil {
				log.Warn().Err(err).Msg("failed to hand off the homes; continuing the shutdown")
			}
			return
		case <-t.C():
			// The view does not list this daemon or others that are leaving.
			if d.view.Load().addresses.entryCount() == 0 {
				log.Info().Msg("no other daemon can take over the homes; continuing the shutdown")
				return
			}
			t.Reset(handoffPollInterval)
		}
	}
}
