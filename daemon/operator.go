package daemon

import (
	"encoding/json"
	"net/http"

	"medlaryard.example/medlaryard/bearer"
	"medlaryard.example/medlaryard/meter"
)

// operatorHandler returns the handler of the operators' interface. If an operator key
// is set, all paths except the health check require it.
func (d *daemon) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		_ = enc.Encode(d.status())
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		meter.Gauge("entry.in_flight", d.entry.InFlight())
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		_ = meter.WriteText(w)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		if state := d.state(); state != stateServing {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(state + "\n"))
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	})
	return bearer.Guard(d.cfg.OperatorKey(), mux, "/healthz")
}
