package entry

import (
	"fmt"

	"github.com/rs/zerolog/log"
)

// serverLog turns the messages of the HTTP server into log lines.
type serverLog struct{}

// Printf logs one message.
func (serverLog) Printf(format string, args ...any) {
	log.Warn().Str("listener", "callers").Str("error", fmt.Sprintf(format, args...)).Msg("HTTP server reported an error")
}
