package query

import (
	"testing"
	"time"

	"medlaryard.example/medlaryard/route"
)

// Guards against memory that grows with each route that was ever configured.
func TestRoutesThatAreGoneAreForgotten(t *testing.T) {
	e := NewEngine()
	kept := route.New("kept", "h", "/", route.Objective(time.Second))
	gone := route.New("gone", "h", "/gone/", route.Objective(time.Second))
	e.Install(route.NewTable(1, []*route.Route{kept, gone}, nil, route.Limits{}), nil)
	e.habit(kept)
	e.habit(gone)
	e.Install(route.NewTable(2, []*route.Route{kept}, nil, route.Limits{}), nil)
	if len(e.habits) != 1 || e.habits["kept"] == nil {
		t.Errorf("%d routes are remembered, want the one that is left", len(e.habits))
	}
}
