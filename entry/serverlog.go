package entry

import (
	"fmt"

	"github.com/rs/zerolog/log"
)

// serverLog forwards the messages of the HTTP server to the daemon's log.
type serverLog struct{}

// Printf logs one message as a warning.
func (serverLog) Printf(format string, args ...any) {
	log.Warn().Str("listener", "callers").Str("error", fmt.Sprintf(format, args...)).Msg("HTTP server reported an error")
}
