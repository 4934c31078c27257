package node

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"medlaryard.example/medlaryard/clientbudget"
	"medlaryard.example/medlaryard/fleet"
	"medlaryard.example/medlaryard/meter"
	"medlaryard.example/medlaryard/mirror"
	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/protosize"
)

// listen opens all listeners before any background work starts.
func (d *Daemon) listen() error {
	conn, err := net.ListenPacket("udp4", d.settings.PeerAddress())
	if err != nil {
		return eris.Wrap(err, "listen for heartbeats")
	}
	d.fleet = fleet.New(conn, d.heartbeat, fleet.Clock(d.clock), fleet.Log(d.log), fleet.OnHeartbeat(d.handleHeartbeat),
		fleet.Recipients(d.heartbeatRecipients), fleet.SendDetails(d.details), fleet.Greeting(d.greeting), fleet.Registered(d.serving.isRegistered))
	peerHandler, err := mirror.Handler(d.mirror)
	if err != nil {
		return err
	}
	if d.usage != nil {
		peerHandler = d.usage.handler(peerHandler)
	}
	for _, l := range []struct {
		address   string
		handler   http.Handler
		headLimit func() int
	}{
		{d.settings.CallersAddress(), platform.NewHandler(d.engine, d.clock, d.shutdown.announced, platform.WaitForStart(d.started), platform.Accept(d.accepts)), d.callerHeadLimit},
		{d.settings.ReadyAddress(), clientbudget.Handler(platform.ReadinessHandler(d.ready), maxInternalBody), internalHeadLimit},
		{d.settings.DirectoryAddress(), clientbudget.Handler(platform.DirectoryHandler(d.addresses, d.settings.AddressTTL()), maxInternalBody), internalHeadLimit},
		{d.settings.OperatorsAddress(), clientbudget.Handler(operatorsHandler(d.updateGauges, previewHandler(d.engine, d.settings.Placement())), maxInternalBody), internalHeadLimit},
		{d.settings.PeerAddress(), clientbudget.Handler(peerHandler, maxInternalBody, clientbudget.Decoding(protosize.OfCall)), internalHeadLimit},
	} {
		if err := d.serve(l.address, l.handler, l.headLimit); err != nil {
			return err
		}
	}
	return nil
}

const (
	// maxInternalHead and maxInternalBody bound requests to all listeners but that
	// of callers. Those of other daemons, the largest, have some hundred bytes.
	maxInternalHead = 16 << 10
	maxInternalBody = 64 << 10
	// maxUnconfiguredHead bounds the head of a request while there is no
	// configuration.
	maxUnconfiguredHead = 64 << 10
)

func internalHeadLimit() int { return maxInternalHead }

// callerHeadLimit returns the largest size of a caller's request head.
func (d *Daemon) callerHeadLimit() int {
	if t := d.engine.Table(); t != nil && t.Limits().HeaderBytes() > 0 {
		return t.Limits().HeaderBytes()
	}
	return maxUnconfiguredHead
}

func (d *Daemon) serve(address string, h http.Handler, headLimit func() int) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	s := &http.Server{
		Handler:           h,
		BaseContext:       func(net.Listener) context.Context { return d.shutdown.requests },
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	clientbudget.Configure(s)
	if address != d.settings.PeerAddress() {
		d.clients.BoundSocketBuffers(l)
	}
	d.servers = append(d.servers, s)
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		if err := s.Serve(d.clients.Listen(l, headLimit)); !errors.Is(err, http.ErrServerClosed) {
			d.fail(eris.Wrapf(err, "serve %s", address))
		}
	}()
	return nil
}

// fail stops the daemon with the first error. Later errors are only logged.
func (d *Daemon) fail(err error) {
	select {
	case d.failures <- err:
	default:
		d.log.Error().Err(err).Msg("a listener failed while the daemon stops")
	}
}

// operatorsHandler returns a handler that serves the metrics and previews. It calls
// updateGauges on each scrape.
func operatorsHandler(updateGauges func(), preview http.HandlerFunc) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /placement", preview)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		updateGauges()
		if err := meter.WriteText(w); err != nil {
			meter.Count("node.metrics_failed", 1)
		}
	})
	return mux
}
