package node

import (
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"medlaryard.example/medlaryard/fleet"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/mirror"
	"medlaryard.example/medlaryard/platform"
)

// listen opens all listeners before anything else is started.
func (d *Daemon) listen() error {
	conn, err := net.ListenPacket("udp4", d.settings.PeerAddress())
	if err != nil {
		return eris.Wrap(err, "listen for heartbeats")
	}
	d.fleet = fleet.New(conn, d.describe, fleet.Clock(d.clock), fleet.Log(d.log), fleet.OnHeartbeat(d.heard),
		fleet.Recipients(d.recipients))
	neighbours, err := mirror.Handler(d.mirror)
	if err != nil {
		return err
	}
	for _, l := range []struct {
		address string
		handler http.Handler
	}{
		{d.settings.Callers(), platform.NewFront(d.engine, d.clock, d.leaving.Load, platform.Started(d.started))},
		{d.settings.Ready(), platform.Ready(d.ready)},
		{d.settings.Directory(), platform.Directory(d.addresses, d.settings.AddressTTL())},
		{d.settings.Operators(), operatorsHandler(d.gauges)},
		{d.settings.PeerAddress(), neighbours},
	} {
		if err := d.serve(l.address, l.handler); err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: callerHeaderTimeout,
		IdleTimeout:       callerIdle,
	}
	d.servers = append(d.servers, s)
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			d.fail(eris.Wrapf(err, "serve %s", address))
		}
	}()
	return nil
}

// fail ends the daemon with the first error.
func (d *Daemon) fail(err error) {
	select {
	case d.failures <- err:
	default:
		d.log.Error().Err(err).Msg("another failure while the daemon ends")
	}
}

// operatorsHandler serves the metrics. Gauges brings those up to date that tell
// the present state.
func operatorsHandler(gauges func()) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		gauges()
		if err := meter.WriteText(w); err != nil {
			meter.Count("node.metrics_failed", 1)
		}
	})
	return mux
}
