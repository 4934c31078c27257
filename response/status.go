package response

import (
	"errors"
	"net/http"
)

// ErrStatus is the error for a response whose status is not that of an answer.
var ErrStatus = errors.New("invalid response status")

const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// IsFinal reports whether status is that of an answer.
func IsFinal(status int) bool { return status >= minFinalStatus && status <= maxFinalStatus }

// isInterim reports whether a final response follows one with status on the same
// connection.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < minFinalStatus && status != http.StatusSwitchingProtocols
}
