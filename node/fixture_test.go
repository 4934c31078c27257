package node

import (
	"github.com/rs/zerolog"

	"medlaryard.example/medlaryard/mirror"
)

func nopLogger() zerolog.Logger { return zerolog.Nop() }

// objects are entries of sound targets of service "s" in failure domain "a".
func objects(names ...string) []mirror.Object {
	var os []mirror.Object
	for _, n := range names {
		os = append(os, mirror.NewObject(n, 1, []byte(`{"service":"s","address":"10.1.0.9:80","zone":"a","version":"v1","max_concurrency":2,"state":"ready","warmup_left_ms":0,"sequence":1}`), nil))
	}
	return os
}
