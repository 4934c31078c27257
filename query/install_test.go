package query

import (
	"testing"
	"time"

	"medlaryard.example/medlaryard/route"
)

// Guards against a memory leak: statistics of routes that were removed from the
// configuration.
func TestInstallRemovesRouteStats(t *testing.T) {
	e := NewEngine()
	kept := route.New("kept", "h", "/", route.Objective(time.Second))
	gone := route.New("gone", "h", "/gone/", route.Objective(time.Second))
	e.Install(route.NewTable(1, []*route.Route{kept, gone}, nil, route.Limits{}), nil)
	e.routeStats(kept)
	e.routeStats(gone)
	e.Install(route.NewTable(2, []*route.Route{kept}, nil, route.Limits{}), nil)
	if len(e.stats) != 1 || e.stats["kept"] == nil {
		t.Errorf("%d routes have statistics, want only the one that is left", len(e.stats))
	}
}
