package daemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog/log"

	"medlaryard.example/medlaryard/clock"
)

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
	left := make(chan error, 1)
	go func() { left <- d.cell.Leave(ctx) }()
	// Callers keep an address answer for this time and still come.
	_ = clock.Sleep(ctx, d.clk, d.cfg.AddressTTL())
	d.entry.Leave()
	// The longest deadline bounds this wait, unless the limit comes first.
	for d.entry.InFlight() > 0 && clock.Sleep(ctx, d.clk, drainCheck) == nil {
		continue
	}
	if err := <-left; err != nil {
		log.Warn().Err(err).Msg("homes are not handed over")
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
