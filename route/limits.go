package route

import "time"

// Limits bound the size of a caller's requests and the time that a connection
// may take or stay idle.
type Limits struct {
	headerBytes int
	bodyBytes   int
	headerTime  time.Duration
	idleTime    time.Duration
}

// NewLimits returns limits on the size of a request's header and body in bytes,
// on the time for sending the header and on the idle time between two requests.
func NewLimits(headerBytes, bodyBytes int, headerTime, idleTime time.Duration) Limits {
	return Limits{headerBytes: headerBytes, bodyBytes: bodyBytes, headerTime: headerTime, idleTime: idleTime}
}

// HeaderBytes returns the maximum size of a request's header in bytes.
func (l Limits) HeaderBytes() int { return l.headerBytes }

// BodyBytes returns the maximum size of a request's body in bytes.
func (l Limits) BodyBytes() int { return l.bodyBytes }

// HeaderTime returns the maximum time for sending a header.
func (l Limits) HeaderTime() time.Duration { return l.headerTime }

// IdleTime returns the maximum idle time between two requests on a connection.
func (l Limits) IdleTime() time.Duration { return l.idleTime }
