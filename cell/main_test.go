package cell

import (
	"os"
	"testing"

	"github.com/rs/zerolog"

	"medlaryard.example/medlaryard/invariant"
)

func TestMain(m *testing.M) {
	invariant.PanicOnViolation()
	zerolog.SetGlobalLevel(zerolog.Disabled)
	os.Exit(m.Run())
}
