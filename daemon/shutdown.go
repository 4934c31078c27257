package daemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog/log"

	"medlaryard.example/medlaryard/clock"
)

// handOverCheck is the time between looks at whether a successor is left.
const handOverCheck = 100 * time.Millisecond

// addressSpread is the time until all daemons have learned from two heartbeats
// that this one is leaving.
const addressSpread = time.Second

// drainCheck is the time between looks at the requests in flight.
const drainCheck = 10 * time.Millisecond

// shutdown leaves in the order that cuts off no request: callers stop coming,
// homes are handed over, requests in flight end, listeners close.
func (d *daemon) shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), d.cfg.ShutdownLimit())
	defer cancel()
	began := d.clk.Boot()
	d.leaving.Store(true)
	d.refreshView()
	log.Info().Msg("daemon is leaving")
	keep := d.cfg.AddressTTL() + addressSpread
	leave, cancelLeave := context.WithTimeout(ctx, max(0, d.cfg.ShutdownLimit()-2*keep))
	defer cancelLeave()
	left := make(chan error, 1)
	go func() { left <- d.cell.Leave(leave) }()
	d.awaitHandOver(left)
	// The other daemons give this address out until they see that it leaves,
	// and callers keep the answer.
	_ = clock.Sleep(ctx, d.clk, keep)
	d.entry.Leave()
	// The longest deadline bounds this wait, unless the limit comes first.
	for d.entry.InFlight() > 0 && clock.Sleep(ctx, d.clk, drainCheck) == nil {
		continue
	}
	cut := d.entry.InFlight()
	for _, g := range d.homes.Status() {
		cut += int64(g.InFlight() + g.Queued())
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
	log.Info().Dur("took", d.clk.Boot()-began).Int64("count", cut).Msg("daemon stopped; count of requests cut off")
	if ctx.Err() != nil && cut > 0 {
		return eris.Errorf("shutdown limit of %v cut off %d requests", d.cfg.ShutdownLimit(), cut)
	}
	return nil
}

// awaitHandOver waits until the homes are handed over. The last daemon of a cell
// has no successor to wait for.
func (d *daemon) awaitHandOver(left <-chan error) {
	t := d.clk.NewTimer(handOverCheck)
	defer t.Stop()
	for {
		select {
		case err := <-left:
			if err != nil {
				log.Warn().Err(err).Msg("homes are not handed over")
			}
			return
		case <-t.C():
			// The view leaves out this daemon and others that are leaving.
			if d.view.Load().addresses.entries() == 0 {
				log.Info().Msg("no daemon is left to hand homes over to")
				return
			}
			t.Reset(handOverCheck)
		}
	}
}
